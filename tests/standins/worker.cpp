#include "standin.hpp"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <memory>
#include <utility>
#include <vector>

namespace standin {
namespace {

using geraniumpulley::core::Duration;
using geraniumpulley::net::DoorRequest;
using geraniumpulley::net::findHeader;
using web::json::value;

constexpr Duration timePerEvent = std::chrono::milliseconds(10);
constexpr std::uint64_t leastEvents = 4;
constexpr std::uint64_t eventSpread = 9;

// Text and length of an item follow from its id, so that tests know what it has to be.
std::uint64_t eventCount(const std::string &item)
{
    std::uint64_t sum = 0;
    for (const char character : item)
        sum += static_cast<unsigned char>(character);
    return leastEvents + sum % eventSpread;
}

struct Worker
{
    std::string id;
    std::string model;
    std::uint64_t version = 1;
    std::uint64_t orders = 0;
    std::uint64_t highestFence = 0;
    std::uint64_t refusals = 0; // Of the next requests.
    std::vector<value> ledger; // The ids of the requests that ran.

    Reply serve(const DoorRequest &request)
    {
        const std::string path = pathOf(request);
        if (path == "/_worker")
            return this->configure(value::parse(request.body));
        if (path == "/_ledger")
            return {200, value::array(this->ledger).serialize(), {}};
        const std::string expected = findHeader(request.headers, "X-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return {421, "", {}};
        if (path == "/-/report")
            return this->report();
        if (path == "/-/order")
            return this->order(value::parse(request.body));
        return this->run(request);
    }

    Reply configure(const value &settings)
    {
        if (settings.has_field("id"))
            this->id = settings.at("id").as_string();
        if (settings.has_field("model"))
            this->model = settings.at("model").as_string();
        if (settings.has_field("refusals"))
            this->refusals = settings.at("refusals").as_number().to_uint64();
        return {};
    }

    Reply report() const
    {
        return {200,
                fmt::format(R"({{"stage":"mixed","models":[{{"name":"{}","version":{}}}],)"
                            R"("busy":false,"sequence":{}}})",
                            this->model, this->version, this->orders),
                {}};
    }

    Reply order(const value &asked)
    {
        const std::uint64_t fence = asked.at("fence").as_number().to_uint64();
        if (fence < this->highestFence)
            return {412, "{}", {}};
        this->highestFence = fence;
        if (asked.at("expected").as_number().to_uint64() != this->orders)
            return {409, "{}", {}};
        ++this->orders;
        this->version = asked.at("version").as_number().to_uint64();
        return {202, "{}", {}};
    }

    Reply run(const DoorRequest &request)
    {
        const std::string requestId = findHeader(request.headers, "X-Attempt-Id");
        Reply reply;
        reply.headers = {{"X-Attempt-Id", requestId}};
        if (this->refusals > 0) {
            --this->refusals;
            reply.status = 503;
            reply.headers.push_back({"X-Not-Executed", "1"});
            return reply;
        }
        this->ledger.push_back(value::string(requestId));
        reply.headers.push_back({"X-Server-Stamp", "stamp-" + requestId});
        if (this->model.empty()) {
            reply.body = "answer to " + request.target + ": " + request.body;
            return reply;
        }
        reply.headers.push_back({"X-Weight-Versions", fmt::format("{}", this->version)});
        const std::string last = findHeader(request.headers, "Last-Event-Id");
        this->stream(reply, requestId, last.empty() ? 1 : std::stoull(last) + 1);
        return reply;
    }

    // The body of `reply` becomes the event of that number; the rest follows one by one.
    void stream(Reply &reply, const std::string &item, std::uint64_t number)
    {
        if (number > eventCount(item)) {
            reply.body.clear();
            reply.next = nullptr;
            return;
        }
        reply.body = fmt::format("id: {}\ndata: {}:{}\n\n", number, item, number);
        reply.delay = timePerEvent;
        reply.next = [this, item, number] {
            Reply next;
            this->stream(next, item, number + 1);
            return next;
        };
    }
};

} // namespace

Service makeWorker()
{
    auto worker = std::make_shared<Worker>();
    return [worker](const DoorRequest &request) { return worker->serve(request); };
}

} // namespace standin
