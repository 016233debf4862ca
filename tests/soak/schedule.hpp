#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// The random schedule of faults of a run, which depends only on the seed.
namespace soak {

using geraniumpulley::core::Duration;

enum class FaultKind {
    KillNode, ///< Sends SIGKILL, then starts the node again.
    StopNode, ///< Sends SIGTERM, then starts the node again once it has exited.
    FreezeNode, ///< Sends SIGSTOP, then SIGCONT.
    HangUpNode, ///< Sends SIGHUP.
    FreezeStore,
    FreezeWorker,
    DelayLink,
    StallLink,
    StallLinkToServer,
    RefuseConnections,
    ResetLink,
    ChangeRouting, ///< Writes a new version of the routing table.
    PublishWeights, ///< Writes a new desired weight version of the model.
    CutAnswers, ///< A worker's answers break off.
    TrickleAnswers, ///< A worker's answers arrive byte by byte, far apart.
    RepeatAnswers, ///< A second copy of a worker's answer arrives late on its connection.
    RefuseRequests, ///< A worker refuses its next requests.
};

/// One fault of a schedule.
struct Fault
{
    Duration startsAfter{}; ///< Offset from the start of the schedule.
    Duration duration{}; ///< Time until the fault is reverted; 0 for a fault without duration.
    FaultKind kind = FaultKind::KillNode;
    std::string subject; ///< The name of a process or link, or "operator".
};

/// The processes and links that faults may be injected into.
struct FaultSubjects
{
    std::vector<std::string> nodes;
    std::vector<std::string> workers;
    std::vector<std::string> links;
};

/// \return faults ordered by start, in bursts whose faults may overlap. All are reverted by
/// `length`.
std::vector<Fault> makeSchedule(std::uint64_t seed, Duration length, const FaultSubjects &subjects);

/// \return a log line that describes a fault.
std::string formatFault(const Fault &fault);

} // namespace soak
