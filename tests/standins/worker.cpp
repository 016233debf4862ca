#include "standin.hpp"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <utility>
#include <vector>

namespace standin {
namespace {

using geraniumpulley::core::Duration;
using geraniumpulley::net::findHeader;
using geraniumpulley::net::ServerRequest;
using web::json::value;

constexpr Duration timePerEvent = std::chrono::milliseconds(10);
constexpr std::uint64_t minEventCount = 4;
constexpr std::uint64_t eventCountRange = 9;
// A request with this body ends the process.
constexpr const char *crashingBody = "crash";

// The text of an item and its number of events depend only on its id, so that tests can compute the
// expected result.
std::uint64_t eventCount(const std::string &item)
{
    std::uint64_t sum = 0;
    for (const char character : item)
        sum += static_cast<unsigned char>(character);
    return minEventCount + sum % eventCountRange;
}

// A model engine, or a plain service when `model` is empty.
struct Worker
{
    std::string id;
    std::string model;
    std::uint64_t version = 1;
    std::uint64_t acceptedOrders = 0;
    std::uint64_t highestFencingToken = 0;
    std::uint64_t remainingRefusals = 0; // How many of the next requests are refused.
    std::string rateLimit; // The limit stated in answers; empty for none.
    bool statesLeaving = false; // Answers state that the worker leaves.
    std::string software; // Ends the data of each event; empty for none.
    std::uint64_t fixedEventCount = 0; // The length of all texts; 0 for one that follows the id.
    std::size_t eventBytes = 0; // Bytes that are added to the data of each event.
    std::vector<value> executedRequestIds;

    Reply serve(const ServerRequest &request)
    {
        const std::string path = requestPath(request);
        if (path == "/_worker")
            return this->configure(value::parse(request.body));
        if (path == "/_ledger")
            return {200, value::array(this->executedRequestIds).serialize(), {}};
        const std::string expected = findHeader(request.headers, "X-Expect-Instance");
        if (!expected.empty() && expected != this->id)
            return {421, "", {}};
        if (path == "/-/report")
            return this->report();
        if (path == "/-/order")
            return this->acceptOrder(value::parse(request.body));
        return this->runRequest(request);
    }

    Reply configure(const value &settings)
    {
        if (settings.has_field("id"))
            this->id = settings.at("id").as_string();
        if (settings.has_field("model"))
            this->model = settings.at("model").as_string();
        if (settings.has_field("refusals"))
            this->remainingRefusals = settings.at("refusals").as_number().to_uint64();
        if (settings.has_field("rate_limit"))
            this->rateLimit = settings.at("rate_limit").as_string();
        if (settings.has_field("leaving"))
            this->statesLeaving = settings.at("leaving").as_bool();
        if (settings.has_field("software"))
            this->software = settings.at("software").as_string();
        if (settings.has_field("events"))
            this->fixedEventCount = settings.at("events").as_number().to_uint64();
        if (settings.has_field("event_bytes"))
            this->eventBytes = settings.at("event_bytes").as_number().to_uint64();
        return {};
    }

    Reply report() const
    {
        return {200,
                fmt::format(R"({{"stage":"mixed","models":[{{"name":"{}","version":{}}}],)"
                            R"("busy":false,"sequence":{}}})",
                            this->model, this->version, this->acceptedOrders),
                {}};
    }

    Reply acceptOrder(const value &order)
    {
        const std::uint64_t fencingToken = order.at("fence").as_number().to_uint64();
        if (fencingToken < this->highestFencingToken)
            return {412, "{}", {}};
        this->highestFencingToken = fencingToken;
        if (order.at("expected").as_number().to_uint64() != this->acceptedOrders)
            return {409, "{}", {}};
        ++this->acceptedOrders;
        this->version = order.at("version").as_number().to_uint64();
        return {202, "{}", {}};
    }

    Reply runRequest(const ServerRequest &request)
    {
        const std::string requestId = findHeader(request.headers, "X-Attempt-Id");
        Reply reply;
        reply.headers = {{"X-Attempt-Id", requestId}};
        if (this->statesLeaving)
            reply.headers.push_back({"Server-Leaving", "1"});
        if (!this->rateLimit.empty())
            reply.headers.push_back({"Server-Limit", this->rateLimit});
        if (this->remainingRefusals > 0) {
            --this->remainingRefusals;
            reply.status = 503;
            reply.headers.push_back({"X-Not-Executed", "1"});
            return reply;
        }
        if (request.body == crashingBody)
            std::_Exit(EXIT_FAILURE);
        this->executedRequestIds.push_back(value::string(requestId));
        reply.headers.push_back({"X-Server-Stamp", "stamp-" + requestId});
        if (this->model.empty()) {
            reply.body = "answer to " + request.target + ": " + request.body;
            return reply;
        }
        reply.headers.push_back({"X-Weight-Versions", fmt::format("{}", this->version)});
        reply.contentType = "text/event-stream";
        const std::string lastEventId = findHeader(request.headers, "Last-Event-Id");
        this->streamEvent(reply, requestId, lastEventId.empty() ? 1 : std::stoull(lastEventId) + 1);
        return reply;
    }

    // Sets the body of `reply` to the event `eventId`. Each further event is a separate part of the
    // chunked answer.
    void streamEvent(Reply &reply, const std::string &item, std::uint64_t eventId)
    {
        if (eventId > (this->fixedEventCount > 0 ? this->fixedEventCount : eventCount(item))) {
            reply.body.clear();
            reply.nextPart = nullptr;
            return;
        }
        reply.body = fmt::format("id: {}\ndata: {}:{}{}{}\n\n", eventId, item, eventId,
                                 this->software.empty() ? "" : ":" + this->software,
                                 std::string(this->eventBytes, '.'));
        reply.delay = timePerEvent;
        reply.nextPart = [this, item, eventId] {
            Reply next;
            this->streamEvent(next, item, eventId + 1);
            return next;
        };
    }
};

} // namespace

Service makeWorker()
{
    auto worker = std::make_shared<Worker>();
    return [worker](const ServerRequest &request) { return worker->serve(request); };
}

} // namespace standin
