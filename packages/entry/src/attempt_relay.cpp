#include "attempt_relay.hpp"

#include "peer_paths.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <memory>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using Delivery = codec::RelayedAnswer::Delivery;

// Requests of other nodes in flight at a time. What does not fit is refused at once, so that the
// requests of this node's own clients are served.
constexpr std::size_t maxServed = 64;
// Cancel keys of relayed requests start far above those of the call duty.
constexpr std::uint64_t firstKey = std::uint64_t{1} << 63U;
constexpr core::Duration connectTimeout = std::chrono::milliseconds(300);
// The peer gives up earlier by this margin, so that its reply arrives in time.
constexpr core::Duration replyMargin = std::chrono::milliseconds(20);
constexpr core::Duration cancelTimeout = std::chrono::milliseconds(500);

net::SendFailure toFailure(Delivery delivery)
{
    switch (delivery) {
    case Delivery::Answered:
        return net::SendFailure::None;
    case Delivery::NotSent:
        return net::SendFailure::NotSent;
    case Delivery::AnswerLost:
        break;
    }
    return net::SendFailure::AnswerLost;
}

Delivery toDelivery(net::SendFailure failure)
{
    switch (failure) {
    case net::SendFailure::None:
        return Delivery::Answered;
    case net::SendFailure::NotSent:
        return Delivery::NotSent;
    case net::SendFailure::AnswerLost:
        break;
    }
    return Delivery::AnswerLost;
}

net::HttpResult toResult(net::PeerReply &&reply)
{
    net::HttpResult result;
    result.failure = reply.failure;
    if (reply.failure != net::SendFailure::None)
        return result;
    auto answer = codec::decodeRelayedAnswer(reply.body);
    if (!answer) {
        result.failure = net::SendFailure::AnswerLost;
        return result;
    }
    result.failure = toFailure(answer.value().delivery);
    result.status = answer.value().status;
    result.headers = std::move(answer.value().headers);
    result.body = std::move(answer.value().body);
    result.isSelfDelimited = answer.value().isSelfDelimited;
    result.closedByServer = answer.value().closedByTarget;
    return result;
}

std::string encodeResult(net::HttpResult &&result)
{
    return codec::encodeRelayedAnswer({toDelivery(result.failure), result.closedByServer,
                                       result.isSelfDelimited, result.status,
                                       std::move(result.headers), std::move(result.body)});
}

} // namespace

AttemptRelay::AttemptRelay(net::HttpClient &client, net::PeerLink &peers, runtime::Metrics &metrics,
                           std::string selfId, RelayedTargets targets)
    : client(client), peers(peers), metrics(metrics), selfId(std::move(selfId)),
      targets(std::move(targets))
{
}

std::string AttemptRelay::relayIdOf(std::uint64_t operation) const
{
    return fmt::format("{}/{}", this->selfId, operation);
}

void AttemptRelay::send(const core::Node &peer, std::uint64_t operation, net::HttpRequest &&request)
{
    {
        const std::lock_guard lock(this->mutex);
        this->peerAddresses[operation] = peer.address;
    }
    this->metrics.count("attempts_relayed");
    codec::RelayedAttempt attempt;
    attempt.id = this->relayIdOf(operation);
    attempt.address = std::move(request.address);
    attempt.method = std::move(request.method);
    attempt.target = std::move(request.target);
    attempt.host = std::move(request.host);
    attempt.requestId = std::move(request.requestId);
    attempt.idHeader = std::move(request.idHeader);
    attempt.headers = std::move(request.headers);
    attempt.body = std::move(request.body);
    attempt.timeLeft = request.deadline - runtime::now() - replyMargin;
    attempt.reuseConnection = request.reuseConnection;
    this->peers.send({peer.address, attemptsPath, codec::encodeRelayedAttempt(attempt),
                      request.deadline,
                      [this, operation, done = std::move(request.done)](net::PeerReply &&reply) {
                          {
                              const std::lock_guard lock(this->mutex);
                              this->peerAddresses.erase(operation);
                          }
                          done(toResult(std::move(reply)));
                      }});
}

bool AttemptRelay::cancel(std::uint64_t operation)
{
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        const auto position = this->peerAddresses.find(operation);
        if (position == this->peerAddresses.end())
            return false;
        address = position->second;
    }
    this->peers.send({std::move(address), cancelAttemptPath, this->relayIdOf(operation),
                      runtime::now() + cancelTimeout, [](auto &&) {}});
    return true;
}

std::optional<net::CancelKey> AttemptRelay::admit(const std::string &relayId, core::Time deadline)
{
    const std::lock_guard lock(this->mutex);
    if (this->served.size() >= maxServed || deadline > this->answersDueAt)
        return std::nullopt;
    const net::CancelKey key{firstKey + this->nextKey++};
    this->served[relayId] = key;
    return key;
}

void AttemptRelay::finish(const std::string &relayId)
{
    {
        const std::lock_guard lock(this->mutex);
        this->served.erase(relayId);
    }
    this->becameIdle.notify_all();
}

void AttemptRelay::drain(core::Time answersDueAt)
{
    const std::lock_guard lock(this->mutex);
    this->answersDueAt = answersDueAt;
}

bool AttemptRelay::waitUntilIdle(core::Duration timeout)
{
    std::unique_lock lock(this->mutex);
    return this->becameIdle.wait_for(lock, timeout, [this] { return this->served.empty(); });
}

void AttemptRelay::serve(const net::PeerMessage &message)
{
    auto decoded = codec::decodeRelayedAttempt(message.body);
    const bool isAllowed = decoded && this->targets.takesRequests(decoded.value().address);
    const core::Time deadline =
            isAllowed ? runtime::now() + decoded.value().timeLeft : core::Time{};
    const auto key = isAllowed ? this->admit(decoded.value().id, deadline) : std::nullopt;
    if (!key) {
        this->metrics.count("relays_refused");
        return this->peers.reply(
                message.token,
                codec::encodeRelayedAnswer({Delivery::NotSent, false, true, 0, {}, {}}));
    }
    this->metrics.count("relays_served");
    codec::RelayedAttempt &attempt = decoded.value();
    net::HttpRequest request;
    request.address = std::move(attempt.address);
    request.method = std::move(attempt.method);
    request.target = std::move(attempt.target);
    request.host = std::move(attempt.host);
    request.requestId = std::move(attempt.requestId);
    request.idHeader = std::move(attempt.idHeader);
    request.headers = std::move(attempt.headers);
    request.body = std::move(attempt.body);
    request.deadline = deadline;
    request.connectTimeout = connectTimeout;
    request.reuseConnection = attempt.reuseConnection;
    request.cancelKey = *key;
    request.done = [this, id = attempt.id, address = request.address,
                    token = message.token](net::HttpResult &&result) {
        this->targets.onAnswered(address, result);
        this->peers.reply(token, encodeResult(std::move(result)));
        this->finish(id);
    };
    this->client.send(std::move(request));
}

void AttemptRelay::serveCancel(const net::PeerMessage &message)
{
    this->peers.reply(message.token, {});
    const std::lock_guard lock(this->mutex);
    const auto position = this->served.find(message.body);
    if (position != this->served.end())
        static_cast<void>(this->client.cancel(position->second));
}

std::optional<core::Node> chooseRelayPeer(const core::Presence &presence, std::uint64_t draw,
                                          core::Time now)
{
    const std::vector<core::Node> peers = core::peersThatReachTargets(presence, now);
    if (peers.empty())
        return std::nullopt;
    return peers[draw % peers.size()];
}

} // namespace geraniumpulley::entry
