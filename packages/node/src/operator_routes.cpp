#include "platform_replies.hpp"
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
    net::ServerResponse reply;
    reply.token = token;
    reply.status = status;
    reply.contentType = std::move(contentType);
    reply.body = std::move(body);
    parts.operatorServer->respond(std::move(reply));
    return true;
}

bool routeSubmission(Parts &parts, const net::ServerRequest &request)
{
    codec::ParsedSubmission parsed = codec::parseSubmission(request.body);
    if (!parsed.problems.empty())
        return sendResponse(parts, request.token, statusBadRequest,
                            codec::encodeProblems(parsed.problems));
    core::SubmissionReceived event;
    event.reply = request.token;
    event.base = parsed.base;
    event.document = std::move(parsed.document);
    event.submittedAt = runtime::wallNow();
    return parts.control.inbox().tryPush(std::move(event));
}

// The audit trail is read from the store directly: it needs no decision of the control duty.
bool routeAudit(Parts &parts, core::ReplyToken token)
{
    const std::string path = std::string("/table/rows?prefix=") + codec::auditRowPrefix;
    parts.platformClient->send({"GET", path, {}, [&parts, token](net::PlatformReply &&reply) {
                                    const bool succeeded = isOk(reply);
                                    sendResponse(
                                            parts, token, succeeded ? statusOk : statusUnavailable,
                                            succeeded ? codec::encodeAuditTrail(reply.body)
                                                      : R"({"error":"the store does not answer"})");
                                }});
    return true;
}

std::string renderMetrics(const Parts &parts)
{
    return parts.metrics.render()
           + fmt::format("peer_bytes {}\nplatform_bytes {}\nlog_lines_dropped {}\n",
                         parts.peerLink->trafficBytes(), parts.platformClient->trafficBytes(),
                         parts.logger.droppedLines());
}

} // namespace

bool routeOperatorRequest(Parts &parts, net::ServerRequest &&request)
{
    const std::string route = request.method + " " + request.target;
    if (route == "POST /configuration")
        return routeSubmission(parts, request);
    if (route == "GET /status")
        return parts.control.inbox().tryPush(
                core::StatusRequested{request.token, core::StatusQuery::Status});
    if (route == "GET /readyz" && parts.isDraining)
        return sendResponse(parts, request.token, statusUnavailable,
                            R"({"ready":false,"reason":"draining"})");
    if (route == "GET /readyz")
        return parts.control.inbox().tryPush(
                core::StatusRequested{request.token, core::StatusQuery::Readiness});
    if (route == "GET /audit")
        return routeAudit(parts, request.token);
    if (route == "GET /healthz")
        return sendResponse(parts, request.token, statusOk, R"({"alive":true})");
    if (route == "GET /metrics")
        return sendResponse(parts, request.token, statusOk, renderMetrics(parts), "text/plain");
    return sendResponse(parts, request.token, statusNotFound, R"({"error":"no such page"})");
}

} // namespace geraniumpulley::node
