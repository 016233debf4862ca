#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

/// Poison requests: which requests were running when targets crashed, and which of them is to
/// blame. One crash ends everything that runs at a target, so that a single one shows nothing.
namespace geraniumpulley::core {

/// Identifies equal requests: those with the same caller, path and body.
using RequestDigest = Identifier<struct RequestDigestTag>;

/// One run of a target's process.
struct TargetIncarnation
{
    TargetId target;
    std::uint64_t startedAt = 0; ///< As in `FleetTarget`.

    auto operator<=>(const TargetIncarnation &) const = default;
};

/// A request that was running when a target crashed.
struct CrashRecord
{
    RequestDigest request;
    TargetIncarnation crashed;
    Duration expiresAt{}; ///< On the store's clock; 0 if that was unknown.

    bool operator==(const CrashRecord &) const = default;
};

/// The crashes that one request was near, with the times at which their records expire.
using CrashesOfRequest = std::map<TargetIncarnation, Duration>;
/// All records, by request.
using CrashLog = std::map<RequestDigest, CrashesOfRequest>;

struct CrashSettings
{
    /// Crashes of its own that quarantine a request.
    std::size_t quarantineThreshold = 3;
    /// Crashes that quarantine a request even if other requests were near all of them.
    std::size_t maxCrashes = 5;
    /// Crashes of its own after which a request pauses, so that it does not take down a service.
    std::size_t pauseThreshold = 2;
    /// The length of the pause; crashed targets are back after a few seconds.
    Duration retryPause = std::chrono::seconds(5);
    /// How long a record counts.
    Duration retention = std::chrono::minutes(10);
};

enum class CrashVerdict {
    Clear,
    Suspected, ///< Runs alone at a target, so that a further crash shows more.
    Paused, ///< Is not sent before the end of its pause.
    Quarantined, ///< Is not sent any more.
};

struct CrashJudgement
{
    CrashVerdict verdict = CrashVerdict::Clear;
    std::size_t crashes = 0; ///< Crashes that the request was near.
    Duration pauseLeft{}; ///< Of a paused request.
};

/// \param parts what makes requests equal, in a fixed order.
RequestDigest digestOf(std::initializer_list<std::string_view> parts);

/// Judges a request by the crashes that it was near. A crash counts as another request's if that
/// request was near it too, and near at least as many crashes.
/// \param storeTime the time on the store's clock; 0 if it is unknown, so that no request pauses.
/// Complexity: linear in records.
CrashJudgement judge(const CrashLog &log, const RequestDigest &request, Duration storeTime,
                     const CrashSettings &settings);

} // namespace geraniumpulley::core
