#include <geraniumpulley/core/fleet/engine_assignments.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// Hysteresis, because each move costs a load of weights: an engine moves only if the load of each
// engine of the most loaded model is higher, by at least this factor, than that of the engines of
// the other model would be without it. If the mean work of two models varies by up to 8%, no engine
// therefore moves (1.08 / 0.92 is less than the factor).
constexpr double minLoadRatio = 1.18;

using Counts = std::map<std::string, std::size_t>;

// Returns the work of each model. A model without known batches gets the mean of the others.
ModelWork completeWork(const std::vector<std::string> &models, const ModelWork &work)
{
    double sum = 0;
    std::size_t known = 0;
    for (const std::string &model : models) {
        const auto position = work.find(model);
        if (position == work.end() || position->second <= 0)
            continue;
        sum += position->second;
        ++known;
    }
    const double mean = known == 0 ? 1.0 : sum / static_cast<double>(known);
    ModelWork complete;
    for (const std::string &model : models) {
        const auto position = work.find(model);
        const bool isKnown = position != work.end() && position->second > 0;
        complete[model] = isKnown ? position->second : mean;
    }
    return complete;
}

double loadPerEngine(double work, std::size_t engines)
{
    // Ranks a model without engines above any model with engines.
    constexpr double unservedFactor = 1e9;
    return engines == 0 ? work * unservedFactor : work / static_cast<double>(engines);
}

double loadOf(const ModelWork &work, const Counts &counts, const std::string &model)
{
    const auto position = counts.find(model);
    return loadPerEngine(work.at(model), position == counts.end() ? 0 : position->second);
}

const std::string &mostLoadedModel(const ModelWork &work, const Counts &counts)
{
    const auto maximum =
            std::max_element(work.begin(), work.end(), [&](const auto &a, const auto &b) {
                return loadOf(work, counts, a.first) < loadOf(work, counts, b.first);
            });
    return maximum->first;
}

// Returns the number of engines for each model. Each engine in turn goes to the model that has the
// most work per engine at that point.
Counts quotasOf(std::size_t engines, const ModelWork &work)
{
    struct Quota
    {
        const std::string *model;
        double work;
        std::size_t engines;
    };
    std::vector<Quota> quotas;
    for (const auto &[model, modelWork] : work)
        quotas.push_back({&model, modelWork, 0});
    for (std::size_t i = 0; i < engines; ++i) {
        const auto next =
                std::max_element(quotas.begin(), quotas.end(), [](const Quota &a, const Quota &b) {
                    return loadPerEngine(a.work, a.engines) < loadPerEngine(b.work, b.engines);
                });
        ++next->engines;
    }
    Counts counts;
    for (const Quota &quota : quotas)
        counts[*quota.model] = quota.engines;
    return counts;
}

// Returns the model whose versions on the engine are the least out of date, or nothing if several
// models are equal.
std::optional<std::string> mostCurrentModel(const FleetTarget &engine,
                                            const std::vector<std::string> &models,
                                            const WeightMap &desired)
{
    std::optional<std::string> best;
    std::uint64_t minLag = 0;
    bool isTied = false;
    for (const std::string &model : models) {
        const std::uint64_t newest = number(versionOf(desired, model));
        const std::uint64_t held = number(versionOf(engine.weights, model));
        const std::uint64_t lag = newest > held ? newest - held : 0;
        if (best && lag == minLag)
            isTied = true;
        if (best && lag >= minLag)
            continue;
        best = model;
        minLag = lag;
        isTied = false;
    }
    return isTied ? std::nullopt : best;
}

struct Assigner
{
    const std::vector<const FleetTarget *> &engines;
    ModelWork work;
    EngineAssignments assignments;
    Counts counts;

    void assign(const TargetId &engine, const std::string &model)
    {
        const auto [position, isNew] = this->assignments.emplace(engine, model);
        if (!isNew) {
            --this->counts[position->second];
            position->second = model;
        }
        ++this->counts[model];
    }

    // Assigns the remaining engines by rendezvous hashing: pairs of engine and model in the order
    // of their scores, until each model has its quota. An engine that joins or leaves then moves
    // few of the others.
    void assignRemaining()
    {
        const Counts quotas = quotasOf(this->engines.size(), this->work);
        std::vector<std::tuple<std::uint64_t, TargetId, std::string>> pairs;
        for (const FleetTarget *engine : this->engines) {
            const TargetId &id = engine->target.id;
            if (this->assignments.count(id) != 0)
                continue;
            for (const auto &[model, work] : this->work)
                pairs.emplace_back(rendezvousScore(model, id.value), id, model);
        }
        std::sort(pairs.rbegin(), pairs.rend());
        for (const auto &[score, engine, model] : pairs) {
            const auto quota = quotas.find(model);
            if (this->assignments.count(engine) == 0 && quota != quotas.end()
                && this->counts[model] < quota->second)
                this->assign(engine, model);
        }
        // If some models already exceed their quotas, not every engine fits into the remaining
        // ones.
        for (const FleetTarget *engine : this->engines) {
            if (this->assignments.count(engine->target.id) == 0)
                this->assign(engine->target.id, mostLoadedModel(this->work, this->counts));
        }
    }

    // Returns the model whose engines have the lowest load after one of them moves to `receiver`,
    // or nothing if no move is worth its cost.
    std::optional<std::string> donorFor(const std::string &receiver) const
    {
        std::optional<std::string> donor;
        double minLoad = loadOf(this->work, this->counts, receiver) / minLoadRatio;
        for (const auto &[model, count] : this->counts) {
            if (model == receiver || count < 2)
                continue;
            const double loadAfterMove = this->work.at(model) / static_cast<double>(count - 1);
            if (loadAfterMove >= minLoad)
                continue;
            donor = model;
            minLoad = loadAfterMove;
        }
        return donor;
    }

    void balance()
    {
        while (true) {
            const std::string receiver = mostLoadedModel(this->work, this->counts);
            const std::optional<std::string> donor = this->donorFor(receiver);
            if (!donor)
                return;
            const TargetId *movedEngine = nullptr;
            for (const auto &[engine, model] : this->assignments) {
                if (model == *donor
                    && (movedEngine == nullptr
                        || rendezvousScore(receiver, engine.value)
                                   > rendezvousScore(receiver, movedEngine->value)))
                    movedEngine = &engine;
            }
            assert(movedEngine != nullptr);
            this->assign(*movedEngine, receiver);
        }
    }
};

} // namespace

ModelWork meanBatchWork(const BatchMap &batches)
{
    ModelWork work;
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, head] : batches) {
        if (head.expectedTokens == 0)
            continue;
        work[head.model] += static_cast<double>(head.expectedTokens);
        ++counts[head.model];
    }
    for (auto &[model, sum] : work)
        sum /= static_cast<double>(counts.at(model));
    return work;
}

WeightMap minWeightsOf(const BatchMap &batches)
{
    WeightMap minVersions;
    for (const auto &[id, head] : batches) {
        WeightVersion &version = minVersions[head.model];
        version = std::max(version, head.minVersion);
    }
    return minVersions;
}

std::vector<std::string> modelsOf(const std::vector<const FleetTarget *> &engines)
{
    std::set<std::string> models;
    for (const FleetTarget *engine : engines) {
        for (const auto &[model, version] : engine->weights)
            models.insert(model);
    }
    return {models.begin(), models.end()};
}

EngineAssignments assignEngines(const std::vector<const FleetTarget *> &engines,
                                const ModelWork &work, const WeightMap &desired)
{
    const std::vector<std::string> models = modelsOf(engines);
    if (models.empty())
        return {};
    Assigner assigner{engines, completeWork(models, work), {}, {}};
    if (models.size() == 1) {
        for (const FleetTarget *engine : engines)
            assigner.assign(engine->target.id, models.front());
        return std::move(assigner.assignments);
    }
    for (const FleetTarget *engine : engines) {
        const auto model = mostCurrentModel(*engine, models, desired);
        if (model)
            assigner.assign(engine->target.id, *model);
    }
    assigner.assignRemaining();
    assigner.balance();
    return std::move(assigner.assignments);
}

} // namespace geraniumpulley::core
