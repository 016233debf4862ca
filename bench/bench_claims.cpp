// Store writes for each call that may not be repeated and the delay that grouping adds, with the
// decision code of one shard's holder on virtual time.
#include <geraniumpulley/core/calls/dispatch.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

constexpr Duration storeTime = 5ms;
constexpr Duration targetTime = 20ms;
constexpr Duration tickTime = 10ms;
constexpr WallTime wallStart{1'700'000'000s};
constexpr Time start{1h};

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
            leases->leases[{ShardKind::Claims, index}] = {{"a"}, FencingNumber{1}, start + 240h};
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
        ++this->commits;
        this->rows += commit.row.claims.empty() && commit.row.answers.empty() ? 0 : 1;
        this->rows -= static_cast<std::int64_t>(commit.expiredRows.size());
        this->later.emplace(this->now + storeTime, ClaimsCommitted{commit.operation});
    }
    void perform(const LoadClaims &load)
    {
        this->later.emplace(this->now, ClaimsLoaded{load.operation, load.shard, {}});
    }
    void perform(const SendToTarget &send)
    {
        this->delays.push_back(this->now - this->received.at(send.call.idempotencyKey) - storeTime);
        this->later.emplace(this->now + targetTime, TargetAnswered{send.operation, 200, "", "ok"});
    }
    template<typename Other>
    void perform(const Other &)
    {
    }

    // Keys of one shard only.
    void call()
    {
        Call call{{"orders"}, "depot", "POST", "/book", {}, "{}", {}};
        const auto seconds = (wallStart + (this->now - start)).time_since_epoch() / 1s;
        do
            call.idempotencyKey = fmt::format("{}-key{:09}", seconds, this->nextKey++);
        while (claimShardOf(*claimKeyOf(call)).index != 0);
        this->received.emplace(call.idempotencyKey, this->now);
        ++this->calls;
        this->handle(CallReceived{ReplyToken{this->calls}, call, this->now + 5s, false});
    }

    void run(Duration length)
    {
        std::mt19937_64 random(1);
        std::exponential_distribution<> gap(this->rate / 1e6);
        Time nextCall = start;
        Time nextTick = start;
        const Time end = start + length;
        while (this->now < end) {
            const Time nextEvent = this->later.empty() ? end : this->later.begin()->first;
            this->now = std::min({nextCall, nextTick, nextEvent});
            if (this->now == nextEvent && !this->later.empty()) {
                const DispatchEvent event = this->later.begin()->second;
                this->later.erase(this->later.begin());
                this->handle(event);
            } else if (this->now == nextTick) {
                nextTick += tickTime;
                this->handle(DispatchTick{wallStart + (this->now - start)});
            } else {
                nextCall += Duration(static_cast<std::int64_t>(gap(random)) + 1);
                this->call();
            }
        }
        std::sort(this->delays.begin(), this->delays.end());
    }

    double delay(double share) const
    {
        const auto last = static_cast<double>(this->delays.size() - 1);
        const Duration value = this->delays[static_cast<std::size_t>(share * last)];
        return static_cast<double>(value.count()) / 1000;
    }

    double rate;
    DispatchState state;
    Time now = start;
    std::multimap<Time, DispatchEvent> later;
    std::map<std::string, Time> received;
    std::vector<Duration> delays;
    std::uint64_t nextKey = 0;
    std::uint64_t calls = 0;
    std::uint64_t commits = 0;
    std::int64_t rows = 0;
};

} // namespace

int main()
{
    for (const double rate : {1.0, 10.0, 53.0, 200.0}) {
        Holder holder(rate);
        const auto before = std::chrono::steady_clock::now();
        holder.run(60s);
        const std::chrono::duration<double, std::micro> spent =
                std::chrono::steady_clock::now() - before;
        const auto calls = static_cast<double>(holder.calls);
        const auto row = [&](const char *metric, double value, const char *unit) {
            fmt::print("claims,{},{} calls/s in a shard,{:.2f},{},\n", metric, rate, value, unit);
        };
        row("store writes a call", static_cast<double>(holder.commits) / calls, "writes");
        row("store writes a second", static_cast<double>(holder.commits) / 60, "writes");
        row("delay of grouping p50", holder.delay(0.5), "ms");
        row("delay of grouping p99", holder.delay(0.99), "ms");
        row("processor time a call with ticks", spent.count() / calls, "us");
    }
    // Over an hour at the letter's rate for a shard the stored and kept claims stay bounded.
    Holder holder(53);
    holder.run(1h);
    std::size_t kept = 0;
    for (const auto &[id, shard] : holder.state.claims.shards)
        kept += shard.claims.size();
    fmt::print("claims,claims in memory,53 calls/s after an hour,{},claims,\n", kept);
    fmt::print("claims,rows in the store,53 calls/s after an hour,{},rows,\n", holder.rows);
    return 0;
}
