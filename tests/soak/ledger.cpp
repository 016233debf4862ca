#include "ledger.hpp"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <set>

namespace soak {

void Ledger::note(const UnsafeCall &call)
{
    const std::lock_guard lock(this->mutex);
    this->unsafeCalls.push_back(call);
}

void Ledger::count(const std::string &what)
{
    const std::lock_guard lock(this->mutex);
    ++this->counters[what];
}

void Ledger::violate(const std::string &what)
{
    const std::lock_guard lock(this->mutex);
    this->found.push_back(what);
}

std::vector<UnsafeCall> Ledger::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->unsafeCalls;
}

std::map<std::string, std::uint64_t> Ledger::counts() const
{
    const std::lock_guard lock(this->mutex);
    return this->counters;
}

std::vector<std::string> Ledger::violations() const
{
    const std::lock_guard lock(this->mutex);
    return this->found;
}

bool promisesNotRun(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<std::string> checkCalls(const std::vector<UnsafeCall> &calls, const RunCounts &runs)
{
    std::vector<std::string> wrong;
    for (const UnsafeCall &call : calls) {
        const auto position = runs.find(call.id);
        const std::uint64_t count = position == runs.end() ? 0 : position->second;
        if (count > 1)
            wrong.push_back(fmt::format("call {} ran {} times", call.id, count));
        if (promisesNotRun(call.status) && count > 0)
            wrong.push_back(
                    fmt::format("call {} ran though it was answered {}", call.id, call.status));
        if (call.status == 200 && count == 0)
            wrong.push_back(fmt::format("call {} was answered 200 and never ran", call.id));
    }
    return wrong;
}

std::string textOf(const std::string &item)
{
    constexpr std::uint64_t leastEvents = 4;
    constexpr std::uint64_t eventSpread = 9;
    std::uint64_t sum = 0;
    for (const char character : item)
        sum += static_cast<unsigned char>(character);
    std::string text;
    for (std::uint64_t i = 1; i <= leastEvents + sum % eventSpread; ++i)
        text += fmt::format("{}{}:{}", i == 1 ? "" : "\n", item, i);
    return text;
}

std::vector<std::string> takeResults(ReadBatch &batch, std::uint64_t after,
                                     const std::vector<std::string> &results)
{
    std::vector<std::string> wrong;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const std::size_t position = after + i;
        if (position >= batch.results.size())
            batch.results.push_back(results[i]);
        else if (batch.results[position] != results[i])
            wrong.push_back(fmt::format("batch {} holds another result at position {}", batch.id,
                                        position));
    }
    return wrong;
}

std::vector<std::string> checkBatch(const ReadBatch &batch, std::size_t items,
                                    std::uint64_t newestVersion)
{
    std::vector<std::string> wrong;
    std::set<std::string> ids;
    const auto report = [&](const std::string &what) {
        wrong.push_back(fmt::format("batch {}: {}", batch.id, what));
    };
    for (const std::string &text : batch.results) {
        const web::json::value result = web::json::value::parse(text);
        const std::string id = result.at("id").as_string();
        if (!ids.insert(id).second)
            report(id + " stands at two positions");
        if (result.at("state").as_string() != "completed") {
            report(id + " is " + result.at("state").as_string());
            continue;
        }
        if (result.at("text").as_string() != textOf(id))
            report(id + " has another text than its engines made");
        const std::size_t dash = id.rfind('-');
        const std::string score =
                fmt::format("stamp-{}-s{}", id.substr(0, dash), id.substr(dash + 1));
        if (result.at("score").as_string() != score)
            report(id + " has another score than its scorer gave");
        const auto &versions = result.at("versions").as_array();
        if (versions.size() == 0)
            report(id + " has no version");
        for (const web::json::value &version : versions) {
            const std::uint64_t number = version.as_number().to_uint64();
            if (number == 0 || number > newestVersion)
                report(fmt::format("{} has version {}, which was never named", id, number));
        }
    }
    if (ids.size() != items)
        report(fmt::format("{} of {} items", ids.size(), items));
    return wrong;
}

} // namespace soak
