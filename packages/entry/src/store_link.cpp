#include "store_link.hpp"

#include "peer_paths.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration connectTimeout = std::chrono::milliseconds(400);
// The relaying node times out earlier by this margin, so that its reply arrives in time.
constexpr core::Duration relayMargin = std::chrono::milliseconds(30);

StoreReply toReply(net::HttpResult &&result)
{
    switch (result.failure) {
    case net::SendFailure::None:
        return {codec::RelayOutcome::Answered, result.status, std::move(result.body)};
    case net::SendFailure::NotSent:
        return {codec::RelayOutcome::NotSent, 0, {}};
    case net::SendFailure::AnswerLost:
        break;
    }
    return {codec::RelayOutcome::AnswerLost, 0, {}};
}

bool isServed(const StoreReply &reply)
{
    return reply.outcome == codec::RelayOutcome::Answered && !platform::isRefusal(reply.status);
}

} // namespace

StoreLink::StoreLink(StoreLinkParts parts, std::string address, std::vector<std::string> seeds)
    : parts(parts), address(std::move(address)), seedAddresses(std::move(seeds))
{
}

void StoreLink::send(StoreRequest &&request)
{
    core::StoreRoute route{};
    {
        const std::lock_guard lock(this->mutex);
        route = core::chooseStoreRoute(this->routeState, runtime::now());
    }
    std::string peer = route == core::StoreRoute::Relay ? this->nextPeer() : std::string();
    if (peer.empty())
        this->sendDirect(std::move(request), true);
    else
        this->sendRelayed(std::move(request), std::move(peer));
}

void StoreLink::sendDirect(StoreRequest &&request, bool mayRelay)
{
    const auto pending = std::make_shared<StoreRequest>(std::move(request));
    this->callStore(pending->call, pending->timeout, [this, pending, mayRelay](StoreReply &&reply) {
        this->recordDirect(isServed(reply));
        const bool isNotExecuted =
                !isServed(reply) && reply.outcome != codec::RelayOutcome::AnswerLost;
        std::string peer = isNotExecuted && mayRelay ? this->nextPeer() : std::string();
        if (peer.empty())
            pending->done(std::move(reply));
        else
            this->sendRelayed(std::move(*pending), std::move(peer));
    });
}

void StoreLink::sendRelayed(StoreRequest &&request, std::string peer)
{
    const codec::RelayedCall call{std::move(request.call.method), std::move(request.call.target),
                                  std::move(request.call.body), request.timeout - relayMargin};
    this->parts.metrics.count("store_calls_relayed");
    this->parts.peers.send({std::move(peer), storeRelayPath, codec::encodeRelay(call),
                            runtime::now() + request.timeout,
                            [this, done = std::move(request.done)](net::PeerReply &&peerReply) {
                                StoreReply reply;
                                if (peerReply.failure == net::SendFailure::NotSent)
                                    reply.outcome = codec::RelayOutcome::NotSent;
                                if (peerReply.failure == net::SendFailure::None) {
                                    auto decoded = codec::decodeRelayedReply(peerReply.body);
                                    if (decoded)
                                        reply = std::move(decoded.value());
                                }
                                this->recordRelayed(isServed(reply));
                                done(std::move(reply));
                            }});
}

void StoreLink::callStore(const platform::StoreCall &call, core::Duration timeout, Done done)
{
    net::HttpRequest request;
    request.address = this->address;
    request.method = call.method;
    request.target = call.target;
    request.body = call.body;
    if (!call.body.empty())
        request.contentType = "application/json";
    request.deadline = runtime::now() + timeout;
    request.connectTimeout = connectTimeout;
    request.reuseConnection = true;
    request.done = [this, target = call.target, bytes = call.body.size(), done = std::move(done),
                    sentAt = runtime::now()](net::HttpResult &&result) {
        this->parts.metrics.observe("store_call", runtime::now() - sentAt);
        if (platform::isRejection(result.status)) {
            this->parts.metrics.count("store_calls_rejected");
            this->parts.logger.write("store_call_rejected", field("target", target),
                                     field("status", result.status), field("bytes", bytes));
        }
        done(toReply(std::move(result)));
    };
    this->parts.caller.send(std::move(request));
}

void StoreLink::relay(const net::PeerMessage &message)
{
    const auto call = codec::decodeRelayedCall(message.body);
    if (!call) {
        this->parts.logger.write("relay_message_malformed", field("error", call.error().message()));
        return this->parts.peers.reply(message.token, codec::encodeRelay(StoreReply{}));
    }
    if (!this->takesRelays(runtime::now() + call.value().timeLeft))
        return this->parts.peers.reply(
                message.token, codec::encodeRelay(StoreReply{codec::RelayOutcome::NotSent, 0, {}}));
    this->callStore({call.value().method, call.value().requestTarget, call.value().body},
                    call.value().timeLeft, [this, token = message.token](StoreReply &&reply) {
                        this->parts.peers.reply(token, codec::encodeRelay(reply));
                    });
}

void StoreLink::drainRelays(core::Time endsAt)
{
    const std::lock_guard lock(this->mutex);
    this->relaysEndAt = endsAt;
}

bool StoreLink::takesRelays(core::Time deadline)
{
    const std::lock_guard lock(this->mutex);
    return deadline <= this->relaysEndAt;
}

void StoreLink::setPeers(std::vector<std::string> addresses)
{
    const std::lock_guard lock(this->mutex);
    this->peerAddresses = std::move(addresses);
}

void StoreLink::setSeeds(std::vector<std::string> addresses)
{
    const std::lock_guard lock(this->mutex);
    this->seedAddresses = std::move(addresses);
}

std::string StoreLink::nextPeer()
{
    const std::lock_guard lock(this->mutex);
    const std::vector<std::string> &addresses =
            this->peerAddresses.empty() ? this->seedAddresses : this->peerAddresses;
    if (addresses.empty())
        return {};
    return addresses[this->nextPeerIndex++ % addresses.size()];
}

void StoreLink::recordDirect(bool served)
{
    bool hasChanged = false;
    {
        const std::lock_guard lock(this->mutex);
        hasChanged = core::recordDirectCall(this->routeState, served, runtime::now());
    }
    if (!served)
        this->parts.metrics.count("store_calls_failed");
    if (hasChanged)
        this->parts.logger.write(served ? "store_regained" : "store_lost",
                                 field("address", this->address));
}

void StoreLink::recordRelayed(bool served)
{
    const std::lock_guard lock(this->mutex);
    core::recordRelayedCall(this->routeState, served, runtime::now());
}

} // namespace geraniumpulley::entry
