#include "permit_link.hpp"

#include "peer_paths.hpp"

#include <geraniumpulley/codec/permit_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

// A limiter replies within the delay of the network; clients wait for the reply.
constexpr core::Duration replyTimeout = std::chrono::milliseconds(100);

core::PermitsReceived decodeReply(Parts &parts, const core::TargetId &target,
                                  const std::string &limiter, const net::PeerReply &reply)
{
    if (reply.failure == net::SendFailure::None) {
        auto grant = codec::decodePermitGrant(reply.body);
        if (grant)
            return {target, grant.value()};
    }
    parts.metrics.count("permit_requests_failed");
    parts.logger.write("permit_request_failed", field("target", target.value),
                       field("limiter", limiter),
                       field("failure", static_cast<int>(reply.failure)));
    return {target, std::nullopt};
}

} // namespace

void requestPermits(Parts &parts, const core::RequestPermits &request, const std::string &duty,
                    std::function<void(core::PermitsReceived &&)> done)
{
    const core::Time now = runtime::now();
    const core::DirectoryPointer directory = parts.directory.get();
    const core::PermitRequest permitRequest{
            request.target, fmt::format("{}/{}", directory->presence.self.value, duty),
            request.limit, request.count, request.maxWait};
    const auto limiter =
            core::limiterOf(directory->presence, request.target, request.limiterRank, now);
    // Without a known node, this one is the only one that it can tell of.
    if (!limiter || limiter->id == directory->presence.self)
        return done({request.target, parts.rateLimiter.grant(permitRequest, now)});
    parts.peerLink->send(
            {limiter->address, permitsPath, codec::encodePermits(permitRequest), now + replyTimeout,
             [&parts, target = request.target, id = limiter->id.value, done = std::move(done)](
                     net::PeerReply &&reply) { done(decodeReply(parts, target, id, reply)); }});
}

void replyToPermitRequest(Parts &parts, const net::PeerMessage &message)
{
    const auto request = codec::decodePermitRequest(message.body);
    if (!request) {
        parts.logger.write("permit_request_malformed", field("error", request.error().message()));
        return parts.peerLink->reply(message.token, {});
    }
    parts.peerLink->reply(message.token, codec::encodePermits(parts.rateLimiter.grant(
                                                 request.value(), runtime::now())));
}

} // namespace geraniumpulley::entry
