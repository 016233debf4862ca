// Weighs ways of choosing a target with the decision code, on virtual time and scripted load.
#include <geraniumpulley/core/calls/retry_budget.hpp>
#include <geraniumpulley/core/calls/routing.hpp>

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

constexpr Duration runTime = 30s;
constexpr Duration warmUp = 2s;
constexpr Duration faultAt = 5s;
constexpr Duration clientDistance = 3ms;
constexpr Duration fastFailure = 1ms;
constexpr std::uint32_t limit = 64;
constexpr double slowFactor = 5;

struct Deployment
{
    const char *name;
    std::size_t nodes;
    std::size_t dataCentres;
    Duration distance;
    std::size_t workers; // With a model engine each.
    std::size_t plain;
};

enum class Fault { None, Slows, FailsAtOnce, Burst };
enum class Policy { Report, OwnCount, TwoChoices, Subset, Owner };

struct Scenario
{
    const char *name;
    Fault fault = Fault::None;
    bool eject = true;
    bool model = false; // Calls go to the workers, else to the plain targets.
    bool rollouts = false;
    std::uint32_t reserve = 0; // Slots of a worker that rollouts leave free.
};

struct Server
{
    Target target;
    std::size_t slots = 0;
    std::size_t calls = 0;
    std::size_t rollouts = 0;
    std::deque<std::function<void()>> queue;
    std::deque<std::pair<Duration, std::uint32_t>> history; // For reports that are late.
};

struct Entry
{
    std::vector<std::uint32_t> own;
    std::vector<TargetHealth> health;
    RandomSource random;
    RetryBudget budget;
};

struct Event
{
    Duration at;
    std::uint64_t order;
    std::function<void()> happen;
    bool operator<(const Event &other) const
    {
        return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
};

struct Simulation
{
    Simulation(const Deployment &deployment, const Scenario &scenario, Policy policy)
        : deployment(deployment), scenario(scenario), policy(policy), random(7)
    {
        const std::size_t count = scenario.model ? deployment.workers : deployment.plain;
        this->servers.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            this->servers[i].target.id.value = std::to_string(i);
            this->servers[i].slots = scenario.model ? 16 : 8;
        }
        for (std::size_t i = 0; i < deployment.nodes; ++i) {
            this->entries.push_back({std::vector<std::uint32_t>(count),
                                     std::vector<TargetHealth>(count),
                                     {i + 1},
                                     {}});
        }
        this->service = scenario.model ? 300ms : 20ms;
        constexpr double utilisation = 0.5;
        this->rate = utilisation * static_cast<double>(count * this->servers[0].slots)
                     / std::chrono::duration<double>(this->service).count();
    }

    double uniform() { return std::uniform_real_distribution<>(0, 1)(this->random); }
    Duration exponential(double mean)
    {
        return Duration(
                static_cast<std::int64_t>(std::exponential_distribution<>(1 / mean)(this->random)));
    }
    Time time() const { return Time{1h} + this->now; }

    void at(Duration when, std::function<void()> happen)
    {
        this->events.push({when, this->order++, std::move(happen)});
    }

    // Half of a call's time is fixed, half varies.
    Duration serviceTime(std::size_t server)
    {
        const bool slow =
                this->scenario.fault == Fault::Slows && server == 0 && this->now >= faultAt;
        const auto mean = static_cast<double>(this->service.count()) * (slow ? slowFactor : 1);
        return Duration(static_cast<std::int64_t>(mean / 2)) + this->exponential(mean / 2);
    }

    Duration between(std::size_t node, std::size_t server) const
    {
        const bool isNear =
                node % this->deployment.dataCentres == server % this->deployment.dataCentres;
        return isNear ? Duration(100) : this->deployment.distance;
    }

    void arrive()
    {
        const bool burst = this->scenario.fault == Fault::Burst && this->now >= faultAt
                           && this->now < faultAt + 1s;
        this->at(this->now + this->exponential(1e6 / (this->rate * (burst ? 3 : 1))),
                 [this] { this->arrive(); });
        const std::size_t node = this->random() % this->entries.size();
        noteCall(this->entries[node].budget);
        this->at(this->now + clientDistance,
                 [this, node, start = this->now] { this->send(node, start, 0); });
    }

    std::uint32_t reported(Server &server, Duration age) const
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
        Entry &entry = this->entries[node];
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            // Reports are 1 to 5 s old, differently for each node and target.
            const Duration age = 1s + 1s * static_cast<int>((node + i) % 5);
            const bool needsReport =
                    this->policy == Policy::Report || this->policy == Policy::TwoChoices;
            const std::uint32_t report = needsReport ? this->reported(this->servers[i], age) : 0;
            const bool usable = !this->scenario.eject || isUsable(entry.health[i], this->time());
            candidates.push_back({&this->servers[i].target, entry.own[i], report, usable});
        }
        switch (this->policy) {
        case Policy::Report:
            return chooseByReport(candidates, limit, entry.random);
        case Policy::TwoChoices:
            return chooseOfTwo(candidates, limit, entry.random);
        case Policy::Subset:
            return chooseByOwnCount(subsetOf(candidates, node, (candidates.size() + 1) / 2), limit,
                                    entry.random);
        case Policy::OwnCount:
        case Policy::Owner:
            return chooseByOwnCount(candidates, limit, entry.random);
        }
        return nullptr;
    }

    void send(std::size_t node, Duration start, int tries)
    {
        const Target *target = this->choose(node);
        if (target == nullptr)
            return this->finish(start, false);
        const std::size_t index = std::stoul(target->id.value);
        Entry &entry = this->entries[node];
        ++entry.own[index];
        noteSent(entry.health[index], this->time());
        // The owner of a target is a node near it; others reach it through one more hop.
        const bool viaOwner = this->policy == Policy::Owner && node % this->servers.size() != index;
        const Duration hop = this->between(node, index) + (viaOwner ? Duration(200) : Duration(0));
        const auto done = [this, node, index, hop, start, tries](bool ok) {
            this->at(this->now + hop, [this, node, index, start, tries, ok] {
                this->settle(node, index, start, tries, ok);
            });
        };
        this->at(this->now + hop, [this, index, done] { this->receive(index, done); });
    }

    void receive(std::size_t index, const std::function<void(bool)> &done)
    {
        const bool fails =
                this->scenario.fault == Fault::FailsAtOnce && index == 0 && this->now >= faultAt;
        if (fails)
            return this->at(this->now + fastFailure, [done] { done(false); });
        Server &server = this->servers[index];
        const auto start = [this, index, done] {
            ++this->servers[index].calls;
            this->record(index);
            this->at(this->now + this->serviceTime(index), [this, index, done] {
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

    void record(std::size_t index)
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
            this->record(index);
        }
        this->fillWithRollouts(index);
    }

    // Calls are served first; rollouts take what is free but for the reserve.
    void fillWithRollouts(std::size_t index)
    {
        Server &server = this->servers[index];
        const std::size_t most = server.slots - this->scenario.reserve;
        while (this->scenario.rollouts && server.queue.empty()
               && server.calls + server.rollouts < most) {
            ++server.rollouts;
            const Duration took = this->exponential(1e6) + 500ms;
            this->at(this->now + took, [this, index, took] {
                --this->servers[index].rollouts;
                this->rolloutTime += took;
                this->serveNext(index);
            });
        }
    }

    void settle(std::size_t node, std::size_t index, Duration start, int tries, bool ok)
    {
        Entry &entry = this->entries[node];
        --entry.own[index];
        if (ok)
            noteSuccess(entry.health[index]);
        else
            noteFailure(entry.health[index], {}, this->time());
        constexpr int maxRetries = 2;
        if (!ok && tries < maxRetries && takeRetry(entry.budget))
            return this->send(node, start, tries + 1);
        this->at(this->now + clientDistance, [this, start, ok] { this->finish(start, ok); });
    }

    void finish(Duration start, bool ok)
    {
        if (start < warmUp)
            return;
        ++this->asked;
        if (ok)
            this->times.push_back(this->now - start);
    }

    void run()
    {
        this->at(0s, [this] { this->arrive(); });
        for (std::size_t i = 0; i < this->servers.size(); ++i)
            this->fillWithRollouts(i);
        while (this->events.top().at < runTime) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.happen();
        }
        std::sort(this->times.begin(), this->times.end());
    }

    double quantile(double share) const
    {
        const auto index =
                static_cast<std::size_t>(share * static_cast<double>(this->times.size() - 1));
        return static_cast<double>(this->times[index].count()) / 1000;
    }

    // Of the slot time that calls left over.
    double rolloutShare() const
    {
        const double all = static_cast<double>(this->servers.size() * this->servers[0].slots)
                           * std::chrono::duration<double>(runTime).count();
        const double calls = this->rate * std::chrono::duration<double>(runTime).count()
                             * std::chrono::duration<double>(this->service).count();
        return std::chrono::duration<double>(this->rolloutTime).count() / (all - calls);
    }

    const Deployment &deployment;
    Scenario scenario;
    Policy policy;
    std::mt19937_64 random;
    Duration now{};
    Duration service{};
    double rate = 0;
    std::vector<Server> servers;
    std::vector<Entry> entries;
    std::priority_queue<Event> events;
    std::uint64_t order = 0;
    std::vector<Duration> times;
    std::size_t asked = 0;
    Duration rolloutTime{};
};

void print(const Deployment &deployment, const Scenario &scenario, const char *policy)
{
    const auto row = [&](const char *metric, double value, const char *unit, const char *aim) {
        fmt::print("routing,{},{} {} {},{:.2f},{},{}\n", metric, deployment.name, scenario.name,
                   policy, value, unit, aim);
    };
    constexpr std::pair<const char *, Policy> policies[] = {{"report", Policy::Report},
                                                            {"own-count", Policy::OwnCount},
                                                            {"two-choices", Policy::TwoChoices},
                                                            {"subset", Policy::Subset},
                                                            {"owner", Policy::Owner}};
    const auto chosen =
            std::find_if(std::begin(policies), std::end(policies), [&](const auto &entry) {
                return std::string_view(entry.first) == policy;
            });
    Simulation simulation(deployment, scenario, chosen->second);
    simulation.run();
    row("p50", simulation.quantile(0.5), "ms", "");
    row("p99", simulation.quantile(0.99), "ms", "");
    row("p99.9", simulation.quantile(0.999), "ms", "");
    const auto failed = static_cast<double>(simulation.asked - simulation.times.size());
    row("failed", 100 * failed / static_cast<double>(simulation.asked), "%", "");
    if (!scenario.rollouts)
        return;
    Scenario quiet = scenario;
    quiet.rollouts = false;
    Simulation without(deployment, quiet, chosen->second);
    without.run();
    row("p99 against no rollouts", simulation.quantile(0.99) / without.quantile(0.99), "x", "1.1");
    row("rollouts of what is left", 100 * simulation.rolloutShare(), "%", "90");
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
                print(deployment, scenario, policy);
        }
    }
    return 0;
}
