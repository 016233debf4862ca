#include "routes.hpp"

#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <utility>

namespace geraniumpulley::node {
namespace {

// A control message has no answer; the empty reply acknowledges its receipt to the sender.
bool routeControlEvent(Parts &parts, core::ReplyToken token, core::ControlEvent event)
{
    parts.peerLink->reply(token, {});
    static_cast<void>(parts.control.inbox().tryPush(std::move(event)));
    return true;
}

} // namespace

bool routePeerMessage(Parts &parts, net::PeerMessage &&message)
{
    if (message.path == "/announcement") {
        auto announcement = codec::decodeAnnouncement(message.body);
        if (announcement)
            return routeControlEvent(parts, message.token,
                                     core::AnnouncementReceived{std::move(announcement.value())});
    } else if (message.path == "/document") {
        auto document = codec::decodeDocument(message.body);
        if (document)
            return routeControlEvent(parts, message.token,
                                     core::DocumentReceived{std::move(document.value())});
    } else if (message.path == "/document_request") {
        auto request = codec::decodeDocumentRequest(message.body);
        if (request)
            return routeControlEvent(parts, message.token, std::move(request.value()));
    } else if (message.path == "/patch") {
        auto patch = codec::decodePatch(message.body);
        if (patch)
            return routeControlEvent(parts, message.token, std::move(patch.value()));
    } else if (message.path == "/fences_changed") {
        return routeControlEvent(parts, message.token, core::LeaseEvent{core::FencesChanged{}});
    } else if (message.path == "/call") {
        auto call = codec::decodeForwardedCall(message.body);
        if (call)
            return parts.dispatch.inbox().tryPush(
                    core::CallReceived{message.token, std::move(call.value().call),
                                       runtime::now() + call.value().timeLeft, true});
    } else if (message.path == "/step") {
        auto request = codec::decodeStepRequest(message.body);
        if (request)
            return parts.rollout.inbox().tryPush(
                    core::StepRequested{message.token, std::move(request.value()), true});
    } else if (message.path == "/engine-reports") {
        return parts.engines.inbox().tryPush(core::ReportsRequested{message.token});
    } else if (message.path == "/weights") {
        auto desired = codec::decodeDesiredWeights(message.body);
        if (desired) {
            parts.peerLink->reply(message.token, {});
            return parts.engines.inbox().tryPush(std::move(desired.value()));
        }
    }
    parts.logger.write("peer_message_malformed", runtime::field("path", message.path));
    return false;
}

} // namespace geraniumpulley::node
