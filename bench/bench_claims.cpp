// Measures the store writes for each call that may run at most once, and the delay that group
// commit adds, with the decisions of the holder of one shard on a virtual clock.
#include <geraniumpulley/core/calls/dispatch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

constexpr Duration storeLatency = 5ms;
constexpr Duration targetLatency = 20ms;
constexpr Duration tickPeriod = 10ms;
constexpr WallTime wallStart{1'700'000'000s};
constexpr Time start{1h};

// The holder of one claim shard with a simulated store and target. Calls arrive as a Poisson
// process.
struct Holder
{
    explicit Holder(double rate) : rate(rate), state(makeDispatchState({"a"}, "a-1"))
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->services.push_back(
                Service{{"orders"}, ServiceKind::Plain, {}, {}, 10'000, 5s});
        this->handle(DispatchConfigurationChanged{configuration});
        auto view = std::make_shared<View>();
        view->nodes = {{{"a"}, "", "", 1}};
        view->targets = {{{"t"}, {"orders"}, "", "", false}};
        this->handle(DispatchViewChanged{view});
        auto leases = std::make_shared<LeaseTable>();
        leases->self = {"a"};
        for (std::uint32_t index = 0; index < shardCount; ++index)
            leases->leases[{ShardKind::Claims, index}] = {{"a"}, FencingToken{1}, start + 240h};
        this->handle(DispatchTick{wallStart});
        this->handle(DispatchLeasesChanged{leases});
    }

    void handle(const DispatchEvent &event)
    {
        for (DispatchAction &action : step(this->state, event, this->now))
            std::visit([this](auto &content) { this->perform(content); }, action);
    }

    void perform(const CommitClaims &commit)
    {
        ++this->commitCount;
        this->storedRows += commit.row.claims.empty() && commit.row.answers.empty() ? 0 : 1;
        this->storedRows -= static_cast<std::int64_t>(commit.expiredRows.size());
        this->pendingEvents.emplace(this->now + storeLatency, ClaimsCommitted{commit.operation});
    }
    void perform(const LoadClaims &load)
    {
        this->pendingEvents.emplace(this->now, ClaimsLoaded{load.operation, load.shard, {}});
    }
    void perform(const SendToTarget &send)
    {
        this->delays.push_back(this->now - this->receivedAt.at(send.call.idempotencyKey)
                               - storeLatency);
        this->pendingEvents.emplace(this->now + targetLatency,
                                    TargetAnswered{send.operation, 200, "", "ok"});
    }
    template<typename Other>
    void perform(const Other &)
    {
    }

    // Receives a call whose key belongs to shard 0.
    void receiveCall()
    {
        Call call{{"orders"}, "depot", "POST", "/book", {}, "{}", {}};
        const auto seconds = (wallStart + (this->now - start)).time_since_epoch() / 1s;
        do
            call.idempotencyKey = fmt::format("{}-key{:09}", seconds, this->nextKey++);
        while (claimShardOf(*claimKeyOf(call)).index != 0);
        this->receivedAt.emplace(call.idempotencyKey, this->now);
        ++this->callCount;
        this->handle(CallReceived{ReplyToken{this->callCount}, call, this->now + 5s, false});
    }

    void run(Duration length)
    {
        std::mt19937_64 random(1);
        std::exponential_distribution<> interarrivalTime(this->rate / 1e6);
        Time nextCall = start;
        Time nextTick = start;
        const Time end = start + length;
        while (this->now < end) {
            const Time nextEvent =
                    this->pendingEvents.empty() ? end : this->pendingEvents.begin()->first;
            this->now = std::min({nextCall, nextTick, nextEvent});
            if (this->now == nextEvent && !this->pendingEvents.empty()) {
                const DispatchEvent event = this->pendingEvents.begin()->second;
                this->pendingEvents.erase(this->pendingEvents.begin());
                this->handle(event);
            } else if (this->now == nextTick) {
                nextTick += tickPeriod;
                this->handle(DispatchTick{wallStart + (this->now - start)});
            } else {
                nextCall += Duration(static_cast<std::int64_t>(interarrivalTime(random)) + 1);
                this->receiveCall();
            }
        }
        std::sort(this->delays.begin(), this->delays.end());
    }

    double delayQuantile(double fraction) const
    {
        const auto last = static_cast<double>(this->delays.size() - 1);
        const Duration value = this->delays[static_cast<std::size_t>(fraction * last)];
        return static_cast<double>(value.count()) / 1000;
    }

    double rate;
    DispatchState state;
    Time now = start;
    std::multimap<Time, DispatchEvent> pendingEvents;
    std::map<std::string, Time> receivedAt;
    std::vector<Duration> delays; // Delays added by group commit, without the store latency.
    std::uint64_t nextKey = 0;
    std::uint64_t callCount = 0;
    std::uint64_t commitCount = 0;
    std::int64_t storedRows = 0;
};

} // namespace

int main()
{
    for (const double rate : {1.0, 10.0, 53.0, 200.0}) {
        Holder holder(rate);
        const auto startedAt = std::chrono::steady_clock::now();
        holder.run(60s);
        const std::chrono::duration<double, std::micro> elapsed =
                std::chrono::steady_clock::now() - startedAt;
        const auto calls = static_cast<double>(holder.callCount);
        const auto printRow = [&](const char *metric, double value, const char *unit) {
            fmt::print("claims,{},{} calls/s in a shard,{:.2f},{},\n", metric, rate, value, unit);
        };
        printRow("store writes a call", static_cast<double>(holder.commitCount) / calls, "writes");
        printRow("store writes a second", static_cast<double>(holder.commitCount) / 60, "writes");
        printRow("delay of grouping p50", holder.delayQuantile(0.5), "ms");
        printRow("delay of grouping p99", holder.delayQuantile(0.99), "ms");
        printRow("processor time a call with ticks", elapsed.count() / calls, "us");
    }
    // Shows that stored and cached claims stay bounded over an hour at the design rate of a shard.
    Holder holder(53);
    holder.run(1h);
    std::size_t cachedClaims = 0;
    for (const auto &[id, shard] : holder.state.claims.shards)
        cachedClaims += shard.claims.size();
    fmt::print("claims,claims in memory,53 calls/s after an hour,{},claims,\n", cachedClaims);
    fmt::print("claims,rows in the store,53 calls/s after an hour,{},rows,\n", holder.storedRows);
    return 0;
}
