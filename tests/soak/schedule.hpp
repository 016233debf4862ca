#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// The faults of a run, drawn from its seed.
namespace soak {

using geraniumpulley::core::Duration;

enum class FaultKind {
    KillNode, ///< SIGKILL, and a new start.
    StopNode, ///< SIGTERM, and a new start once it has ended.
    FreezeNode, ///< SIGSTOP and SIGCONT.
    HangUpNode, ///< SIGHUP.
    FreezeStore,
    FreezeWorker,
    DelayLink,
    SilenceLink,
    CutLinkOneWay,
    RefuseOnLink,
    ResetLink,
    ChangeRouting, ///< A new version of the routing table.
    NameWeights, ///< A new desired version of the model.
};

struct Fault
{
    Duration at{}; ///< From the start of the load.
    Duration length{}; ///< Until it is taken back; 0 for one that happens at a moment.
    FaultKind kind = FaultKind::KillNode;
    std::string subject; ///< A process or a link.
};

struct Subjects
{
    std::vector<std::string> nodes;
    std::vector<std::string> workers;
    std::vector<std::string> links;
};

/// \return faults in order of time, in series that may overlap. All are taken back by `length`.
std::vector<Fault> makeSchedule(std::uint64_t seed, Duration length, const Subjects &subjects);

/// \return a fault in one line, for the log of a run.
std::string describe(const Fault &fault);

} // namespace soak
