// Compares policies for the choice of a target, with the decisions of the core on a virtual clock
// and simulated load.
#include <geraniumpulley/core/calls/load_balancing.hpp>
#include <geraniumpulley/core/calls/retry_budget.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string_view>
#include <tuple>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

constexpr Duration runDuration = 30s;
constexpr Duration warmUpDuration = 2s;
constexpr Duration faultAt = 5s;
constexpr Duration clientDelay = 3ms;
constexpr Duration failureDelay = 1ms;
constexpr std::uint32_t maxInFlight = 64;
constexpr double slowFactor = 5;

struct Deployment
{
    const char *name;
    std::size_t nodes;
    std::size_t dataCentres;
    Duration interDataCentreDelay;
    std::size_t workers; // Workers with one model engine each.
    std::size_t plainTargets;
};

enum class Fault { None, Slows, FailsAtOnce, Burst };
enum class Policy { Report, OwnCount, TwoChoices, Subset, Owner };

struct Scenario
{
    const char *name;
    Fault fault = Fault::None;
    bool ejects = true;
    bool model = false; // Whether calls go to the workers instead of the plain targets.
    bool hasRollouts = false;
    std::uint32_t reservedSlots = 0; // Slots of a worker that rollouts must leave free.
};

// A target, which queues calls beyond its slots.
struct Server
{
    Target target;
    std::size_t slots = 0;
    std::size_t calls = 0;
    std::size_t rollouts = 0;
    std::deque<std::function<void()>> queue;
    std::deque<std::pair<Duration, std::uint32_t>> history; // Load over time, for delayed reports.
};

// A node that receives calls and chooses targets.
struct EntryNode
{
    std::vector<std::uint32_t> ownInFlight;
    std::vector<TargetHealth> health;
    RandomSource random;
    RetryBudget budget;
};

struct Event
{
    Duration at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.sequence) < std::tie(this->at, this->sequence);
    }
};

struct Simulation
{
    Simulation(const Deployment &deployment, const Scenario &scenario, Policy policy)
        : deployment(deployment), scenario(scenario), policy(policy), random(7)
    {
        const std::size_t count = scenario.model ? deployment.workers : deployment.plainTargets;
        this->servers.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            this->servers[i].target.id.value = std::to_string(i);
            this->servers[i].slots = scenario.model ? 16 : 8;
        }
        for (std::size_t i = 0; i < deployment.nodes; ++i) {
            this->entryNodes.push_back({std::vector<std::uint32_t>(count),
                                        std::vector<TargetHealth>(count),
                                        {i + 1},
                                        {}});
        }
        this->meanServiceTime = scenario.model ? 300ms : 20ms;
        constexpr double utilisation = 0.5;
        this->callRate = utilisation * static_cast<double>(count * this->servers[0].slots)
                         / std::chrono::duration<double>(this->meanServiceTime).count();
    }

    double uniform() { return std::uniform_real_distribution<>(0, 1)(this->random); }
    Duration exponential(double mean)
    {
        return Duration(
                static_cast<std::int64_t>(std::exponential_distribution<>(1 / mean)(this->random)));
    }
    Time currentTime() const { return Time{1h} + this->now; }

    void schedule(Duration when, std::function<void()> action)
    {
        this->scheduledEvents.push({when, this->nextSequence++, std::move(action)});
    }

    // Half of the mean service time is constant, the other half is exponentially distributed.
    Duration serviceTime(std::size_t server)
    {
        const bool isSlow =
                this->scenario.fault == Fault::Slows && server == 0 && this->now >= faultAt;
        const auto mean =
                static_cast<double>(this->meanServiceTime.count()) * (isSlow ? slowFactor : 1);
        return Duration(static_cast<std::int64_t>(mean / 2)) + this->exponential(mean / 2);
    }

    Duration networkDelay(std::size_t node, std::size_t server) const
    {
        const bool isNear =
                node % this->deployment.dataCentres == server % this->deployment.dataCentres;
        return isNear ? Duration(100) : this->deployment.interDataCentreDelay;
    }

    void receiveCall()
    {
        const bool isBurst = this->scenario.fault == Fault::Burst && this->now >= faultAt
                             && this->now < faultAt + 1s;
        this->schedule(this->now + this->exponential(1e6 / (this->callRate * (isBurst ? 3 : 1))),
                       [this] { this->receiveCall(); });
        const std::size_t node = this->random() % this->entryNodes.size();
        recordCall(this->entryNodes[node].budget);
        this->schedule(this->now + clientDelay,
                       [this, node, start = this->now] { this->send(node, start, 0); });
    }

    std::uint32_t reportedLoad(Server &server, Duration age) const
    {
        while (server.history.size() > 1 && server.history[1].first <= this->now - 5s)
            server.history.pop_front();
        std::uint32_t value = 0;
        for (const auto &[when, load] : server.history) {
            if (when <= this->now - age)
                value = load;
        }
        return value;
    }

    const Target *choose(std::size_t node)
    {
        EntryNode &entry = this->entryNodes[node];
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            // Reports are 1 to 5 s old, depending on the node and the target.
            const Duration age = 1s + 1s * static_cast<int>((node + i) % 5);
            const bool needsReport =
                    this->policy == Policy::Report || this->policy == Policy::TwoChoices;
            const std::uint32_t report =
                    needsReport ? this->reportedLoad(this->servers[i], age) : 0;
            const bool isUsableTarget =
                    !this->scenario.ejects || isUsable(entry.health[i], this->currentTime());
            candidates.push_back(
                    {&this->servers[i].target, entry.ownInFlight[i], report, isUsableTarget});
        }
        switch (this->policy) {
        case Policy::Report:
            return chooseByReportedCount(candidates, maxInFlight, entry.random);
        case Policy::TwoChoices:
            return chooseBestOfTwo(candidates, maxInFlight, entry.random);
        case Policy::Subset:
            return chooseByOwnCount(subsetOf(candidates, node, (candidates.size() + 1) / 2),
                                    maxInFlight, entry.random);
        case Policy::OwnCount:
        case Policy::Owner:
            return chooseByOwnCount(candidates, maxInFlight, entry.random);
        }
        return nullptr;
    }

    void send(std::size_t node, Duration start, int retryCount)
    {
        const Target *target = this->choose(node);
        if (target == nullptr)
            return this->finish(start, false);
        const std::size_t index = std::stoul(target->id.value);
        EntryNode &entry = this->entryNodes[node];
        ++entry.ownInFlight[index];
        recordSent(entry.health[index], this->currentTime());
        // The owner of a target is a node near it. Other nodes forward to the owner, which adds a
        // hop.
        const bool isForwarded =
                this->policy == Policy::Owner && node % this->servers.size() != index;
        const Duration hop =
                this->networkDelay(node, index) + (isForwarded ? Duration(200) : Duration(0));
        const auto done = [this, node, index, hop, start, retryCount](bool succeeded) {
            this->schedule(this->now + hop, [this, node, index, start, retryCount, succeeded] {
                this->onAnswer(node, index, start, retryCount, succeeded);
            });
        };
        this->schedule(this->now + hop, [this, index, done] { this->receive(index, done); });
    }

    void receive(std::size_t index, const std::function<void(bool)> &done)
    {
        const bool fails =
                this->scenario.fault == Fault::FailsAtOnce && index == 0 && this->now >= faultAt;
        if (fails)
            return this->schedule(this->now + failureDelay, [done] { done(false); });
        Server &server = this->servers[index];
        const auto start = [this, index, done] {
            ++this->servers[index].calls;
            this->recordLoad(index);
            this->schedule(this->now + this->serviceTime(index), [this, index, done] {
                --this->servers[index].calls;
                done(true);
                this->serveNext(index);
            });
        };
        if (server.calls + server.rollouts < server.slots)
            start();
        else
            server.queue.push_back(start);
    }

    void recordLoad(std::size_t index)
    {
        Server &server = this->servers[index];
        server.history.emplace_back(this->now,
                                    static_cast<std::uint32_t>(server.calls + server.queue.size()));
    }

    void serveNext(std::size_t index)
    {
        Server &server = this->servers[index];
        if (!server.queue.empty()) {
            const auto next = server.queue.front();
            server.queue.pop_front();
            next();
        } else {
            this->recordLoad(index);
        }
        this->fillWithRollouts(index);
    }

    // Rollouts use slots only while no call is queued, and leave the reserved slots free.
    void fillWithRollouts(std::size_t index)
    {
        Server &server = this->servers[index];
        const std::size_t maxBusySlots = server.slots - this->scenario.reservedSlots;
        while (this->scenario.hasRollouts && server.queue.empty()
               && server.calls + server.rollouts < maxBusySlots) {
            ++server.rollouts;
            const Duration duration = this->exponential(1e6) + 500ms;
            this->schedule(this->now + duration, [this, index, duration] {
                --this->servers[index].rollouts;
                this->rolloutTime += duration;
                this->serveNext(index);
            });
        }
    }

    void onAnswer(std::size_t node, std::size_t index, Duration start, int retryCount,
                  bool succeeded)
    {
        EntryNode &entry = this->entryNodes[node];
        --entry.ownInFlight[index];
        if (succeeded)
            recordSuccess(entry.health[index]);
        else
            recordFailure(entry.health[index], {}, this->currentTime());
        constexpr int maxRetries = 2;
        if (!succeeded && retryCount < maxRetries && tryConsumeRetry(entry.budget))
            return this->send(node, start, retryCount + 1);
        this->schedule(this->now + clientDelay,
                       [this, start, succeeded] { this->finish(start, succeeded); });
    }

    void finish(Duration start, bool succeeded)
    {
        if (start < warmUpDuration)
            return;
        ++this->finishedCalls;
        if (succeeded)
            this->latencies.push_back(this->now - start);
    }

    void run()
    {
        this->schedule(0s, [this] { this->receiveCall(); });
        for (std::size_t i = 0; i < this->servers.size(); ++i)
            this->fillWithRollouts(i);
        while (this->scheduledEvents.top().at < runDuration) {
            const Event event = this->scheduledEvents.top();
            this->scheduledEvents.pop();
            this->now = event.at;
            event.action();
        }
        std::sort(this->latencies.begin(), this->latencies.end());
    }

    double quantile(double fraction) const
    {
        const auto index = static_cast<std::size_t>(
                fraction * static_cast<double>(this->latencies.size() - 1));
        return static_cast<double>(this->latencies[index].count()) / 1000;
    }

    // Returns the share that rollouts used of the slot time that calls did not need.
    double rolloutShare() const
    {
        const double totalSlotTime =
                static_cast<double>(this->servers.size() * this->servers[0].slots)
                * std::chrono::duration<double>(runDuration).count();
        const double callSlotTime = this->callRate
                                    * std::chrono::duration<double>(runDuration).count()
                                    * std::chrono::duration<double>(this->meanServiceTime).count();
        return std::chrono::duration<double>(this->rolloutTime).count()
               / (totalSlotTime - callSlotTime);
    }

    const Deployment &deployment;
    Scenario scenario;
    Policy policy;
    std::mt19937_64 random;
    Duration now{};
    Duration meanServiceTime{};
    double callRate = 0; // Per second.
    std::vector<Server> servers;
    std::vector<EntryNode> entryNodes;
    std::priority_queue<Event> scheduledEvents;
    std::uint64_t nextSequence = 0;
    std::vector<Duration> latencies;
    std::size_t finishedCalls = 0;
    Duration rolloutTime{};
};

void measure(const Deployment &deployment, const Scenario &scenario, const char *policy)
{
    const auto printRow = [&](const char *metric, double value, const char *unit,
                              const char *target) {
        fmt::print("routing,{},{} {} {},{:.2f},{},{}\n", metric, deployment.name, scenario.name,
                   policy, value, unit, target);
    };
    constexpr std::pair<const char *, Policy> policies[] = {{"report", Policy::Report},
                                                            {"own-count", Policy::OwnCount},
                                                            {"two-choices", Policy::TwoChoices},
                                                            {"subset", Policy::Subset},
                                                            {"owner", Policy::Owner}};
    const auto policyEntry =
            std::find_if(std::begin(policies), std::end(policies), [&](const auto &entry) {
                return std::string_view(entry.first) == policy;
            });
    Simulation simulation(deployment, scenario, policyEntry->second);
    simulation.run();
    printRow("p50", simulation.quantile(0.5), "ms", "");
    printRow("p99", simulation.quantile(0.99), "ms", "");
    printRow("p99.9", simulation.quantile(0.999), "ms", "");
    const auto failed = static_cast<double>(simulation.finishedCalls - simulation.latencies.size());
    printRow("failed", 100 * failed / static_cast<double>(simulation.finishedCalls), "%", "");
    if (!scenario.hasRollouts)
        return;
    Scenario withoutRollouts = scenario;
    withoutRollouts.hasRollouts = false;
    Simulation baseline(deployment, withoutRollouts, policyEntry->second);
    baseline.run();
    printRow("p99 against no rollouts", simulation.quantile(0.99) / baseline.quantile(0.99), "x",
             "1.1");
    printRow("rollouts of what is left", 100 * simulation.rolloutShare(), "%", "90");
}

} // namespace

int main()
{
    constexpr Deployment deployments[] = {{"rollos", 9, 3, 1500us, 10, 3},
                                          {"caroni", 10, 4, 500us, 8, 4}};
    const Scenario scenarios[] = {{"steady"},
                                  {"slow target", Fault::Slows},
                                  {"failing target kept", Fault::FailsAtOnce, false},
                                  {"failing target ejected", Fault::FailsAtOnce},
                                  {"burst", Fault::Burst},
                                  {"model steady", Fault::None, true, true},
                                  {"rollouts reserve 0", Fault::None, true, true, true, 0},
                                  {"rollouts reserve 1", Fault::None, true, true, true, 1},
                                  {"rollouts reserve 2", Fault::None, true, true, true, 2},
                                  {"rollouts reserve 4", Fault::None, true, true, true, 4}};
    for (const Deployment &deployment : deployments) {
        for (const Scenario &scenario : scenarios) {
            for (const char *policy : {"report", "own-count", "two-choices", "subset", "owner"})
                measure(deployment, scenario, policy);
        }
    }
    return 0;
}
