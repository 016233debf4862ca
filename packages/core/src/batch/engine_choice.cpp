#include "batch_context.hpp"

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// Age after which the measured event interval of an engine is no longer used.
constexpr Duration maxIntervalAge = std::chrono::seconds(3);
// Number of engines with a known event interval that the detection of slow engines requires.
constexpr std::size_t minKnownEngines = 2;

Duration knownEventInterval(const BatchContext &context, const TargetId &target)
{
    const auto position = context.state.engines.find(target);
    if (position == context.state.engines.end()
        || context.now - position->second.lastEventAt > maxIntervalAge)
        return {};
    return position->second.eventInterval;
}

// The lower median of the engines' event intervals, which a few slow engines do not change.
Duration usualEventInterval(const BatchContext &context)
{
    std::vector<Duration> intervals;
    for (const auto &[target, status] : context.state.engines) {
        const Duration interval = knownEventInterval(context, target);
        if (interval > Duration{})
            intervals.push_back(interval);
    }
    if (intervals.size() < minKnownEngines)
        return {};
    std::sort(intervals.begin(), intervals.end());
    return intervals[(intervals.size() - 1) / 2];
}

bool hasWeights(const EngineStatus *status, const FleetTarget &engine, const BatchSpec &spec)
{
    WeightVersion version = versionOf(engine.weights, spec.model);
    if (status != nullptr)
        version = std::max(version, versionOf(status->versions, spec.model));
    return version >= spec.minVersion;
}

bool canContinue(const ItemState &item, const FleetTarget &engine)
{
    return item.lastEventId == 0 || engine.software == item.software;
}

// Maximum number of runs of this node on an engine. An engine that has refused a run is probed with
// a single run, which shows whether it accepts work again.
std::uint32_t maxRuns(const FleetTarget &engine, const EngineStatus *status, bool isAssigned,
                      const BatchSettings &settings)
{
    if (status != nullptr && status->probing)
        return 1;
    return isAssigned ? engine.slots : engine.slots * settings.spilloverPercent / 100;
}

bool isSlow(const BatchContext &context, const TargetId &target, Duration usualInterval)
{
    const Duration interval = knownEventInterval(context, target);
    return usualInterval > Duration{}
           && interval > usualInterval * context.state.settings.slowEngineFactor;
}

// An engine with its ranking; a lower rank is better, then a lower load.
struct Choice
{
    const FleetTarget *engine = nullptr;
    int rank = 0;
    double load = 0;
};

bool isBetter(const Choice &a, const Choice &b)
{
    if (a.engine == nullptr || b.engine == nullptr)
        return a.engine != nullptr;
    return std::tie(a.rank, a.load) < std::tie(b.rank, b.load);
}

} // namespace

bool isSlow(const BatchContext &context, const TargetId &target)
{
    return isSlow(context, target, usualEventInterval(context));
}

const FleetTarget *chooseEngine(BatchContext &context, const BatchSpec &spec, const ItemState &item,
                                const ServiceName &service)
{
    const Directory &directory = *context.state.directory;
    const EngineAssignments &assignments = assignmentsFor(context.state.assignments, directory);
    const BatchSettings &settings = context.state.settings;
    const Duration usualInterval = usualEventInterval(context);
    Permits &permits = context.state.permits;
    Choice best;
    Choice bestWithoutPermit;
    for (const FleetTarget *engine : servingTargets(*directory.targets, service)) {
        const TargetId &id = engine->target.id;
        const auto position = context.state.engines.find(id);
        const EngineStatus *status =
                position == context.state.engines.end() ? nullptr : &position->second;
        if (!canContinue(item, *engine) || !hasWeights(status, *engine, spec)
            || (status != nullptr && status->notBefore > context.now))
            continue;
        const auto assigned = assignments.find(id);
        const bool isAssigned = assigned != assignments.end() && assigned->second == spec.model;
        const bool isPermitted = hasPermit(permits, id, context.now);
        const std::uint32_t running = (status == nullptr ? 0 : status->activeRuns)
                                      + (isPermitted ? 0 : awaitingRequests(permits, id));
        if (running >= maxRuns(*engine, status, isAssigned, settings))
            continue;
        // A lower rank is better. A slow engine ranks behind the engine of the item's last run, and
        // this one behind an engine that is assigned to another model.
        const int rank = (isAssigned ? 0 : 1) + (id == item.lastTarget ? 2 : 0)
                         + (isSlow(context, id, usualInterval) ? 4 : 0);
        const double load = static_cast<double>(running) / engine->slots;
        Choice &choice = isPermitted ? best : bestWithoutPermit;
        if (isBetter({engine, rank, load}, choice))
            choice = {engine, rank, load};
    }
    if (isBetter(bestWithoutPermit, best))
        awaitPermit(permits, bestWithoutPermit.engine->target.id, context.now + maxRequestInterval,
                    context.now);
    return best.engine;
}

} // namespace geraniumpulley::core
