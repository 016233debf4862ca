#include "batch_context.hpp"

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// Without runs for this long what is known of an engine's pace says nothing any more.
constexpr Duration paceMemory = std::chrono::seconds(3);
// Engines whose pace must be known before one of them is called slow.
constexpr std::size_t leastPaces = 2;

Duration eventTimeOf(const BatchContext &context, const TargetId &target)
{
    const auto position = context.state.engines.find(target);
    if (position == context.state.engines.end()
        || context.now - position->second.lastEventAt > paceMemory)
        return {};
    return position->second.eventTime;
}

// The pace of the faster half, which a few slow engines do not change.
Duration usualEventTime(const BatchContext &context)
{
    std::vector<Duration> times;
    for (const auto &[target, use] : context.state.engines) {
        const Duration time = eventTimeOf(context, target);
        if (time > Duration{})
            times.push_back(time);
    }
    if (times.size() < leastPaces)
        return {};
    std::sort(times.begin(), times.end());
    return times[(times.size() - 1) / 2];
}

bool hasWeights(const EngineUse *use, const FleetTarget &engine, const BatchOrder &order)
{
    WeightVersion version = versionOf(engine.weights, order.model);
    if (use != nullptr)
        version = std::max(version, versionOf(use->versions, order.model));
    return version >= order.leastVersion;
}

// Runs that this node may have on an engine. One that has just refused gets a single one, which
// shows whether it takes work again.
std::uint32_t roomOf(const FleetTarget &engine, const EngineUse *use, bool isOwn,
                     const BatchSettings &settings)
{
    if (use != nullptr && use->probing)
        return 1;
    return isOwn ? engine.slots : engine.slots * settings.spillPercent / 100;
}

bool isSlow(const BatchContext &context, const TargetId &target, Duration usual)
{
    const Duration own = eventTimeOf(context, target);
    return usual > Duration{} && own > usual * context.state.settings.slowFactor;
}

struct Choice
{
    const FleetTarget *engine = nullptr;
    int rank = 0;
    double load = 0;
};

} // namespace

bool isSlow(const BatchContext &context, const TargetId &target)
{
    return isSlow(context, target, usualEventTime(context));
}

const FleetTarget *chooseEngine(const BatchContext &context, const BatchOrder &order,
                                const ItemState &item, const ServiceName &service)
{
    const Directory &directory = *context.state.directory;
    const BatchSettings &settings = context.state.settings;
    const Duration usual = usualEventTime(context);
    Choice best;
    for (const FleetTarget *engine : servingTargets(*directory.targets, service)) {
        const TargetId &id = engine->target.id;
        const auto position = context.state.engines.find(id);
        const EngineUse *use =
                position == context.state.engines.end() ? nullptr : &position->second;
        if (!hasWeights(use, *engine, order) || (use != nullptr && use->notBefore > context.now))
            continue;
        const auto model = directory.shares->find(id);
        const bool isOwn = model != directory.shares->end() && model->second == order.model;
        const std::uint32_t running = use == nullptr ? 0 : use->running;
        if (running >= roomOf(*engine, use, isOwn, settings))
            continue;
        // Engines of other models, the one that has just failed and slow ones come after.
        const int rank = (isOwn ? 0 : 1) + (id == item.lastTarget ? 2 : 0)
                         + (isSlow(context, id, usual) ? 4 : 0);
        const double load = static_cast<double>(running) / engine->slots;
        if (best.engine == nullptr || rank < best.rank || (rank == best.rank && load < best.load))
            best = {engine, rank, load};
    }
    return best.engine;
}

} // namespace geraniumpulley::core
