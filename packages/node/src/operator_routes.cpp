#include "platform_results.hpp"
#include "routes.hpp"

#include <geraniumpulley/codec/operator_messages.hpp>
#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;
constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusUnavailable = 503;

bool sendResponse(Parts &parts, core::ReplyToken token, std::uint32_t status, std::string body,
                  std::string contentType = "application/json")
{
    net::DoorAnswer reply;
    reply.token = token;
    reply.status = status;
    reply.contentType = std::move(contentType);
    reply.body = std::move(body);
    parts.operators->answer(std::move(reply));
    return true;
}

bool routeSubmission(Parts &parts, const net::DoorRequest &request)
{
    codec::ParsedSubmission parsed = codec::parseSubmission(request.body);
    if (!parsed.problems.empty())
        return sendResponse(parts, request.token, statusBadRequest,
                            codec::encodeProblems(parsed.problems));
    core::SubmissionReceived event;
    event.reply = request.token;
    event.base = parsed.base;
    event.document = std::move(parsed.document);
    event.when = runtime::wallNow();
    return parts.control.inbox().tryPush(std::move(event));
}

// The audit trail is read from the store directly: it needs no decision of the control duty.
bool routeAudit(Parts &parts, core::ReplyToken token)
{
    const std::string path = std::string("/table/rows?prefix=") + codec::auditRowPrefix;
    parts.platform->send({"GET", path, {}, [&parts, token](net::PlatformReply &&reply) {
                              const bool succeeded = isOk(reply);
                              sendResponse(parts, token, succeeded ? statusOk : statusUnavailable,
                                           succeeded ? codec::encodeAuditTrail(reply.body)
                                                     : R"({"error":"the store does not answer"})");
                          }});
    return true;
}

std::string renderMetrics(const Parts &parts)
{
    return parts.metrics.render()
           + fmt::format("peer_bytes {}\nplatform_bytes {}\nlog_lines_dropped {}\n",
                         parts.peers->traffic(), parts.platform->traffic(),
                         parts.logger.droppedLines());
}

} // namespace

bool routeOperator(Parts &parts, net::DoorRequest &&request)
{
    const std::string route = request.method + " " + request.target;
    if (route == "POST /configuration")
        return routeSubmission(parts, request);
    if (route == "GET /status")
        return parts.control.inbox().tryPush(
                core::StatusAsked{request.token, core::StatusQuestion::Status});
    if (route == "GET /readyz" && parts.draining)
        return sendResponse(parts, request.token, statusUnavailable,
                            R"({"ready":false,"reason":"draining"})");
    if (route == "GET /readyz")
        return parts.control.inbox().tryPush(
                core::StatusAsked{request.token, core::StatusQuestion::Readiness});
    if (route == "GET /audit")
        return routeAudit(parts, request.token);
    if (route == "GET /healthz")
        return sendResponse(parts, request.token, statusOk, R"({"alive":true})");
    if (route == "GET /metrics")
        return sendResponse(parts, request.token, statusOk, renderMetrics(parts), "text/plain");
    return sendResponse(parts, request.token, statusNotFound, R"({"error":"no such page"})");
}

} // namespace geraniumpulley::node
