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

// Faults of workers' answers, drawn apart from the others, so that the others stay the same for a
// seed.
constexpr std::array<FaultProfile, 4> answerKinds{{
        {FaultKind::CutAnswers, "cut_answers", 3, milliseconds(200), milliseconds(1500)},
        {FaultKind::TrickleAnswers, "trickle_answers", 2, milliseconds(500), milliseconds(4000)},
        {FaultKind::RepeatAnswers, "repeat_answers", 3, milliseconds(500), milliseconds(3000)},
        {FaultKind::RefuseRequests, "refuse_requests", 2, {}, {}},
}};

// Bounds of the random gaps between two bursts and between the faults of one, and of the number of
// faults in a burst.
constexpr milliseconds maxBurstGap(1500);
constexpr milliseconds maxFaultGap(150);
constexpr unsigned maxBurstFaults = 4;
constexpr milliseconds maxAnswerFaultGap(2500);
// Distinguishes the second random sequence of a seed from the first.
constexpr std::uint64_t answerSeedOffset = 0x9e3779b97f4a7c15;

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

    template<typename Kinds>
    const FaultProfile &drawKind(const Kinds &kinds)
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
        case FaultKind::CutAnswers:
        case FaultKind::TrickleAnswers:
        case FaultKind::RepeatAnswers:
        case FaultKind::RefuseRequests:
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

void addAnswerFaults(std::vector<Fault> &faults, std::uint64_t seed, Duration length,
                     const FaultSubjects &subjects)
{
    ScheduleRandom draw{std::mt19937_64(seed + answerSeedOffset)};
    for (Duration offset = draw.between(Duration{}, maxAnswerFaultGap); offset < length;
         offset += draw.between(Duration{}, maxAnswerFaultGap)) {
        const FaultProfile &kind = draw.drawKind(answerKinds);
        const Duration duration = draw.between(kind.minDuration, kind.maxDuration);
        faults.push_back({offset, std::min(duration, length - offset), kind.kind,
                          draw.drawSubject(kind.kind, subjects)});
    }
}

const char *nameOf(FaultKind kind)
{
    for (const auto *profiles : {kinds.data(), answerKinds.data()}) {
        const std::size_t count = profiles == kinds.data() ? kinds.size() : answerKinds.size();
        for (std::size_t i = 0; i < count; ++i) {
            if (profiles[i].kind == kind)
                return profiles[i].name;
        }
    }
    return "unknown";
}

} // namespace

std::vector<Fault> makeSchedule(std::uint64_t seed, Duration length, const FaultSubjects &subjects)
{
    ScheduleRandom draw{std::mt19937_64(seed)};
    std::vector<Fault> faults;
    Duration offset = draw.between(Duration{}, maxBurstGap);
    while (offset < length) {
        for (std::uint64_t remaining = 1 + draw.below(maxBurstFaults);
             remaining > 0 && offset < length; --remaining) {
            const FaultProfile &kind = draw.drawKind(kinds);
            const Duration drawnDuration = draw.between(kind.minDuration, kind.maxDuration);
            faults.push_back({offset, std::min(drawnDuration, length - offset), kind.kind,
                              draw.drawSubject(kind.kind, subjects)});
            offset += draw.between(Duration{}, maxFaultGap);
        }
        offset += draw.between(Duration{}, maxBurstGap);
    }
    addAnswerFaults(faults, seed, length, subjects);
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.startsAfter < b.startsAfter; });
    return faults;
}

std::string formatFault(const Fault &fault)
{
    return fmt::format("event=fault at_ms={} kind={} subject={} for_ms={}",
                       std::chrono::duration_cast<milliseconds>(fault.startsAfter).count(),
                       nameOf(fault.kind), fault.subject,
                       std::chrono::duration_cast<milliseconds>(fault.duration).count());
}

} // namespace soak
