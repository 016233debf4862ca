#include <geraniumpulley/core/fleet/engine_shares.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// How much more work an engine of the most loaded model must have than the engines of another
// model would have after giving one up. Hysteresis, because each move costs a load of weights: the
// mean work of two trainers that stays within 8% moves nothing (1.08 / 0.92).
constexpr double leastGain = 1.18;

using Counts = std::map<std::string, std::size_t>;

// The work of each model; one whose batches are not known gets the mean.
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

double loadOf(const ModelWork &work, const Counts &counts, const std::string &model)
{
    const auto position = counts.find(model);
    const std::size_t count = position == counts.end() ? 0 : position->second;
    // A model without engines comes before all others.
    constexpr double unserved = 1e9;
    return count == 0 ? work.at(model) * unserved : work.at(model) / static_cast<double>(count);
}

const std::string &mostLoaded(const ModelWork &work, const Counts &counts)
{
    const auto most = std::max_element(work.begin(), work.end(), [&](const auto &a, const auto &b) {
        return loadOf(work, counts, a.first) < loadOf(work, counts, b.first);
    });
    return most->first;
}

// Each engine goes to the model that then has the most work for an engine.
Counts quotasOf(std::size_t engines, const ModelWork &work)
{
    Counts quotas;
    for (std::size_t i = 0; i < engines; ++i)
        ++quotas[mostLoaded(work, quotas)];
    return quotas;
}

// The model of which an engine has followed the versions best; nothing when several are equal.
std::optional<std::string> followedModel(const FleetTarget &engine,
                                         const std::vector<std::string> &models,
                                         const WeightMap &desired)
{
    std::optional<std::string> best;
    std::uint64_t leastLag = 0;
    bool isTied = false;
    for (const std::string &model : models) {
        const std::uint64_t newest = number(versionOf(desired, model));
        const std::uint64_t held = number(versionOf(engine.weights, model));
        const std::uint64_t lag = newest > held ? newest - held : 0;
        if (best && lag == leastLag)
            isTied = true;
        if (best && lag >= leastLag)
            continue;
        best = model;
        leastLag = lag;
        isTied = false;
    }
    return isTied ? std::nullopt : best;
}

struct Sharing
{
    const std::vector<const FleetTarget *> &engines;
    ModelWork work;
    EngineShares shares;
    Counts counts;

    void assign(const TargetId &engine, const std::string &model)
    {
        const auto [position, isNew] = this->shares.emplace(engine, model);
        if (!isNew) {
            --this->counts[position->second];
            position->second = model;
        }
        ++this->counts[model];
    }

    // The pair with the highest score goes first, as in rendezvous hashing, until a model has its
    // quota; an engine that comes or goes then moves few of the others.
    void assignRest()
    {
        const Counts quotas = quotasOf(this->engines.size(), this->work);
        std::vector<std::tuple<std::uint64_t, TargetId, std::string>> pairs;
        for (const FleetTarget *engine : this->engines) {
            const TargetId &id = engine->target.id;
            if (this->shares.count(id) != 0)
                continue;
            for (const auto &[model, work] : this->work)
                pairs.emplace_back(rendezvousScore(model, id.value), id, model);
        }
        std::sort(pairs.rbegin(), pairs.rend());
        for (const auto &[score, engine, model] : pairs) {
            const auto quota = quotas.find(model);
            if (this->shares.count(engine) == 0 && quota != quotas.end()
                && this->counts[model] < quota->second)
                this->assign(engine, model);
        }
        // Where engines that have followed a model are more than its quota, others lack some.
        for (const FleetTarget *engine : this->engines) {
            if (this->shares.count(engine->target.id) == 0)
                this->assign(engine->target.id, mostLoaded(this->work, this->counts));
        }
    }

    // \return the model that can best spare an engine for the most loaded one.
    std::optional<std::string> giverFor(const std::string &taker) const
    {
        std::optional<std::string> giver;
        double leastLoad = loadOf(this->work, this->counts, taker) / leastGain;
        for (const auto &[model, count] : this->counts) {
            if (model == taker || count < 2)
                continue;
            const double after = this->work.at(model) / static_cast<double>(count - 1);
            if (after >= leastLoad)
                continue;
            giver = model;
            leastLoad = after;
        }
        return giver;
    }

    void balance()
    {
        while (true) {
            const std::string taker = mostLoaded(this->work, this->counts);
            const std::optional<std::string> giver = this->giverFor(taker);
            if (!giver)
                return;
            const TargetId *moved = nullptr;
            for (const auto &[engine, model] : this->shares) {
                if (model == *giver
                    && (moved == nullptr
                        || rendezvousScore(taker, engine.value)
                                   > rendezvousScore(taker, moved->value)))
                    moved = &engine;
            }
            assert(moved != nullptr);
            this->assign(*moved, taker);
        }
    }
};

} // namespace

ModelWork workOfBatches(const BatchMap &batches)
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

WeightMap leastWeightsOf(const BatchMap &batches)
{
    WeightMap least;
    for (const auto &[id, head] : batches) {
        WeightVersion &version = least[head.model];
        version = std::max(version, head.leastVersion);
    }
    return least;
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

EngineShares shareEngines(const std::vector<const FleetTarget *> &engines, const ModelWork &work,
                          const WeightMap &desired)
{
    const std::vector<std::string> models = modelsOf(engines);
    if (models.empty())
        return {};
    Sharing sharing{engines, completeWork(models, work), {}, {}};
    if (models.size() == 1) {
        for (const FleetTarget *engine : engines)
            sharing.assign(engine->target.id, models.front());
        return std::move(sharing.shares);
    }
    for (const FleetTarget *engine : engines) {
        const auto model = followedModel(*engine, models, desired);
        if (model)
            sharing.assign(engine->target.id, *model);
    }
    sharing.assignRest();
    sharing.balance();
    return std::move(sharing.shares);
}

} // namespace geraniumpulley::core
