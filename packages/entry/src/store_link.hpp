#pragma once

#include <geraniumpulley/codec/batch_rows.hpp>
#include <geraniumpulley/core/fleet/store_path.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_caller.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/platform/store_messages.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// How a call to the store went: answered with a status, known not to have left, or lost.
using StoreReply = codec::RelayedReply;

struct StoreRequest
{
    platform::StoreCall call;
    core::Duration limit{}; ///< For the whole call.
    /// Runs exactly once, on a thread of a part; may block on a ring that its duty drains.
    std::function<void(StoreReply &&)> done;
};

struct StoreLinkParts
{
    net::HttpCaller &caller;
    net::PeerLink &peers;
    runtime::Logger &logger;
    runtime::Metrics &metrics;
};

/// Calls the table service, directly or through another node. A call is made once; one that is
/// known not to have been done is made once more the other way.
class StoreLink
{
public:
    StoreLink(StoreLinkParts parts, std::string address, std::vector<std::string> seeds);

    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;

    /// From any thread; never blocks.
    void send(StoreRequest &&request);

    /// Makes a call for another node and replies to it.
    void relay(const net::PeerMessage &message);

    /// Replaces the addresses of the other nodes; without any, the seeds are used.
    void setPeers(std::vector<std::string> addresses);
    void setSeeds(std::vector<std::string> addresses);

    /// \return the address of another node, a different one each time; empty when none is known.
    std::string nextPeer();

private:
    using Done = std::function<void(StoreReply &&)>;

    void sendDirect(StoreRequest &&request, bool mayRelay);
    void sendRelayed(StoreRequest &&request, std::string address);
    void callStore(const platform::StoreCall &call, core::Duration limit, Done done);
    void noteDirect(bool served);
    void noteRelayed(bool served);

    StoreLinkParts parts;
    const std::string address;
    std::mutex mutex;
    core::StorePath path; // Guarded by the mutex, as all below.
    std::vector<std::string> seeds;
    std::vector<std::string> nodes;
    std::size_t turn = 0;
};

} // namespace geraniumpulley::entry
