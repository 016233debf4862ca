#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/limits/rate_limiter.hpp>
#include <geraniumpulley/core/limits/request_rate.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// The permits that a duty holds for targets with a rate limit. A target without one needs none.
namespace geraniumpulley::core {

struct PermitSettings
{
    /// How long a permit stays usable. Together with the limiter's horizon it bounds how many
    /// unused permits can be used at once.
    Duration lifetime = std::chrono::milliseconds(500);
    /// How long the deputy is asked after the limiter has not replied.
    Duration deputyPeriod = std::chrono::seconds(1);
    /// The delay before the next request after the deputy has not replied either.
    Duration failureDelay = std::chrono::milliseconds(200);
    /// The share of the limit that a deputy schedules, since the limiter may still grant permits to
    /// other nodes.
    double deputyShare = 0.25;
    std::uint32_t maxCount = 64; ///< The largest number of permits in one request.
    /// How long a limiter may take to grant a permit that no request waits for yet.
    Duration prefetchWait = std::chrono::seconds(1);
    /// The part of a request's waiting time that is left for the limiter's reply.
    Duration replyMargin = std::chrono::milliseconds(10);
};

struct TargetPermits
{
    RequestRate limit;
    std::deque<Time> usableFrom; ///< The permits, by the time from which they may be used.
    std::uint32_t claimed = 0; ///< Of these, the permits that a waiting request is going to use.
    std::uint32_t awaited = 0; ///< Waiting requests that found no permit to claim.
    Time awaitedUntil{}; ///< The latest time at which a waiting request can use a permit.
    std::uint32_t wanted = 0; ///< Permits that are wanted for the next requests.
    Time lastWantedAt{}; ///< When a request last found no permit and did not wait.
    bool requestInFlight = false;
    bool askedDeputy = false; ///< Whether the last request went to the deputy.
    Time retryAt{}; ///< The earliest time of the next request for permits.
    Time expectedAt{}; ///< When the target can take a request; unknown if it has passed.
    Time deputyUntil{}; ///< Until this time the deputy is asked.
};

struct Permits
{
    PermitSettings settings;
    std::map<TargetId, TargetPermits> targets;
};

/// Action: requests permits from the limiter of a target, or from its deputy.
struct RequestPermits
{
    TargetId target;
    RequestRate limit; ///< The rate that is to be scheduled.
    std::uint32_t count = 0;
    Duration maxWait{}; ///< How long the requests can wait for them.
    std::size_t limiterRank = 0; ///< The rank for `limiterOf`.
};

/// Event: the limiter has replied, or the request has failed.
struct PermitsReceived
{
    TargetId target;
    std::optional<PermitGrant> grant;
};

/// Records what a target's answer states. \return whether the limit differs from the last one.
bool recordRateLimit(Permits &permits, const TargetId &target,
                     const std::optional<RequestRate> &limit);

void recordGrant(Permits &permits, const PermitsReceived &event, Time now);

/// Removes what is known of targets that `isKept` does not accept.
template<typename Predicate>
void retainTargets(Permits &permits, const Predicate &isKept)
{
    std::erase_if(permits.targets, [&](const auto &entry) { return !isKept(entry.first); });
}

/// \return whether a request may be sent to the target now.
bool hasPermit(Permits &permits, const TargetId &target, Time now);

/// Records that a request is sent to the target.
void usePermit(Permits &permits, const TargetId &target, Time now);

/// Records that a request would have been sent to the target and was not. If such requests follow
/// each other within the lifetime of a permit, permits are requested for the next ones.
void wantPermit(Permits &permits, const TargetId &target, Time now);

/// Records that a request waits for a permit of the target.
/// \param latest the latest time at which the request can be sent.
/// \return when it can be sent; null until the limiter has replied.
std::optional<Time> awaitPermit(Permits &permits, const TargetId &target, Time latest, Time now);

/// \return when a request that starts to wait can be sent; null if only the limiter can tell.
std::optional<Time> expectedPermitAt(const Permits &permits, const TargetId &target, Time now);

/// \return the time until the target can take a request of any node, as far as this node knows.
Duration expectedTargetDelay(const Permits &permits, const TargetId &target, Time now);

/// \return how many requests wait for a permit of the target.
std::uint32_t awaitingRequests(const Permits &permits, const TargetId &target);

/// Forgets which requests wait. Called before all of them are considered again.
void clearAwaiting(Permits &permits);

/// \return the requests for permits that are due.
std::vector<RequestPermits> duePermitRequests(Permits &permits, Time now);

/// \return when the next request for permits is due.
std::optional<Time> dueAt(const Permits &permits);

} // namespace geraniumpulley::core
