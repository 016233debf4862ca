#include "schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace soak {
namespace {

struct Kind
{
    FaultKind kind;
    const char *name;
    unsigned weight; ///< How often it is drawn against the others.
    Duration shortest;
    Duration longest;
};

using std::chrono::milliseconds;

constexpr std::array<Kind, 13> kinds{{
        {FaultKind::KillNode, "kill", 4, milliseconds(100), milliseconds(2500)},
        {FaultKind::StopNode, "stop", 3, milliseconds(500), milliseconds(3000)},
        {FaultKind::FreezeNode, "freeze", 4, milliseconds(200), milliseconds(5000)},
        {FaultKind::HangUpNode, "hang_up", 1, {}, {}},
        {FaultKind::FreezeStore, "freeze_store", 2, milliseconds(200), milliseconds(3000)},
        {FaultKind::FreezeWorker, "freeze_worker", 2, milliseconds(200), milliseconds(3000)},
        {FaultKind::DelayLink, "delay", 2, milliseconds(500), milliseconds(4000)},
        {FaultKind::SilenceLink, "silence", 4, milliseconds(300), milliseconds(4000)},
        {FaultKind::CutLinkOneWay, "cut_one_way", 2, milliseconds(300), milliseconds(4000)},
        {FaultKind::RefuseOnLink, "refuse", 2, milliseconds(200), milliseconds(2000)},
        {FaultKind::ResetLink, "reset", 5, {}, {}},
        {FaultKind::ChangeRouting, "change_routing", 2, {}, {}},
        {FaultKind::NameWeights, "name_weights", 2, {}, {}},
}};

// A pause between two series, and between the faults of one.
constexpr milliseconds longestPause(1500);
constexpr milliseconds longestGap(150);
constexpr unsigned longestSeries = 4;

struct Draw
{
    std::mt19937_64 random;

    std::uint64_t below(std::uint64_t limit)
    {
        return this->random() % std::max<std::uint64_t>(limit, 1);
    }

    Duration between(Duration shortest, Duration longest)
    {
        const auto span = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
        return shortest + Duration(static_cast<Duration::rep>(this->below(span)));
    }

    const Kind &kind()
    {
        unsigned total = 0;
        for (const Kind &kind : kinds)
            total += kind.weight;
        std::uint64_t drawn = this->below(total);
        for (const Kind &kind : kinds) {
            if (drawn < kind.weight)
                return kind;
            drawn -= kind.weight;
        }
        return kinds.back();
    }

    std::string subject(FaultKind kind, const Subjects &subjects)
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
        case FaultKind::NameWeights:
            return "operator";
        default:
            return subjects.links.at(this->below(subjects.links.size()));
        }
    }
};

} // namespace

std::vector<Fault> makeSchedule(std::uint64_t seed, Duration length, const Subjects &subjects)
{
    Draw draw{std::mt19937_64(seed)};
    std::vector<Fault> faults;
    Duration at = draw.between(Duration{}, longestPause);
    while (at < length) {
        for (std::uint64_t left = 1 + draw.below(longestSeries); left > 0 && at < length; --left) {
            const Kind &kind = draw.kind();
            const Duration wanted = draw.between(kind.shortest, kind.longest);
            faults.push_back({at, std::min(wanted, length - at), kind.kind,
                              draw.subject(kind.kind, subjects)});
            at += draw.between(Duration{}, longestGap);
        }
        at += draw.between(Duration{}, longestPause);
    }
    return faults;
}

std::string describe(const Fault &fault)
{
    const auto kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&](const Kind &known) { return known.kind == fault.kind; });
    return fmt::format("event=fault at_ms={} kind={} subject={} for_ms={}",
                       std::chrono::duration_cast<milliseconds>(fault.at).count(), kind->name,
                       fault.subject,
                       std::chrono::duration_cast<milliseconds>(fault.length).count());
}

} // namespace soak
