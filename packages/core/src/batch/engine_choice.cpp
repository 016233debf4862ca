#include "batch_context.hpp"

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// Age after which the measured event interval of an engine is no longer used.
constexpr Duration maxIntervalAge = std::chrono::seconds(3);
// Number of engines with a known event interval that the detection of slow engines requires.
constexpr std::size_t minKnownEngines = 2;

Duration knownEventInterval(const BatchContext &context, const EngineStatus &status)
{
    return context.now - status.lastEventAt > maxIntervalAge ? Duration{} : status.eventInterval;
}

bool hasWeights(const EngineStatus &status, const FleetTarget &engine, const BatchSpec &spec)
{
    const WeightVersion version =
            std::max(versionOf(engine.weights, spec.model), versionOf(status.versions, spec.model));
    return version >= spec.minVersion;
}

bool canContinue(const ItemState &item, const FleetTarget &engine)
{
    return item.lastEventId == 0 || engine.software == item.software;
}

// Maximum number of runs of this node on an engine. An engine that has refused a run is probed with
// a single run, which shows whether it accepts work again.
std::uint32_t maxRuns(const FleetTarget &engine, const EngineStatus &status, bool isAssigned,
                      const BatchSettings &settings)
{
    if (status.probing)
        return 1;
    return isAssigned ? engine.slots : engine.slots * settings.spilloverPercent / 100;
}

// Searches are made for most events while items wait, so the list is kept as long as it holds.
const EngineList &engineListFor(BatchState &state, const ServiceName &service,
                                const std::string &model)
{
    const Directory &directory = *state.directory;
    const EngineAssignments &assignments = assignmentsFor(state.assignments, directory);
    EngineList &list = state.engineLists[{service, model}];
    if (list.targets == directory.targets && list.assignmentRevision == state.assignments.revision)
        return list;
    list = {directory.targets, state.assignments.revision, {}, {}};
    for (const FleetTarget *engine : servingTargets(*directory.targets, service)) {
        const TargetId &id = engine->target.id;
        const auto assigned = assignments.find(id);
        const bool isAssigned = assigned != assignments.end() && assigned->second == model;
        list.engines.push_back({engine, &state.engines[id], isAssigned});
        list.servedSoftware.insert(engine->software);
    }
    return list;
}

// An engine with its ranking; a lower rank is better, then a lower load.
struct Choice
{
    const EngineCandidate *candidate = nullptr;
    int rank = 0;
    double load = 0;
};

bool isBetter(const Choice &a, const Choice &b)
{
    if (a.candidate == nullptr || b.candidate == nullptr)
        return a.candidate != nullptr;
    return std::tie(a.rank, a.load) < std::tie(b.rank, b.load);
}

} // namespace

Duration usualEventInterval(const BatchContext &context)
{
    std::vector<Duration> intervals;
    for (const auto &[target, status] : context.state.engines) {
        const Duration interval = knownEventInterval(context, status);
        if (interval > Duration{})
            intervals.push_back(interval);
    }
    if (intervals.size() < minKnownEngines)
        return {};
    const auto median = intervals.begin() + static_cast<std::ptrdiff_t>((intervals.size() - 1) / 2);
    std::nth_element(intervals.begin(), median, intervals.end());
    return *median;
}

bool isSlow(const BatchContext &context, const EngineStatus &status, Duration usualInterval)
{
    return usualInterval > Duration{}
           && knownEventInterval(context, status)
                      > usualInterval * context.state.settings.slowEngineFactor;
}

EngineSearch makeEngineSearch(BatchContext &context, const BatchSpec &spec,
                              const ServiceName &service)
{
    const EngineList &list = engineListFor(context.state, service, spec.model);
    const Duration usualInterval = usualEventInterval(context);
    EngineSearch search;
    search.servedSoftware = &list.servedSoftware;
    for (const ListedEngine &listed : list.engines) {
        const EngineStatus &status = *listed.status;
        if (status.notBefore > context.now || !hasWeights(status, *listed.engine, spec))
            continue;
        search.candidates.push_back(
                {listed.engine, listed.status, listed.isAssigned,
                 isSlow(context, status, usualInterval),
                 maxRuns(*listed.engine, status, listed.isAssigned, context.state.settings)});
    }
    return search;
}

const FleetTarget *chooseEngine(BatchContext &context, EngineSearch &search, const ItemState &item)
{
    if (search.isExhausted)
        return nullptr;
    Permits &permits = context.state.permits;
    Choice best;
    Choice bestWithoutPermit;
    for (const EngineCandidate &candidate : search.candidates) {
        const TargetId &id = candidate.engine->target.id;
        if (candidate.status->activeRuns >= candidate.maxRuns
            || !canContinue(item, *candidate.engine))
            continue;
        const bool isPermitted = hasPermit(permits, id, context.now);
        const std::uint32_t running =
                candidate.status->activeRuns + (isPermitted ? 0 : awaitingRequests(permits, id));
        if (running >= candidate.maxRuns)
            continue;
        // A lower rank is better. A slow engine ranks behind the engine of the item's last run, and
        // this one behind an engine that is assigned to another model.
        const int rank = (candidate.isAssigned ? 0 : 1) + (id == item.lastTarget ? 2 : 0)
                         + (candidate.isSlow ? 4 : 0);
        const double load = static_cast<double>(running) / candidate.engine->slots;
        Choice &choice = isPermitted ? best : bestWithoutPermit;
        if (isBetter({&candidate, rank, load}, choice))
            choice = {&candidate, rank, load};
    }
    if (isBetter(bestWithoutPermit, best))
        awaitPermit(permits, bestWithoutPermit.candidate->engine->target.id,
                    context.now + maxRequestInterval, context.now);
    // Engines only fill up in the course of a search. Where an item that may run anywhere finds no
    // room, no other item of the batch does.
    search.isExhausted = best.candidate == nullptr && bestWithoutPermit.candidate == nullptr
                         && item.lastEventId == 0;
    return best.candidate == nullptr ? nullptr : best.candidate->engine;
}

} // namespace geraniumpulley::core
