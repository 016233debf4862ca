#include "client_history.hpp"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <set>

namespace soak {
namespace {

std::uint64_t eventCount(const std::string &item)
{
    constexpr std::uint64_t minEventCount = 4;
    constexpr std::uint64_t eventCountRange = 9;
    std::uint64_t sum = 0;
    for (const char character : item)
        sum += static_cast<unsigned char>(character);
    return minEventCount + sum % eventCountRange;
}

} // namespace

void ClientHistory::recordCall(const UnsafeCall &call)
{
    const std::lock_guard lock(this->mutex);
    this->unsafeCalls.push_back(call);
}

void ClientHistory::incrementCounter(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    ++this->counters[name];
}

void ClientHistory::recordViolation(const std::string &description)
{
    const std::lock_guard lock(this->mutex);
    this->recordedViolations.push_back(description);
}

std::vector<UnsafeCall> ClientHistory::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->unsafeCalls;
}

std::map<std::string, std::uint64_t> ClientHistory::counts() const
{
    const std::lock_guard lock(this->mutex);
    return this->counters;
}

std::vector<std::string> ClientHistory::violations() const
{
    const std::lock_guard lock(this->mutex);
    return this->recordedViolations;
}

bool guaranteesNotRun(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::vector<std::string> checkCalls(const std::vector<UnsafeCall> &calls, const RunCounts &runs)
{
    std::vector<std::string> violations;
    for (const UnsafeCall &call : calls) {
        const auto position = runs.find(call.id);
        const std::uint64_t count = position == runs.end() ? 0 : position->second;
        if (count > 1)
            violations.push_back(fmt::format("call {} ran {} times", call.id, count));
        if (guaranteesNotRun(call.status) && count > 0)
            violations.push_back(fmt::format("call {} ran although it was answered with status {}",
                                             call.id, call.status));
        if (call.status == 200 && count == 0)
            violations.push_back(
                    fmt::format("call {} was answered with status 200 but did not run", call.id));
    }
    return violations;
}

std::string expectedText(const std::string &item)
{
    std::string text;
    for (std::uint64_t i = 1; i <= eventCount(item); ++i)
        text += fmt::format("{}{}:{}", i == 1 ? "" : "\n", item, i);
    return text;
}

std::string expectedStream(const std::string &item)
{
    std::string stream;
    for (std::uint64_t i = 1; i <= eventCount(item); ++i)
        stream += fmt::format("id: {}\ndata: {}:{}\n\n", i, item, i);
    return stream;
}

std::vector<std::string> mergeResults(ReceivedBatch &batch, std::uint64_t firstPosition,
                                      const std::vector<std::string> &results)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < results.size(); ++i) {
        const std::size_t position = firstPosition + i;
        if (position >= batch.results.size())
            batch.results.push_back(results[i]);
        else if (batch.results[position] != results[i])
            violations.push_back(fmt::format("batch {}: the result at position {} has changed",
                                             batch.id, position));
    }
    return violations;
}

std::vector<std::string> checkBatch(const ReceivedBatch &batch, std::size_t itemCount,
                                    std::uint64_t newestVersion)
{
    std::vector<std::string> violations;
    std::set<std::string> ids;
    const auto addViolation = [&](const std::string &what) {
        violations.push_back(fmt::format("batch {}: {}", batch.id, what));
    };
    for (const std::string &text : batch.results) {
        const web::json::value result = web::json::value::parse(text);
        const std::string id = result.at("id").as_string();
        if (!ids.insert(id).second)
            addViolation(id + " appears at two positions");
        if (result.at("state").as_string() != "completed") {
            addViolation(id + " has state " + result.at("state").as_string());
            continue;
        }
        if (result.at("text").as_string() != expectedText(id))
            addViolation(id + " has a text that differs from what its engines generated");
        const std::size_t dash = id.rfind('-');
        const std::string score =
                fmt::format("stamp-{}-s{}", id.substr(0, dash), id.substr(dash + 1));
        if (result.at("score").as_string() != score)
            addViolation(id + " has a score that differs from its scorer's answer");
        const auto &versions = result.at("versions").as_array();
        if (versions.size() == 0)
            addViolation(id + " has no weight version");
        for (const web::json::value &version : versions) {
            const std::uint64_t number = version.as_number().to_uint64();
            if (number == 0 || number > newestVersion)
                addViolation(fmt::format("{} has weight version {}, which was never published", id,
                                         number));
        }
    }
    if (ids.size() != itemCount)
        addViolation(fmt::format("{} distinct items of {}", ids.size(), itemCount));
    return violations;
}

} // namespace soak
