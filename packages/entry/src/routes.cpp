#include "routes.hpp"

#include "batch_store.hpp"
#include "crash_store.hpp"
#include "duties.hpp"
#include "peer_paths.hpp"
#include "permit_link.hpp"
#include "progress_messages.hpp"

#include <geraniumpulley/core/accounts/authorization.hpp>
#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/platform/client_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

const char *nameOf(core::AccessVerdict verdict)
{
    switch (verdict) {
    case core::AccessVerdict::Granted:
        return "granted";
    case core::AccessVerdict::UnknownKey:
        return "unknown_key";
    case core::AccessVerdict::TableOutdated:
        return "table_outdated";
    case core::AccessVerdict::NoRoutingTable:
        break;
    }
    return "no_routing_table";
}

bool answerStatus(net::HttpServer &server, core::ReplyToken token, std::uint32_t status,
                  std::string body = {})
{
    net::ServerResponse response;
    response.token = token;
    response.status = status;
    response.contentType = "text/plain";
    response.body = std::move(body);
    server.respond(std::move(response));
    return true;
}

bool answerBadRequest(Parts &parts, core::ReplyToken token, const std::string &problem)
{
    parts.logger.write("request_malformed", field("problem", problem));
    parts.callerServer->respond(platform::encodeBadRequest(token, problem));
    return true;
}

bool denyAccess(Parts &parts, const net::ServerRequest &request, core::AccessVerdict verdict)
{
    parts.metrics.count(std::string("access_") + nameOf(verdict));
    parts.logger.write("access_denied", field("request", platform::requestId(request)),
                       field("reason", nameOf(verdict)),
                       field("has_key", platform::findKey(request).has_value()));
    parts.callerServer->respond(platform::encodeAccessDenied(request.token, verdict));
    return true;
}

bool routeBatchRequest(Parts &parts, const net::ServerRequest &request, const core::Access &access)
{
    auto decoded = platform::decodeBatchRequest(request, access);
    if (!decoded)
        return answerBadRequest(parts, request.token, decoded.error().message());
    return std::visit([&](auto &event) { return parts.batches.inbox().tryPush(std::move(event)); },
                      decoded.value());
}

bool routeSubmission(Parts &parts, net::ServerRequest &&request, const core::Access &access)
{
    const core::ReplyToken token = request.token;
    if (request.body.size() > maxSubmissionBytes) {
        parts.logger.write("batch_too_large", field("bytes", request.body.size()),
                           field("most", maxSubmissionBytes));
        return answerStatus(*parts.callerServer, token, core::status::contentTooLarge);
    }
    auto spec = platform::decodeSubmission(std::move(request), access);
    if (!spec)
        return answerBadRequest(parts, token, spec.error().message());
    // The duty refuses what has no room, unless it knows the batch already.
    const bool hasRoom = parts.batchMemory.hasRoomFor(*spec.value());
    return parts.batches.inbox().tryPush(core::BatchSubmissionReceived{
            token, parts.batchMemory.hold(std::move(spec.value())), hasRoom});
}

} // namespace

bool routeClientRequest(Parts &parts, net::ServerRequest &&request)
{
    const core::DirectoryPointer directory = parts.directory.get();
    const bool isBatchRequest = platform::isBatchRequest(request);
    const core::Route *route = nullptr;
    if (directory && directory->routing && !isBatchRequest)
        route = core::findRoute(*directory->routing, platform::requestHost(request),
                                request.target);
    auto progressRequest =
            route == nullptr && !isBatchRequest ? decodeProgressRequest(request) : std::nullopt;
    const core::Access access =
            core::authorize(directory.get(), route, platform::findKey(request), runtime::now());
    // Without a route the call duty refuses the request, whoever sends it.
    const bool isRouted = route != nullptr || isBatchRequest || progressRequest;
    if (isRouted && access.verdict != core::AccessVerdict::Granted)
        return denyAccess(parts, request, access.verdict);
    if (isBatchRequest)
        return routeBatchRequest(parts, request, access);
    const bool isSubmission = route != nullptr && route->kind == core::RouteKind::Batch;
    if (isSubmission && request.method == "POST")
        return routeSubmission(parts, std::move(request), access);
    if (progressRequest)
        return parts.batches.inbox().tryPush(core::BatchProgressRequested{
                request.token, core::qualifyBatchId(access.account, progressRequest->value),
                false});
    const core::ReplyToken token = request.token;
    return parts.calls.inbox().tryPush(
            core::EntryCallReceived{token, platform::decodeEntryCall(std::move(request), access)});
}

void onClientDisconnected(Parts &parts, core::ReplyToken token)
{
    // If a ring is full, a duty is not notified and the request continues until its deadline.
    const bool isNotified = parts.calls.inbox().tryPush(core::CallerDisconnected{token})
                            && parts.batches.inbox().tryPush(core::RequesterDisconnected{token});
    if (!isNotified)
        parts.metrics.count("departures_dropped");
}

bool routePeerMessage(Parts &parts, net::PeerMessage &&message)
{
    if (message.path == storeRelayPath) {
        parts.storeLink->relay(message);
        return true;
    }
    if (message.path == permitsPath) {
        replyToPermitRequest(parts, message);
        return true;
    }
    if (message.path == attemptsPath) {
        parts.attemptRelay->serve(message);
        return true;
    }
    if (message.path == cancelAttemptPath) {
        parts.attemptRelay->serveCancel(message);
        return true;
    }
    if (message.path == crashesPath)
        return receiveCrashRecords(parts, message);
    if (message.path == demandPath)
        return receiveDemand(parts, message);
    if (message.path == progressPath)
        return parts.batches.inbox().tryPush(
                core::BatchProgressRequested{message.token, {message.body}, true});
    if (message.path != tablesPath)
        return false;
    parts.peerLink->reply(message.token, codec::encodeRowCopies(parts.tables.allRows()));
    return true;
}

bool routeReadinessRequest(Parts &parts, const net::ServerRequest &request)
{
    if (!platform::isReadinessRequest(request))
        return answerStatus(*parts.readinessServer, request.token, core::status::notFound);
    const core::DirectoryPointer directory = parts.directory.get();
    const bool isReady =
            !parts.isDraining && directory && directory->routing && directory->targetsKnown;
    return answerStatus(*parts.readinessServer, request.token,
                        isReady ? core::status::ok : core::status::unavailable);
}

bool routeMetricsRequest(Parts &parts, const net::ServerRequest &request)
{
    std::string text = parts.metrics.render();
    text += fmt::format("log_lines_dropped {}\n", parts.logger.droppedLines());
    text += fmt::format("target_connections_opened {}\n", parts.targetClient->connectionsOpened());
    text += fmt::format("engine_connections_opened {}\n", parts.engineClient->connectionsOpened());
    text += fmt::format("oversized_responses {}\n",
                        parts.targetClient->oversizedResponseCount()
                                + parts.engineClient->oversizedResponseCount()
                                + parts.storeClient->oversizedResponseCount());
    text += fmt::format("peer_bytes {}\n", parts.peerLink->trafficBytes());
    text += fmt::format("requests_refused_for_memory {}\n",
                        parts.callerServer->memoryRefusalCount());
    text += fmt::format("connections_displaced {}\n",
                        parts.callerServer->displacedConnectionCount());
    text += fmt::format("connections_refused {}\n", parts.callerServer->refusedConnectionCount());
    text += fmt::format("accept_failures {}\n", parts.callerServer->acceptFailureCount());
    text += fmt::format("request_exceptions {}\n", parts.callerServer->failureCount());
    text += fmt::format("batch_bytes_held {}\n", parts.batchMemory.heldBytes());
    text += fmt::format("misplaced_responses {}\n", parts.callerServer->misplacedResponseCount());
    return answerStatus(*parts.metricsServer, request.token, core::status::ok, std::move(text));
}

} // namespace geraniumpulley::entry
