#pragma once

#include <geraniumpulley/codec/relay_messages.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace geraniumpulley::entry {

/// What a relay asks of and tells its node about the targets of other nodes' requests.
struct RelayedTargets
{
    std::function<bool(const std::string &address)> takesRequests;
    std::function<void(const std::string &address, const net::HttpResult &result)> onAnswered;
};

/// Sends requests through other nodes while this one reaches no target, and sends those of other
/// nodes. A request is relayed once only. Thread-safe.
class AttemptRelay
{
public:
    AttemptRelay(net::HttpClient &client, net::PeerLink &peers, runtime::Metrics &metrics,
                 std::string selfId, RelayedTargets targets);

    /// Sends a request through a peer. The peer's failure to take it is a `NotSent`.
    void send(const core::Node &peer, std::uint64_t operation, net::HttpRequest &&request);

    /// Cancels a request that was sent through a peer.
    /// \return false if it was not, or has completed.
    bool cancel(std::uint64_t operation);

    /// Sends a request of another node, and replies to it.
    void serve(const net::PeerMessage &message);

    /// Cancels a request of another node.
    void serveCancel(const net::PeerMessage &message);

    /// From now on refuses requests of other nodes whose answers may come later than
    /// `answersDueAt`.
    void drain(core::Time answersDueAt);

    /// Waits until no request of another node is in flight.
    /// \return false if `timeout` passed first.
    bool waitUntilIdle(core::Duration timeout);

private:
    std::string relayIdOf(std::uint64_t operation) const;
    std::optional<net::CancelKey> admit(const std::string &relayId, core::Time deadline);
    void finish(const std::string &relayId);

    net::HttpClient &client;
    net::PeerLink &peers;
    runtime::Metrics &metrics;
    std::string selfId;
    RelayedTargets targets;
    std::mutex mutex;
    std::map<std::uint64_t, std::string> peerAddresses; ///< Of this node's relayed requests.
    std::condition_variable becameIdle;
    std::map<std::string, net::CancelKey> served; ///< Requests of other nodes in flight.
    std::uint64_t nextKey = 0;
    core::Time answersDueAt = core::Time::max(); ///< Earlier in a planned stop.
};

/// \return a random node that reaches targets, or nothing if no live peer does.
std::optional<core::Node> chooseRelayPeer(const core::Presence &presence, std::uint64_t draw,
                                          core::Time now);

} // namespace geraniumpulley::entry
