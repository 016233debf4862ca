#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The software that began each resumable stream. A client may take a stream up at any node, so the
/// origins are kept in the store for a while.
namespace geraniumpulley::core {

struct StreamOriginSettings
{
    /// How long an origin is kept. Clients take streams up within their own timeouts.
    Duration retention = std::chrono::seconds(60);
    /// The time between two writes to the store, and its growth with the number of nodes, which
    /// together stay below the rate of one partition.
    Duration writePause = std::chrono::milliseconds(50);
    Duration writePausePerNode = std::chrono::milliseconds(4);
    std::size_t maxWrites = 60; ///< Origins in one write. With removals they fit a transaction.
    std::size_t maxRemovals = 40; ///< Expired origins in one write.
    /// Streams with longer ids, or with other than printable ASCII characters in them, are not
    /// recorded and cannot be taken up.
    std::size_t maxIdBytes = 200;
    /// With more origins than this, the oldest ones are forgotten.
    std::size_t maxOrigins = 20'000;
    /// The time between two looks for expired origins that nodes have left behind.
    Duration sweepPeriod = std::chrono::seconds(10);
};

struct StreamOrigin
{
    std::string requestId; ///< The client's attempt that brought the first event.
    SoftwareVersion software;

    bool operator==(const StreamOrigin &) const = default;
};

/// Action: writes origins to the store and removes expired ones.
struct StoreStreamOrigins
{
    std::vector<StreamOrigin> origins;
    std::vector<std::string> expiredIds;
    Duration retention{};
};
/// Event: the store has answered a `StoreStreamOrigins`, or did not answer in time.
struct StreamOriginsStored
{
    bool succeeded = false;
};

struct KnownOrigin
{
    SoftwareVersion software;
    Time expiresAt{};
};

/// The origins of the streams that this node has begun.
struct StreamOrigins
{
    StreamOriginSettings settings;
    std::map<std::string, KnownOrigin> origins; ///< By the id of the client's attempt.
    std::deque<std::string> order; ///< The ids in the order of their expiry.
    std::deque<std::string> unstored; ///< The ids that are not in the store yet.
    std::vector<std::string> expired; ///< The ids that are to be removed from the store.
    std::optional<StoreStreamOrigins> write; ///< The write in flight.
    Time nextWriteAt{};
};

/// Records the software that began the stream of a client's attempt.
void recordStreamOrigin(StreamOrigins &streams, const StreamOrigin &origin, Time now);

/// \return the software that began the stream, or null if this node has not begun it.
std::optional<SoftwareVersion> findStreamOrigin(const StreamOrigins &streams,
                                                const std::string &requestId);

/// \return the write that is due, if any. Complexity: linear in the origins of the write.
std::optional<StoreStreamOrigins> dueOriginWrite(StreamOrigins &streams, std::size_t nodeCount,
                                                 Time now);

void recordOriginWrite(StreamOrigins &streams, bool succeeded);

/// \return when the next write may be due.
std::optional<Time> dueAt(const StreamOrigins &streams);

} // namespace geraniumpulley::core
