#pragma once

#include <geraniumpulley/core/fleet/presence.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/limits/request_rate.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The rate limiter of a target: one node schedules the requests of all nodes to that target, so
/// that they keep its limit together.
namespace geraniumpulley::core {

/// Asks for permits; each permit allows one request to the target.
struct PermitRequest
{
    TargetId target;
    std::string requester; ///< The node and duty that will send the requests.
    RequestRate limit; ///< The limit that the target has stated to the requester.
    std::uint32_t count = 0;
    /// How long the requester can wait. A permit that comes later is neither granted to it nor kept
    /// for it.
    Duration maxWait{};
};

/// The permits that a rate limiter grants, as delays from the receipt of the grant.
struct PermitGrant
{
    std::uint32_t count = 0; ///< The number of granted permits, from 0 to the requested number.
    /// The time until the first permit may be used; negative for one that was saved up.
    Duration firstDelay{};
    Duration interval{}; ///< The time from one permit to the next.
    /// The time after which the permits that were not granted may be requested again.
    Duration retryDelay{};
    /// The time until the target can take another request.
    Duration expectedDelay{};

    bool operator==(const PermitGrant &) const = default;
};

struct RateLimiterSettings
{
    /// How far ahead permits are granted. It bounds what a requester that stops can leave unused.
    Duration horizon = std::chrono::milliseconds(200);
    /// How much of the limit that was not used is saved up for a burst, such as the items of a new
    /// batch: the time, or the number of permits if that is more.
    Duration burstTime = std::chrono::milliseconds(500);
    std::uint32_t burstCount = 3;
    /// The minimum time between two requests of a requester that wants more than it was granted.
    Duration minRetryDelay = std::chrono::milliseconds(100);
    /// The same for a requester for whom no permit is kept, for each requester of the target. It
    /// bounds the messages that a limiter gets when many nodes want more than the limit.
    Duration retryDelayPerRequester = std::chrono::milliseconds(30);
    /// The time without requests after which a schedule or a requester is forgotten.
    Duration retention = 2 * maxRequestInterval;
};

/// A requester that was told to come again, and for whom a permit is kept until then.
struct WaitingRequester
{
    std::string requester;
    Time keptUntil{};
};

/// The schedule of the requests to one target.
struct PermitSchedule
{
    Time nextPermitAt{}; ///< The time of the next permit that is not granted yet.
    std::vector<WaitingRequester> waiting; ///< In the order of their first requests.
    std::map<std::string, Time> requesters; ///< The time of the last request of each.
};

struct RateLimiter
{
    RateLimiterSettings settings;
    std::map<TargetId, PermitSchedule> schedules;
};

/// Grants permits in the order in which requesters have asked.
/// Invariant: the granted permits of a target are one interval of its limit apart, but for those
/// that were saved up.
/// Complexity: linear in targets and in the requesters of the target.
PermitGrant grantPermits(RateLimiter &limiter, const PermitRequest &request, Time now);

/// \param rank 0 for the node that schedules the requests to a target, 1 for its deputy.
/// \return the node of that rank among the nodes that are not known to be dead or leaving, or null.
/// Complexity: linear in nodes.
std::optional<Node> limiterOf(const Presence &presence, const TargetId &target, std::size_t rank,
                              Time now);

} // namespace geraniumpulley::core
