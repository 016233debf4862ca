#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>
#include <geraniumpulley/core/rollouts/placement.hpp>
#include <geraniumpulley/core/rollouts/step_state.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Measures steps of trainers on modelled engines, on a virtual clock. The rows named `core` use the
// decisions of the core, the others are baselines. An engine generates
// `soloRate / (1 + b / halfBatch)` tokens per second for each of `b` concurrent requests.

namespace {

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

constexpr double soloRate = 60; // Tokens per second.
constexpr double halfBatch = 32; // Concurrent requests that halve the rate of each.
constexpr double prefillRate = 8000; // Tokens per second.
constexpr double cacheTransferSeconds = 0.2;
constexpr std::uint32_t maxInFlight = 32;
constexpr double longSampleFactor = 1.5; // A sample above this multiple of the mean length is long.
constexpr std::size_t minMoveGain = 1; // Requests by which the batches may differ after a move.
constexpr std::uint32_t groupCount = 128;
constexpr std::uint32_t groupSize = 8;
constexpr double maxTokens = 2048;
constexpr Duration timeSlice = 100ms;
constexpr double timeSliceSeconds = 0.1;
constexpr Duration reportLag = 1s;
constexpr Duration publicationPeriod = 180s;
constexpr Duration outageDuration = 20s;
constexpr Duration timeLimit = 3h;

enum class Lengths { LogNormal, Pareto };
enum class SampleOrder { Slots, LongFirst };
enum class EngineChoice { RoundRobin, LeastReported, Core };
enum class TailHandling { None, Priority, Resume, Cache };

struct Policy
{
    const char *name;
    SampleOrder order;
    EngineChoice engines;
    TailHandling tail;
    bool resumesSamples; // Whether samples continue after a crash of their engine.
};

struct Load
{
    std::uint32_t engines = 10;
    std::uint32_t trainers = 1;
    Lengths lengths = Lengths::LogNormal;
    bool hasFailures = false;
    std::uint32_t seed = 1;
};

struct Result
{
    double stepSeconds = 0; // Mean time that a trainer waits for a step.
    double lowerBoundSeconds = 0;
    double lostShare = 0; // Share of the engines' tokens, including the prefill of moves.
    double meanStaleness = 0;
    double maxStaleness = 0;
    double onTimeShare = 0;
    double lengthRatio = 0; // Ratio of the delivered mean length to the true mean.
};

// A sample that an engine generates.
struct Running
{
    std::size_t step = 0;
    SampleSlot slot;
    double remainingTokens = 0;
    double generatedTokens = 0;
    double stallSeconds = 0; // Seconds of prefill or transfer before the first token.
    std::uint64_t oldestVersion = 0; // Weight version of the first token.
};

struct Engine
{
    std::vector<Running> running;
    Time upAt{};
    std::uint64_t version = 0;
};

// A sample that will be resumed.
struct InterruptedSample
{
    double generatedTokens = 0;
    double remainingTokens = 0;
    std::uint64_t oldestVersion = 0;
};

struct Simulation
{
    Policy policy;
    Load load;
    std::mt19937 random;
    std::mt19937 failureRandom;
    Time now{1h};
    Configuration configuration;
    View view;
    std::vector<Engine> engines;
    std::vector<StepState> steps;
    std::vector<double> doneAtSeconds; // -1 until the step is complete.
    std::map<SampleSlot, double> lengths;
    std::map<SampleSlot, InterruptedSample> interruptedSamples;
    std::map<SampleSlot, std::uint64_t> oldestVersions;
    EngineLoads loads;
    std::vector<std::uint32_t> reportedInFlight;
    std::size_t nextEngine = 0;
    double generatedTokens = 0;
    double lostTokens = 0;
    double trueTokens = 0;
    double deliveredTokens = 0;

    Simulation(const Policy &policy, const Load &load)
        : policy(policy), load(load), random(load.seed), failureRandom(load.seed + 1)
    {
        this->configuration.services = {
                Service{{"model"}, ServiceKind::Model, {}, {}, maxInFlight, 5s}};
        for (std::uint32_t i = 0; i < load.engines; ++i)
            this->view.targets.push_back({{std::to_string(i)}, {"model"}, "", "", false});
        this->engines.resize(load.engines);
        this->reportedInFlight.resize(load.engines);
        for (std::uint32_t i = 0; i < load.trainers; ++i)
            this->openStep(i);
    }

    void openStep(std::uint32_t trainer)
    {
        StepSpec spec{{{"t" + std::to_string(trainer)}, 1},
                      std::vector<std::string>(groupCount, "p"),
                      groupSize};
        spec.dueIn = this->dueTime();
        this->steps.push_back(makeStepState(spec, this->now));
        this->doneAtSeconds.push_back(-1);
        for (std::uint32_t group = 0; group < groupCount; ++group) {
            const double scale = this->drawFactor(0.7);
            for (std::uint32_t index = 0; index < groupSize; ++index) {
                const SampleSlot slot{spec.id, group, index};
                const double length =
                        std::clamp(220 * scale * this->drawFactor(0.5), 8.0, maxTokens);
                this->lengths[slot] = std::floor(length);
                this->trueTokens += this->lengths[slot];
            }
        }
    }

    // Returns a random factor near 1 from a heavy-tailed distribution.
    double drawFactor(double sigma)
    {
        if (this->load.lengths == Lengths::LogNormal)
            return std::lognormal_distribution<double>(0, sigma)(this->random);
        const double alpha = 1 / sigma + 1;
        const double uniform = std::uniform_real_distribution<double>(1e-6, 1)(this->random);
        return 0.7 * std::pow(uniform, -1 / alpha);
    }

    // Lower bound of the step time: all engines are full until the end, and the longest sample runs
    // alone on one.
    double lowerBoundSeconds() const
    {
        double total = 0;
        double maxLength = 0;
        for (const auto &[slot, length] : this->lengths) {
            total += length;
            maxLength = std::max(maxLength, length);
        }
        const double rate = maxInFlight * soloRate / (1 + maxInFlight / halfBatch);
        const double rateAlone = soloRate / (1 + 1 / halfBatch);
        return std::max(total / (rate * this->load.engines), maxLength / rateAlone);
    }

    Duration dueTime() const
    {
        return std::chrono::seconds(60) * std::max<std::uint32_t>(1, this->load.trainers);
    }

    std::uint64_t published() const
    {
        return static_cast<std::uint64_t>((this->now - Time{1h}) / publicationPeriod);
    }

    std::optional<std::size_t> pickEngine(const StepState &step, const SampleSlot &slot)
    {
        if (this->policy.engines == EngineChoice::Core) {
            const SampleSlot sibling{slot.step, slot.group, slot.index == 0 ? 0 : slot.index - 1};
            const PlacementQuery query{{"model"}, step.slots.at(sibling).target, {}};
            const Target *target = chooseTarget(query, this->configuration, this->view, nullptr,
                                                this->loads, this->now);
            if (target == nullptr)
                return std::nullopt;
            return std::stoul(target->id.value);
        }
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const std::size_t candidate = (this->nextEngine + i) % this->engines.size();
            const Engine &engine = this->engines[candidate];
            if (engine.upAt > this->now || engine.running.size() >= maxInFlight)
                continue;
            if (this->policy.engines == EngineChoice::RoundRobin) {
                this->nextEngine = candidate + 1;
                return candidate;
            }
            if (!best || this->reportedInFlight[candidate] < this->reportedInFlight[*best])
                best = candidate;
        }
        return best;
    }

    void startSamples()
    {
        const bool hasRoom = std::any_of(
                this->engines.begin(), this->engines.end(), [this](const Engine &engine) {
                    return engine.upAt <= this->now && engine.running.size() < maxInFlight;
                });
        std::vector<bool> exhausted(this->steps.size(), !hasRoom);
        for (;;) {
            std::optional<std::size_t> chosen;
            double lowestRatio = 0;
            for (std::size_t i = 0; i < this->steps.size(); ++i) {
                const StepState &step = this->steps[i];
                if (exhausted[i] || step.waiting.empty())
                    continue;
                const double ratio =
                        fairShareRatio(step.inFlight, 1, step.slots.size() - step.finished,
                                       step.dueAt - this->now);
                if (!chosen || ratio < lowestRatio) {
                    chosen = i;
                    lowestRatio = ratio;
                }
            }
            if (!chosen)
                return;
            exhausted[*chosen] = !this->startSample(*chosen);
        }
    }

    bool startSample(std::size_t index)
    {
        StepState &step = this->steps[index];
        const SampleSlot slot =
                this->policy.order == SampleOrder::Slots ? *step.waiting.begin() : *nextSlot(step);
        const auto engine = this->pickEngine(step, slot);
        if (!engine)
            return false;
        Running running{index, slot, this->lengths[slot], 0, 0, this->engines[*engine].version};
        const auto interrupted = this->interruptedSamples.extract(slot);
        if (!interrupted.empty()) {
            const InterruptedSample &interruptedSample = interrupted.mapped();
            running.generatedTokens = interruptedSample.generatedTokens;
            running.remainingTokens = interruptedSample.remainingTokens;
            running.oldestVersion = interruptedSample.oldestVersion;
            const bool hasCache =
                    this->policy.tail == TailHandling::Cache && step.slots.at(slot).committed;
            running.stallSeconds = hasCache ? cacheTransferSeconds
                                            : interruptedSample.generatedTokens / prefillRate;
            this->lostTokens += running.stallSeconds * soloRate;
        }
        ++step.groups[slot.group].started;
        setPhase(step, slot, SlotPhase::Generating, this->now);
        step.slots.at(slot).target = this->view.targets[*engine].id;
        ++this->loads[this->view.targets[*engine].id].inFlight;
        this->engines[*engine].running.push_back(running);
        return true;
    }

    void finish(Running &running)
    {
        StepState &step = this->steps[running.step];
        GroupLengths &group = step.groups[running.slot.group];
        ++group.finished;
        group.finishedTokens += static_cast<std::uint64_t>(running.generatedTokens);
        this->deliveredTokens += running.generatedTokens;
        this->oldestVersions[running.slot] = running.oldestVersion;
        setPhase(step, running.slot, SlotPhase::Finished, this->now);
        if (step.finished == step.slots.size())
            this->doneAtSeconds[running.step] =
                    std::chrono::duration<double>(this->now - Time{1h}).count();
    }

    bool isLong(const Running &running) const
    {
        const double mean = this->trueTokens / static_cast<double>(this->lengths.size());
        return running.generatedTokens > longSampleFactor * mean;
    }

    // With priority, the long requests of an engine run as if they were its only ones.
    double rateOf(const Engine &engine, const Running &running) const
    {
        const auto batch = static_cast<double>(engine.running.size());
        const double equalRate = soloRate / (1 + batch / halfBatch);
        if (this->policy.tail != TailHandling::Priority)
            return equalRate;
        const double longRequests = static_cast<double>(
                std::count_if(engine.running.begin(), engine.running.end(),
                              [this](const Running &other) { return this->isLong(other); }));
        if (longRequests == 0 || longRequests == batch)
            return equalRate;
        const double priorityRate = soloRate / (1 + longRequests / halfBatch);
        if (this->isLong(running))
            return priorityRate;
        return std::max(0.0,
                        (batch * equalRate - longRequests * priorityRate) / (batch - longRequests));
    }

    void advance(Engine &engine, const TargetId &id)
    {
        std::vector<double> rates;
        for (const Running &running : engine.running)
            rates.push_back(this->rateOf(engine, running));
        for (std::size_t i = 0; i < engine.running.size(); ++i) {
            Running &running = engine.running[i];
            if (running.stallSeconds > 0) {
                running.stallSeconds -= timeSliceSeconds;
                continue;
            }
            const double tokens = std::min(running.remainingTokens, rates[i] * timeSliceSeconds);
            running.remainingTokens -= tokens;
            running.generatedTokens += tokens;
            this->generatedTokens += tokens;
        }
        std::erase_if(engine.running, [&](Running &running) {
            if (running.remainingTokens > 1e-9)
                return false;
            --this->loads[id].inFlight;
            this->finish(running);
            return true;
        });
    }

    void interrupt(Engine &engine, std::size_t position, const TargetId &id, bool keepsTokens)
    {
        const Running running = engine.running[position];
        engine.running.erase(engine.running.begin() + static_cast<std::ptrdiff_t>(position));
        --this->loads[id].inFlight;
        StepState &step = this->steps[running.step];
        SlotState &state = step.slots.at(running.slot);
        state.tokens = keepsTokens ? static_cast<std::uint64_t>(running.generatedTokens) + 1 : 0;
        if (keepsTokens)
            this->interruptedSamples[running.slot] = {
                    running.generatedTokens, running.remainingTokens, running.oldestVersion};
        else
            this->drawNewLength(running);
        setPhase(step, running.slot, SlotPhase::Waiting, this->now);
    }

    // Draws a new length, because a new generation of the sample may differ.
    void drawNewLength(const Running &running)
    {
        this->lostTokens += running.generatedTokens;
        const double mean = this->trueTokens / static_cast<double>(this->lengths.size());
        this->lengths[running.slot] =
                std::clamp(std::floor(mean * 0.8 * this->drawFactor(0.85)), 8.0, maxTokens);
    }

    // Moves the shortest request of the busiest engine to the least busy one. The move stalls this
    // request, and those that remain on the busiest engine run faster.
    void moveSamples()
    {
        const bool movesSamples = this->policy.tail == TailHandling::Resume
                                  || this->policy.tail == TailHandling::Cache;
        const bool hasWaitingSamples =
                std::any_of(this->steps.begin(), this->steps.end(),
                            [](const StepState &step) { return !step.waiting.empty(); });
        if (!movesSamples || hasWaitingSamples)
            return;
        const auto [idlest, busiest] = std::minmax_element(
                this->engines.begin(), this->engines.end(),
                [](const auto &a, const auto &b) { return a.running.size() < b.running.size(); });
        const bool isUp = idlest->upAt <= this->now;
        if (!isUp || busiest->running.size() <= idlest->running.size() + minMoveGain)
            return;
        const auto shortest = std::min_element(busiest->running.begin(), busiest->running.end(),
                                               [](const Running &a, const Running &b) {
                                                   return a.generatedTokens < b.generatedTokens;
                                               });
        const auto id =
                this->view.targets[static_cast<std::size_t>(busiest - this->engines.begin())].id;
        const SampleSlot slot = shortest->slot;
        StepState &step = this->steps[shortest->step];
        this->interrupt(*busiest, static_cast<std::size_t>(shortest - busiest->running.begin()), id,
                        true);
        step.slots.at(slot).committed = true; // Stands for an exported KV cache.
    }

    void failEngines()
    {
        const bool isDue = this->load.hasFailures && (this->now - Time{1h}) % 30s == 15s;
        if (!isDue)
            return;
        const std::size_t index = this->failureRandom() % this->engines.size();
        Engine &engine = this->engines[index];
        engine.upAt = this->now + outageDuration;
        this->loads[this->view.targets[index].id].retryAt = engine.upAt;
        while (!engine.running.empty())
            this->interrupt(engine, 0, this->view.targets[index].id, this->policy.resumesSamples);
    }

    // Engines load published weights one after the other, the last one 12 s after the publication.
    void swapWeights()
    {
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const Duration delay = 12s * static_cast<int>(i + 1) / static_cast<int>(engines.size());
            const Duration since = this->now - Time{1h} - delay;
            this->engines[i].version =
                    since.count() <= 0 ? 0 : static_cast<std::uint64_t>(since / publicationPeriod);
        }
    }

    Result run()
    {
        Result result;
        result.lowerBoundSeconds = this->lowerBoundSeconds();
        while (this->now < Time{1h} + timeLimit
               && std::any_of(this->doneAtSeconds.begin(), this->doneAtSeconds.end(),
                              [](double at) { return at < 0; })) {
            if ((this->now - Time{1h}) % reportLag == 0s) {
                for (std::size_t i = 0; i < this->engines.size(); ++i)
                    this->reportedInFlight[i] =
                            static_cast<std::uint32_t>(this->engines[i].running.size());
            }
            this->failEngines();
            this->swapWeights();
            this->moveSamples();
            this->startSamples();
            this->now += timeSlice;
            for (std::size_t i = 0; i < this->engines.size(); ++i) {
                if (this->engines[i].upAt <= this->now)
                    this->advance(this->engines[i], this->view.targets[i].id);
            }
        }
        this->summarize(result);
        return result;
    }

    void summarize(Result &result) const
    {
        const double due = std::chrono::duration<double>(this->dueTime()).count();
        double sum = 0;
        for (const double at : this->doneAtSeconds) {
            sum += at;
            result.onTimeShare +=
                    at <= due ? 1.0 / static_cast<double>(this->doneAtSeconds.size()) : 0;
        }
        result.stepSeconds = sum / static_cast<double>(this->doneAtSeconds.size());
        for (const auto &[slot, version] : this->oldestVersions) {
            const std::size_t step = std::stoul(slot.step.trainer.value.substr(1));
            const double at =
                    std::floor(this->doneAtSeconds[step]
                               / std::chrono::duration<double>(publicationPeriod).count());
            const double age = at - static_cast<double>(version);
            result.meanStaleness += age / static_cast<double>(this->oldestVersions.size());
            result.maxStaleness = std::max(result.maxStaleness, age);
        }
        result.lostShare = this->lostTokens / (this->generatedTokens + this->lostTokens);
        result.lengthRatio = this->deliveredTokens / this->trueTokens;
    }
};

constexpr Policy policies[] = {
        {"round-robin", SampleOrder::Slots, EngineChoice::RoundRobin, TailHandling::None, false},
        {"least-reported", SampleOrder::Slots, EngineChoice::LeastReported, TailHandling::None,
         false},
        {"core-order", SampleOrder::LongFirst, EngineChoice::Core, TailHandling::None, true},
        {"core-priority", SampleOrder::LongFirst, EngineChoice::Core, TailHandling::Priority, true},
        {"core-resume", SampleOrder::LongFirst, EngineChoice::Core, TailHandling::Resume, true},
        {"core-kv", SampleOrder::LongFirst, EngineChoice::Core, TailHandling::Cache, true},
};

constexpr std::uint32_t seedCount = 2;

void printRow(const char *metric, const std::string &parameter, double value, const char *unit,
              const char *target)
{
    fmt::print("rollout,{},{},{:.4g},{},{}\n", metric, parameter, value, unit, target);
}

void measure(const Policy &policy, Load load)
{
    Result mean;
    double ratio = 0;
    for (load.seed = 1; load.seed <= seedCount; ++load.seed) {
        const Result result = Simulation(policy, load).run();
        mean.stepSeconds += result.stepSeconds / seedCount;
        ratio += result.stepSeconds / result.lowerBoundSeconds / seedCount;
        mean.lostShare += result.lostShare / seedCount;
        mean.meanStaleness += result.meanStaleness / seedCount;
        mean.maxStaleness = std::max(mean.maxStaleness, result.maxStaleness);
        mean.onTimeShare += result.onTimeShare / seedCount;
        mean.lengthRatio += result.lengthRatio / seedCount;
    }
    const std::string parameter =
            fmt::format("{}/{}-engines/{}-trainers/{}/{}", policy.name, load.engines, load.trainers,
                        load.lengths == Lengths::LogNormal ? "lognormal" : "pareto",
                        load.hasFailures ? "failures" : "calm");
    printRow("idle_time", parameter, mean.stepSeconds, "s", "");
    printRow("idle_to_bound", parameter, ratio, "ratio", load.hasFailures ? "" : "1.15");
    printRow("engine_time_lost", parameter, mean.lostShare, "share",
             load.hasFailures ? "" : "0.01");
    printRow("staleness_mean", parameter, mean.meanStaleness, "versions", "");
    printRow("staleness_worst", parameter, mean.maxStaleness, "versions", "");
    printRow("steps_on_time", parameter, mean.onTimeShare, "share", "");
    printRow("length_delivered_to_true", parameter, mean.lengthRatio, "ratio", "1");
}

// Measures the decisions and the encoding for a step of the design size of 8192 samples.
void measureStep()
{
    constexpr std::uint32_t samples = 8192;
    StepSpec spec{{{"t"}, 1}, std::vector<std::string>(samples / 16, "prompt"), 16};
    const Time now{1h};
    const auto begin = std::chrono::steady_clock::now();
    StepState step = makeStepState(spec, now);
    step.nextRecordNumber = 1;
    step.logLoaded = true;
    std::uint64_t writes = 1;
    std::size_t bytes = 0;
    while (!isComplete(step)) {
        while (const SampleSlot *next = nextSlot(step)) {
            const SampleSlot slot = *next;
            ++step.groups[slot.group].started;
            step.slots.at(slot).sample = {
                    std::string(2000, 'x'), {{WeightVersion{1}, "incarnation", 0, 500}}, 0.5};
            setPhase(step, slot, SlotPhase::Finished, now);
            if (step.uncommitted.size() == groupCommitSamples)
                break;
        }
        const auto content = nextRecordContent(step, false, now);
        const auto &finished = std::get<SamplesFinished>(*content);
        bytes += geraniumpulley::codec::encodeSamples(finished.samples).size();
        applyRecord(step, *content, now);
        ++writes;
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    writes += 2; // The seal and the acknowledgement of the step.
    printRow("table_writes_a_sample", "8192-samples", static_cast<double>(writes) / samples,
             "writes", "");
    printRow("object_writes_a_sample", "8192-samples", static_cast<double>(writes - 3) / samples,
             "writes", "");
    printRow("object_bytes_a_sample", "2000-characters", static_cast<double>(bytes) / samples, "B",
             "");
    printRow("owner_time_a_sample", "8192-samples", elapsed.count() / samples * 1e6, "us", "");
}

} // namespace

int main()
{
    for (const Policy &policy : policies) {
        for (const bool fails : {false, true}) {
            if (fails && policy.tail != TailHandling::None)
                continue;
            for (const Lengths lengths : {Lengths::LogNormal, Lengths::Pareto}) {
                for (const auto &[engines, trainers] :
                     {std::pair{10U, 1U}, {8U, 2U}, {10U, 3U}, {10U, 15U}})
                    measure(policy, {engines, trainers, lengths, fails, 1});
            }
        }
    }
    measureStep();
    return 0;
}
