#include "routes.hpp"

#include "batch_store.hpp"
#include "peer_paths.hpp"

#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/platform/client_messages.hpp>

#include <fmt/format.h>

#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

bool answerStatus(net::HttpDoor &server, core::ReplyToken token, std::uint32_t status,
                  std::string body = {})
{
    net::DoorAnswer response;
    response.token = token;
    response.status = status;
    response.contentType = "text/plain";
    response.body = std::move(body);
    server.answer(std::move(response));
    return true;
}

bool answerBadRequest(Parts &parts, core::ReplyToken token, const std::string &problem)
{
    parts.logger.write("request_malformed", field("problem", problem));
    parts.callers->answer(platform::encodeBadRequest(token, problem));
    return true;
}

bool routeBatchRequest(Parts &parts, const net::DoorRequest &request)
{
    auto decoded = platform::decodeBatchRequest(request);
    if (!decoded)
        return answerBadRequest(parts, request.token, decoded.error().message());
    return std::visit([&](auto &event) { return parts.batches.inbox().tryPush(std::move(event)); },
                      decoded.value());
}

bool routeSubmission(Parts &parts, net::DoorRequest &&request)
{
    const core::ReplyToken token = request.token;
    if (request.body.size() > maxSubmittedBytes) {
        parts.logger.write("batch_too_large", field("bytes", request.body.size()),
                           field("most", maxSubmittedBytes));
        return answerStatus(*parts.callers, token, core::status::contentTooLarge);
    }
    auto spec = platform::decodeSubmission(std::move(request));
    if (!spec)
        return answerBadRequest(parts, token, spec.error().message());
    return parts.batches.inbox().tryPush(core::SubmitAsked{token, std::move(spec.value())});
}

} // namespace

bool routeClient(Parts &parts, net::DoorRequest &&request)
{
    if (platform::isBatchRequest(request))
        return routeBatchRequest(parts, request);
    const core::DirectoryPointer directory = parts.directory.get();
    const core::Route *route = nullptr;
    if (directory && directory->routing)
        route = core::findRoute(*directory->routing, platform::hostOf(request), request.target);
    const bool isSubmission = route != nullptr && route->kind == core::RouteKind::Batch;
    if (isSubmission && request.method == "POST")
        return routeSubmission(parts, std::move(request));
    const core::ReplyToken token = request.token;
    return parts.calls.inbox().tryPush(
            core::CallArrived{token, platform::decodeCall(std::move(request))});
}

void noteClientLeft(Parts &parts, core::ReplyToken token)
{
    // If a ring is full, a duty is not notified and the request continues until its deadline.
    const bool isNotified = parts.calls.inbox().tryPush(core::CallerLeft{token})
                            && parts.batches.inbox().tryPush(core::AskerLeft{token});
    if (!isNotified)
        parts.metrics.count("departures_dropped");
}

bool routePeer(Parts &parts, net::PeerMessage &&message)
{
    if (message.path == storePath) {
        parts.store->relay(message);
        return true;
    }
    if (message.path != tablesPath)
        return false;
    parts.peers->reply(message.token, codec::encodeCopies(parts.tables.all()));
    return true;
}

bool routeReadiness(Parts &parts, const net::DoorRequest &request)
{
    if (!platform::isReadinessQuestion(request))
        return answerStatus(*parts.readiness, request.token, core::status::notFound);
    const core::DirectoryPointer directory = parts.directory.get();
    const bool isReady =
            !parts.draining && directory && directory->routing && directory->targetsKnown;
    return answerStatus(*parts.readiness, request.token,
                        isReady ? core::status::ok : core::status::unavailable);
}

bool routeMetrics(Parts &parts, const net::DoorRequest &request)
{
    std::string text = parts.metrics.render();
    text += fmt::format("log_lines_dropped {}\n", parts.logger.droppedLines());
    text += fmt::format("target_connections_opened {}\n", parts.targets->connectionsOpened());
    text += fmt::format("engine_connections_opened {}\n", parts.engines->connectionsOpened());
    text += fmt::format("peer_bytes {}\n", parts.peers->traffic());
    return answerStatus(*parts.metricsDoor, request.token, core::status::ok, std::move(text));
}

} // namespace geraniumpulley::entry
