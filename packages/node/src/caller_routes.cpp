#include "dispatch_duty.hpp"
#include "routes.hpp"

#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/codec/target_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpulley::node {
namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view stepsPath = "/v1/steps";
constexpr std::string_view weightsRoute = "POST /v1/weights";
constexpr core::Duration defaultTimeout = std::chrono::seconds(5);
constexpr std::uint64_t maxTimeoutMilliseconds = 3'600'000;
constexpr std::uint64_t maxWaitMilliseconds = 60'000;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

bool refuse(Parts &parts, core::ReplyToken token, std::uint32_t status, const std::string &detail)
{
    core::CallAnswer answer = core::makeNotRunAnswer(core::Reason::BadRequest);
    answer.status = status;
    net::ServerResponse response = toServerResponse(token, answer);
    response.body = codec::encodeRefusal(answer, detail);
    parts.callerServer->respond(std::move(response));
    return true;
}

// Refuses this attempt because the ring is full. Other attempts of the same call may have run.
bool refuseQueueFull(Parts &parts, const core::CallReceived &event)
{
    const core::CallAttempt attempt{event.reply, event.call, event.deadline, false};
    const core::CallAnswer answer =
            core::makeRefusalAnswer(attempt, false, core::Reason::QueueFull, runtime::now());
    parts.callerServer->respond(toServerResponse(event.reply, answer));
    return true;
}

// The target "/v1/services/orders/book?x=1" names the service "orders" and the path "/book?x=1".
bool routeCall(Parts &parts, net::ServerRequest &&request)
{
    const std::string serviceAndPath = request.target.substr(servicesPrefix.size());
    const std::size_t slash = serviceAndPath.find('/');
    core::Duration timeout = defaultTimeout;
    const std::string timeoutText = net::findHeader(request.headers, "X-Timeout-Ms");
    if (!timeoutText.empty()) {
        const auto number = parseNumber(timeoutText);
        if (!number || *number > maxTimeoutMilliseconds)
            return refuse(parts, request.token, statusBadRequest,
                          "X-Timeout-Ms: a whole number from 0 to 3600000");
        timeout = std::chrono::milliseconds(*number);
    }
    core::CallReceived event;
    event.reply = request.token;
    event.call.service.value = serviceAndPath.substr(0, slash);
    event.call.path = slash == std::string::npos ? "/" : serviceAndPath.substr(slash);
    event.call.method = std::move(request.method);
    event.call.customer = net::findHeader(request.headers, "X-Customer");
    event.call.idempotencyKey = net::findHeader(request.headers, "Idempotency-Key");
    event.call.firstAttempt = net::findHeader(request.headers, "X-Attempt") == "1";
    event.call.contentType = net::findHeader(request.headers, "Content-Type");
    event.call.body = std::move(request.body);
    event.deadline = runtime::now() + timeout;
    if (!parts.dispatch.inbox().tryPush(std::move(event)))
        return refuseQueueFull(parts, event); // NOLINT(bugprone-use-after-move): not moved from
    return true;
}

std::optional<core::StepRequest> parseStepPath(const std::string &method, std::string_view path)
{
    constexpr std::string_view acknowledgeSuffix = "/ack";
    path.remove_prefix(stepsPath.size());
    const bool isAcknowledgement = path.ends_with(acknowledgeSuffix);
    if (isAcknowledgement)
        path.remove_suffix(acknowledgeSuffix.size());
    const std::size_t slash = path.rfind('/');
    if (path.empty() || path.front() != '/' || slash == 0)
        return std::nullopt;
    const auto number = parseNumber(path.substr(slash + 1));
    if (!number)
        return std::nullopt;
    const core::StepId id{{std::string(path.substr(1, slash - 1))}, *number};
    if (isAcknowledgement && method == "POST")
        return core::AcknowledgeStep{id, {}};
    if (!isAcknowledgement && method == "GET")
        return core::FetchStep{id, {}, {}};
    return std::nullopt;
}

// Parses a query such as "trainer_version=7&wait_ms=1000".
// \return a description of the error, or "".
std::string parseFetchQuery(std::string_view query, core::FetchStep &fetch)
{
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        const std::string_view name = parameter.substr(0, equals);
        const auto number = parseNumber(parameter.substr(std::min(equals + 1, parameter.size())));
        if (name == "trainer_version" && number)
            fetch.trainerVersion = core::WeightVersion{*number};
        else if (name == "wait_ms" && number && *number <= maxWaitMilliseconds)
            fetch.maxWait = std::chrono::milliseconds(*number);
        else
            return "query: trainer_version=N and wait_ms=0 to 60000";
    }
    return {};
}

// Sets the fields that the path does not contain, from the query or the body.
// \return a description of the error, or "".
std::string completeStepRequest(core::StepRequest &stepRequest, const net::ServerRequest &request)
{
    const std::size_t queryStart = request.target.find('?');
    const std::string_view query =
            queryStart == std::string::npos
                    ? std::string_view()
                    : std::string_view(request.target).substr(queryStart + 1);
    if (auto *fetch = std::get_if<core::FetchStep>(&stepRequest))
        return parseFetchQuery(query, *fetch);
    auto digest = codec::decodeAcknowledgement(request.body);
    if (!digest)
        return "body: an object with the digest of the batch";
    std::get<core::AcknowledgeStep>(stepRequest).digest = std::move(digest.value());
    return {};
}

bool routeStepRequest(Parts &parts, net::ServerRequest &&request)
{
    core::StepRequested event;
    event.reply = request.token;
    if (request.method == "POST" && request.target == stepsPath) {
        codec::ParsedStepSpec parsed = codec::parseStepSpec(request.body);
        if (!parsed.problems.empty()) {
            const core::ConfigurationProblem &first = parsed.problems.front();
            return refuse(parts, request.token, statusBadRequest,
                          first.place + " " + first.problem + "; allowed: " + first.allowed);
        }
        event.request = core::OpenStep{std::move(parsed.spec)};
    } else {
        const std::string_view path = request.target;
        auto parsed = parseStepPath(request.method, path.substr(0, path.find('?')));
        if (!parsed)
            return refuse(parts, request.token, statusNotFound,
                          "use POST /v1/steps, GET /v1/steps/TRAINER/STEP or POST "
                          "/v1/steps/TRAINER/STEP/ack");
        const std::string problem = completeStepRequest(*parsed, request);
        if (!problem.empty())
            return refuse(parts, request.token, statusBadRequest, problem);
        event.request = std::move(*parsed);
    }
    return parts.rollout.inbox().tryPush(std::move(event));
}

bool routeWeightsUpdate(Parts &parts, const net::ServerRequest &request)
{
    codec::ParsedWeightsUpdate parsed = codec::parseWeightsUpdate(request.body);
    if (!parsed.problems.empty()) {
        const core::ConfigurationProblem &first = parsed.problems.front();
        return refuse(parts, request.token, statusBadRequest,
                      first.place + " " + first.problem + "; allowed: " + first.allowed);
    }
    return parts.engines.inbox().tryPush(
            core::WeightsUpdateRequested{request.token, std::move(parsed.model), parsed.version});
}

} // namespace

bool routeCallerRequest(Parts &parts, net::ServerRequest &&request)
{
    if (request.target.starts_with(servicesPrefix))
        return routeCall(parts, std::move(request));
    if (request.target.starts_with(stepsPath))
        return routeStepRequest(parts, std::move(request));
    if (request.method + " " + request.target == weightsRoute)
        return routeWeightsUpdate(parts, request);
    return refuse(parts, request.token, statusNotFound,
                  "use /v1/services/SERVICE/PATH, /v1/steps or POST /v1/weights");
}

} // namespace geraniumpulley::node
