#pragma once

#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/core/fleet/store_route.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/platform/store_messages.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// Outcome of a call to the store: answered with a status, not sent, or of unknown effect.
using StoreReply = codec::RelayedReply;

/// A call to the store, with its timeout and its callback.
struct StoreRequest
{
    platform::StoreCall call;
    core::Duration timeout{}; ///< Timeout of one attempt, direct or relayed.
    /// Runs exactly once, on a network thread, or on the calling thread if the call cannot be
    /// queued. It may block on the ring of a decision thread.
    std::function<void(StoreReply &&)> done;
};

/// The parts that a store link uses.
struct StoreLinkParts
{
    net::HttpClient &caller;
    net::PeerLink &peers;
    runtime::Logger &logger;
    runtime::Metrics &metrics;
};

/// Client of the table service, which calls it directly or through another node. A call is sent
/// once; a direct call that is known not to have been executed is sent once more through a relay.
class StoreLink
{
public:
    StoreLink(StoreLinkParts parts, std::string address, std::vector<std::string> seeds);

    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;

    /// Sends a call. It may be called from any thread and never blocks.
    void send(StoreRequest &&request);

    /// Executes a call for another node and sends the reply to that node.
    void relay(const net::PeerMessage &message);

    /// From now on refuses calls of other nodes that may last longer than until `endsAt`.
    void drainRelays(core::Time endsAt);

    /// Replaces the addresses of the other nodes. The seeds are used while there are none.
    void setPeers(std::vector<std::string> addresses);
    void setSeeds(std::vector<std::string> addresses);

    /// \return the address of another node, in round-robin order; empty if none is known.
    std::string nextPeer();

private:
    using Done = std::function<void(StoreReply &&)>;

    void sendDirect(StoreRequest &&request, bool mayRelay);
    void sendRelayed(StoreRequest &&request, std::string address);
    void callStore(const platform::StoreCall &call, core::Duration timeout, Done done);
    bool takesRelays(core::Time deadline);
    void recordDirect(bool served);
    void recordRelayed(bool served);

    StoreLinkParts parts;
    const std::string address;
    std::mutex mutex;
    core::StoreRouteState routeState; // Guarded by the mutex, like all members below.
    std::vector<std::string> seedAddresses;
    std::vector<std::string> peerAddresses;
    std::size_t nextPeerIndex = 0;
    core::Time relaysEndAt = core::Time::max(); ///< Earlier in a planned stop.
};

} // namespace geraniumpulley::entry
