#include <geraniumpulley/core/leader/leader.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
const WallTime wallStart{1'000'000s}; // The start of a window.

// The rows of usage in the store, and what the provider has accepted.
struct Platform
{
    std::map<UsageWindow, UsageCounts> counts;
    std::map<UsageWindow, UsageCounts> reports;
    std::map<UsageWindow, std::set<UsageCounts>> accepted;
    std::vector<OrderTargets> orders;
    bool isStoreAway = false;
    ProviderReply reply = ProviderReply::Accepted;
    bool isDecisionAnswerLost = false;
};

// A node whose actions are performed at once.
struct LeaderNode
{
    Platform &platform;
    LeaderState state = makeLeaderState({});
    Time now = start;
    std::vector<LeaderAction> performed = {};

    WallTime wallNow() const { return wallStart + (this->now - start); }

    void send(const LeaderEvent &first)
    {
        std::deque<LeaderEvent> events{first};
        while (!events.empty()) {
            const LeaderEvent event = std::move(events.front());
            events.pop_front();
            for (const LeaderAction &action :
                 step(this->state, event, this->now, this->wallNow())) {
                this->performed.push_back(action);
                std::visit([&](const auto &content) { this->perform(content, events); }, action);
            }
        }
    }

    void perform(const StoreUsageCounts &write, std::deque<LeaderEvent> &events)
    {
        if (!this->platform.isStoreAway)
            this->platform.counts[write.window] = write.counts;
        events.emplace_back(UsageCountsStored{write.window, !this->platform.isStoreAway});
    }
    void perform(const FindUsageReport &find, std::deque<LeaderEvent> &events)
    {
        UsageReportFound found{find.window, !this->platform.isStoreAway, std::nullopt};
        if (found.succeeded && this->platform.reports.contains(find.window))
            found.counts = this->platform.reports.at(find.window);
        events.emplace_back(found);
    }
    void perform(const ReadUsageCounts &read, std::deque<LeaderEvent> &events)
    {
        events.emplace_back(UsageCountsRead{read.window, !this->platform.isStoreAway,
                                            this->platform.counts[read.window]});
    }
    void perform(const DecideUsageReport &decide, std::deque<LeaderEvent> &events)
    {
        UsageReportDecided decided{decide.window, StoreOutcome::NotCommitted};
        if (!this->platform.isStoreAway) {
            const bool isNew = this->platform.reports.emplace(decide.window, decide.counts).second;
            decided.outcome = isNew ? StoreOutcome::Committed : StoreOutcome::Conflict;
            if (this->platform.isDecisionAnswerLost)
                decided.outcome = StoreOutcome::Unknown;
        }
        events.emplace_back(decided);
    }
    void perform(const SendUsageReport &report, std::deque<LeaderEvent> &events)
    {
        if (this->platform.reply == ProviderReply::Accepted)
            this->platform.accepted[report.window].insert(report.counts);
        events.emplace_back(
                UsageReportSent{report.window, report.proof.fence, this->platform.reply});
    }
    void perform(const OrderTargets &order, std::deque<LeaderEvent> &events)
    {
        this->platform.orders.push_back(order);
        events.emplace_back(TargetsOrdered{order.group, this->platform.reply});
    }
    void perform(const RemoveUsageRows &, std::deque<LeaderEvent> &) { }
    void perform(const UsageReportMissed &, std::deque<LeaderEvent> &) { }
    void perform(const LeaderTurnChanged &, std::deque<LeaderEvent> &) { }

    void lead(std::uint64_t fence, Duration proof = 1h)
    {
        auto routing = std::make_shared<RoutingTable>();
        routing->accounts = ClientAccounts::create({}).value();
        Directory directory;
        directory.routing = routing;
        directory.targets = std::make_shared<TargetMap>();
        directory.leadership = {
                {"self"}, fence > 0, FencingToken{fence}, this->now, this->now + proof};
        this->send(LeaderDirectoryChanged{std::make_shared<Directory>(directory)});
    }

    // Delivers the ticks that become due. Fails if a tick leaves another one due at once.
    void advance(Duration span)
    {
        const Time end = this->now + span;
        for (int ticks = 0; ticks < 10'000; ++ticks) {
            const auto due = dueAt(this->state, this->now, this->wallNow());
            if (!due || *due > end)
                break;
            this->now = std::max(this->now, *due);
            this->send(LeaderTick{});
        }
        this->now = end;
        this->send(LeaderTick{});
    }

    void count(const std::string &account)
    {
        this->send(UsageRecorded{{account}, this->wallNow()});
    }

    template<typename Action>
    std::size_t performedCount() const
    {
        return static_cast<std::size_t>(std::count_if(
                this->performed.begin(), this->performed.end(),
                [](const auto &action) { return std::holds_alternative<Action>(action); }));
    }
};

const UsageWindow firstWindow = windowAt(wallStart, 5s);

} // namespace

TEST_CASE("the leader reports the counts of a window once, within the time for it")
{
    Platform platform;
    LeaderNode node{platform};
    node.lead(1);
    node.count("a");
    node.count("b");
    node.advance(8s);
    CHECK_FALSE(platform.accepted.contains(firstWindow));
    node.advance(1s);
    REQUIRE(platform.accepted.contains(firstWindow));
    CHECK(platform.accepted.at(firstWindow) == std::set<UsageCounts>{{{{"a"}, 1}, {{"b"}, 1}}});
    const std::size_t sent = node.performedCount<SendUsageReport>();
    node.advance(4s);
    CHECK(node.performedCount<SendUsageReport>() == sent);
}

TEST_CASE("a node that does not hold the lease counts, but calls nobody")
{
    Platform platform;
    LeaderNode node{platform};
    node.lead(0);
    node.count("a");
    node.advance(20s);
    CHECK(platform.counts.at(firstWindow) == UsageCounts{{{"a"}, 1}});
    CHECK(platform.accepted.empty());
    CHECK(platform.reports.empty());
}

// Guards against two reports with different counts: a successor must not sum the counts again.
TEST_CASE("a successor sends the report that the store has decided")
{
    Platform platform;
    platform.reply = ProviderReply::Unanswered;
    LeaderNode first{platform};
    first.lead(1);
    first.count("a");
    first.advance(8600ms);
    REQUIRE(platform.reports.contains(firstWindow));
    // A count that arrives late.
    platform.counts[firstWindow][{"late"}] = 7;
    platform.reply = ProviderReply::Accepted;
    LeaderNode second{platform};
    second.now = first.now;
    second.lead(2);
    second.advance(2s);
    first.advance(2s);
    CHECK(platform.accepted.at(firstWindow) == std::set<UsageCounts>{{{{"a"}, 1}}});
}

TEST_CASE("a decision without an answer is read before the report is sent")
{
    Platform platform;
    platform.isDecisionAnswerLost = true;
    LeaderNode node{platform};
    node.lead(1);
    node.count("a");
    node.advance(10s);
    CHECK(platform.accepted.at(firstWindow) == std::set<UsageCounts>{{{{"a"}, 1}}});
}

// Guards against counts that are lost in an outage, and calls without pauses during one.
TEST_CASE("an outage of the store delays counts and reports, with pauses between the calls")
{
    Platform platform;
    LeaderNode node{platform};
    node.lead(1);
    node.count("a");
    platform.isStoreAway = true;
    node.advance(11s);
    CHECK_FALSE(platform.accepted.contains(firstWindow));
    CHECK(node.performed.size() < 80);
    platform.isStoreAway = false;
    node.advance(2s);
    CHECK(platform.accepted.at(firstWindow) == std::set<UsageCounts>{{{{"a"}, 1}}});
}

TEST_CASE("a report is given up when its time has passed, and the provider is called with pauses")
{
    Platform platform;
    platform.reply = ProviderReply::Throttled;
    LeaderNode node{platform};
    node.lead(1);
    node.advance(14990ms);
    const auto isFirst = [](const LeaderAction &action) {
        const auto *report = std::get_if<SendUsageReport>(&action);
        return report != nullptr && report->window == firstWindow;
    };
    // 6.5 s are left for sending, and pauses grow up to 1 s.
    const auto calls = std::count_if(node.performed.begin(), node.performed.end(), isFirst);
    CHECK(calls > 4);
    CHECK(calls <= 10);
    const std::size_t missed = node.performedCount<UsageReportMissed>();
    node.advance(20ms);
    CHECK(node.performedCount<UsageReportMissed>() == missed + 1);
}

// Guards against a holder that goes on after the provider has seen its successor.
TEST_CASE("a refused fencing token ends the turn until the lease is held anew")
{
    Platform platform;
    platform.reply = ProviderReply::Conflict;
    LeaderNode node{platform};
    node.lead(5);
    node.advance(9s);
    CHECK(node.performedCount<SendUsageReport>() == 1);
    platform.reply = ProviderReply::Accepted;
    node.advance(10s);
    CHECK(node.performedCount<SendUsageReport>() == 1);
    node.lead(6);
    node.advance(5s);
    CHECK(node.performedCount<SendUsageReport>() > 1);
}

TEST_CASE("without a recent proof of the lease the leader pauses")
{
    Platform platform;
    LeaderNode node{platform};
    node.lead(1, 7s);
    node.advance(20s);
    const std::size_t accepted = platform.accepted.size();
    CHECK_FALSE(platform.accepted.contains(firstWindow));
    node.lead(1);
    node.advance(1s);
    CHECK(platform.accepted.size() > accepted);
}

// Guards against calls under the proof from before a suspension, in which another node has taken
// over.
TEST_CASE("a suspension of the machine voids the proof that the directory still carries")
{
    Platform platform;
    platform.reply = ProviderReply::Unanswered;
    LeaderNode node{platform};
    node.lead(1);
    node.advance(9s);
    const std::size_t sent = node.performedCount<SendUsageReport>();
    REQUIRE(sent > 0);
    node.send(LeaderSuspended{});
    node.advance(3s);
    CHECK(node.performedCount<SendUsageReport>() == sent);
    node.lead(1);
    node.advance(3s);
    CHECK(node.performedCount<SendUsageReport>() > sent);
}

TEST_CASE("a node that shuts down writes its counts at once")
{
    Platform platform;
    LeaderNode node{platform};
    node.count("a");
    CHECK(platform.counts.empty());
    node.send(LeaderDraining{});
    CHECK(platform.counts.at(firstWindow) == UsageCounts{{{"a"}, 1}});
    node.count("a");
    CHECK(platform.counts.at(firstWindow) == UsageCounts{{{"a"}, 2}});
}
