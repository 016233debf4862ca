#include "schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace soak {
namespace {

struct FaultProfile
{
    FaultKind kind;
    const char *name;
    unsigned weight; ///< Relative frequency of this kind.
    Duration minDuration;
    Duration maxDuration;
};

using std::chrono::milliseconds;

constexpr std::array<FaultProfile, 13> kinds{{
        {FaultKind::KillNode, "kill", 4, milliseconds(100), milliseconds(2500)},
        {FaultKind::StopNode, "stop", 3, milliseconds(500), milliseconds(3000)},
        {FaultKind::FreezeNode, "freeze", 4, milliseconds(200), milliseconds(5000)},
        {FaultKind::HangUpNode, "hang_up", 1, {}, {}},
        {FaultKind::FreezeStore, "freeze_store", 2, milliseconds(200), milliseconds(3000)},
        {FaultKind::FreezeWorker, "freeze_worker", 2, milliseconds(200), milliseconds(3000)},
        {FaultKind::DelayLink, "delay", 2, milliseconds(500), milliseconds(4000)},
        {FaultKind::StallLink, "silence", 4, milliseconds(300), milliseconds(4000)},
        {FaultKind::StallLinkToServer, "cut_one_way", 2, milliseconds(300), milliseconds(4000)},
        {FaultKind::RefuseConnections, "refuse", 2, milliseconds(200), milliseconds(2000)},
        {FaultKind::ResetLink, "reset", 5, {}, {}},
        {FaultKind::ChangeRouting, "change_routing", 2, {}, {}},
        {FaultKind::PublishWeights, "name_weights", 2, {}, {}},
}};

// Bounds of the random gaps between two bursts and between the faults of one, and of the number of
// faults in a burst.
constexpr milliseconds maxBurstGap(1500);
constexpr milliseconds maxFaultGap(150);
constexpr unsigned maxBurstFaults = 4;

struct ScheduleRandom
{
    std::mt19937_64 random;

    std::uint64_t below(std::uint64_t limit)
    {
        return this->random() % std::max<std::uint64_t>(limit, 1);
    }

    Duration between(Duration min, Duration max)
    {
        const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
        return min + Duration(static_cast<Duration::rep>(this->below(span)));
    }

    const FaultProfile &drawKind()
    {
        unsigned total = 0;
        for (const FaultProfile &kind : kinds)
            total += kind.weight;
        std::uint64_t drawn = this->below(total);
        for (const FaultProfile &kind : kinds) {
            if (drawn < kind.weight)
                return kind;
            drawn -= kind.weight;
        }
        return kinds.back();
    }

    std::string drawSubject(FaultKind kind, const FaultSubjects &subjects)
    {
        switch (kind) {
        case FaultKind::KillNode:
        case FaultKind::StopNode:
        case FaultKind::FreezeNode:
        case FaultKind::HangUpNode:
            return subjects.nodes.at(this->below(subjects.nodes.size()));
        case FaultKind::FreezeWorker:
            return subjects.workers.at(this->below(subjects.workers.size()));
        case FaultKind::FreezeStore:
            return "store";
        case FaultKind::ChangeRouting:
        case FaultKind::PublishWeights:
            return "operator";
        default:
            return subjects.links.at(this->below(subjects.links.size()));
        }
    }
};

} // namespace

std::vector<Fault> makeSchedule(std::uint64_t seed, Duration length, const FaultSubjects &subjects)
{
    ScheduleRandom draw{std::mt19937_64(seed)};
    std::vector<Fault> faults;
    Duration offset = draw.between(Duration{}, maxBurstGap);
    while (offset < length) {
        for (std::uint64_t remaining = 1 + draw.below(maxBurstFaults);
             remaining > 0 && offset < length; --remaining) {
            const FaultProfile &kind = draw.drawKind();
            const Duration drawnDuration = draw.between(kind.minDuration, kind.maxDuration);
            faults.push_back({offset, std::min(drawnDuration, length - offset), kind.kind,
                              draw.drawSubject(kind.kind, subjects)});
            offset += draw.between(Duration{}, maxFaultGap);
        }
        offset += draw.between(Duration{}, maxBurstGap);
    }
    return faults;
}

std::string formatFault(const Fault &fault)
{
    const auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const FaultProfile &candidate) {
        return candidate.kind == fault.kind;
    });
    return fmt::format("event=fault at_ms={} kind={} subject={} for_ms={}",
                       std::chrono::duration_cast<milliseconds>(fault.startsAfter).count(),
                       kind->name, fault.subject,
                       std::chrono::duration_cast<milliseconds>(fault.duration).count());
}

} // namespace soak
