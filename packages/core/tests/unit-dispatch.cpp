#include <geraniumpulley/core/calls/dispatch.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{1h};
const Node nodeA{{"a"}, "127.0.0.1:1", "bilbao", 1};

DispatchState makeReadyState()
{
    DispatchState state = makeDispatchState(nodeA.id, "a-1");
    auto configuration = std::make_shared<Configuration>();
    const std::vector<CallRule> rules{{"GET", "/", true}};
    configuration->services.push_back(Service{{"orders"}, ServiceKind::Plain, {}, rules, 2, 5s});
    step(state, DispatchConfigurationChanged{configuration}, start);
    auto view = std::make_shared<View>();
    view->nodes = {nodeA};
    view->targets = {Target{{"t1"}, {"orders"}, "127.0.0.1:9", "bilbao", false}};
    step(state, DispatchViewChanged{view}, start);
    return state;
}

CallReceived makeCallUntil(const char *service, Time deadline)
{
    return {ReplyToken{7}, Call{{service}, {}, "GET", "/status", {}, {}, {}}, deadline, false};
}

CallReceived makeCall(const char *service)
{
    return makeCallUntil(service, start + 1s);
}

} // namespace

TEST_CASE("a call is sent to a target and its answer is returned")
{
    DispatchState state = makeReadyState();
    const auto sent = step(state, makeCall("orders"), start);
    REQUIRE(sent.size() == 1);
    const auto &send = std::get<SendToTarget>(sent[0]);
    const auto answered = step(state, TargetAnswered{send.operation, 200, "", "booked"}, start);
    const auto &answer = std::get<AnswerCall>(answered.at(0));
    CHECK(answer.reply == ReplyToken{7});
    CHECK(answer.answer.outcome == Outcome::Ran);
    CHECK(answer.answer.body == "booked");
    CHECK(state.inFlight.empty());
}

TEST_CASE("a lost answer of a call that must not be repeated is unknown and is not retried")
{
    DispatchState state = makeReadyState();
    step(state, DispatchTick{WallTime(1'700'000'000s)}, start);
    CallReceived book = makeCall("orders");
    book.call.method = "POST";
    book.call.idempotencyKey = "1700000000-a1b2c3d4";
    const Shard shard = claimShardOf(*claimKeyOf(book.call));
    auto leases = std::make_shared<LeaseTable>();
    leases->self = nodeA.id;
    leases->leases[shard] = {nodeA.id, FencingToken{1}, start + 1h};
    const auto loading = step(state, DispatchLeasesChanged{leases}, start);
    const OperationId load = std::get<LoadClaims>(loading.at(0)).operation;
    CHECK(step(state, ClaimsLoaded{load, shard, {}}, start).empty());
    const auto claimed = step(state, book, start);
    REQUIRE(claimed.size() == 1);
    const OperationId commit = std::get<CommitClaims>(claimed[0]).operation;
    const auto sent = step(state, ClaimsCommitted{commit}, start);
    REQUIRE(sent.size() == 1);
    const auto &send = std::get<SendToTarget>(sent[0]);
    const auto actions =
            step(state, AttemptFailed{send.operation, AttemptFailure::AnswerLost}, start);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<AnswerCall>(actions[0]).answer.outcome == Outcome::Unknown);
    const auto retried = step(state, book, start);
    REQUIRE(retried.size() == 1);
    CHECK(std::get<AnswerCall>(retried[0]).answer.outcome == Outcome::Unknown);
}

TEST_CASE("a call past its deadline is not started")
{
    DispatchState state = makeReadyState();
    const auto actions = step(state, makeCall("orders"), start + 2s);
    const auto &answer = std::get<AnswerCall>(actions.at(0)).answer;
    CHECK(answer.outcome == Outcome::NotRun);
    CHECK(answer.reason == Reason::DeadlinePassed);
}

TEST_CASE("a leaving target receives no new call")
{
    DispatchState state = makeReadyState();
    auto view = std::make_shared<View>(*state.view);
    view->targets[0].leaving = true;
    step(state, DispatchViewChanged{view}, start);
    const auto actions = step(state, makeCall("orders"), start);
    CHECK(std::get<AnswerCall>(actions.at(0)).answer.reason == Reason::NoTarget);
}

TEST_CASE("a repeatable call whose answer is lost is retried within the retry budget")
{
    DispatchState state = makeReadyState();
    for (const std::uint32_t credit : {1000U, 0U}) {
        state.retryBudget.creditHundredths = credit;
        state.retryBudget.retryPercent = 0;
        const auto sent = step(state, makeCall("orders"), start);
        const auto &send = std::get<SendToTarget>(sent.at(0));
        const auto actions =
                step(state, AttemptFailed{send.operation, AttemptFailure::AnswerLost}, start);
        REQUIRE(actions.size() == 1);
        CHECK(std::holds_alternative<SendToTarget>(actions[0]) == (credit > 0));
        step(state,
             TargetAnswered{state.inFlight.empty() ? OperationId{} : state.inFlight.begin()->first,
                            200, "", ""},
             start);
    }
}

TEST_CASE("queued calls are sent round-robin by customer, and an expired one is not started")
{
    DispatchState state = makeReadyState();
    const auto receiveCall = [&](std::uint64_t reply, const char *customer, Duration timeLeft) {
        CallReceived event = makeCall("orders");
        event.reply = ReplyToken{reply};
        event.call.customer = customer;
        event.deadline = start + timeLeft;
        return step(state, event, start);
    };
    std::vector<OperationId> running;
    for (std::uint64_t reply = 1; reply <= 2; ++reply)
        running.push_back(std::get<SendToTarget>(receiveCall(reply, "busy", 9s).at(0)).operation);
    for (std::uint64_t reply = 3; reply <= 9; ++reply)
        CHECK(receiveCall(reply, "busy", 9s).empty());
    CHECK(receiveCall(10, "quiet", 9s).empty());
    CHECK(receiveCall(11, "quiet", 1s).empty());
    const auto expired = step(state, DispatchTick{}, start + 2s);
    REQUIRE(expired.size() == 1);
    CHECK(std::get<AnswerCall>(expired[0]).reply == ReplyToken{11});
    CHECK(std::get<AnswerCall>(expired[0]).answer.reason == Reason::DeadlinePassed);
    std::string customers;
    for (const OperationId operation : running) {
        const auto actions = step(state, TargetAnswered{operation, 200, "", ""}, start + 2s);
        customers += std::get<SendToTarget>(actions.at(1)).call.customer + " ";
    }
    CHECK(customers == "busy quiet ");
}

TEST_CASE("a target that fails immediately is ejected and probed later")
{
    DispatchState state = makeReadyState();
    auto view = std::make_shared<View>(*state.view);
    view->targets.push_back(Target{{"t2"}, {"orders"}, "127.0.0.1:8", "bilbao", false});
    step(state, DispatchViewChanged{view}, start);
    std::uint32_t failed = 0;
    const auto run = [&](Time now) {
        CallReceived event = makeCall("orders");
        event.deadline = now + 1s;
        const auto sent = step(state, event, now);
        const auto &send = std::get<SendToTarget>(sent.at(0));
        const bool fails = send.target.id.value == "t1";
        failed += fails ? 1 : 0;
        step(state, TargetAnswered{send.operation, fails ? 500U : 200U, "", ""}, now);
    };
    for (int i = 0; i < 100; ++i)
        run(start);
    CHECK(failed == 3);
    for (int i = 0; i < 100; ++i)
        run(start + 2s);
    CHECK(failed == 4);
}

TEST_CASE("a draining node refuses new calls as 'not run' and reports when it has drained")
{
    DispatchState state = makeReadyState();
    const auto sent = step(state, makeCall("orders"), start);
    CHECK(step(state, DispatchDraining{}, start).empty());
    const auto refused = step(state, makeCall("orders"), start);
    CHECK(std::get<AnswerCall>(refused.at(0)).answer.reason == Reason::Draining);
    CHECK(std::get<AnswerCall>(refused.at(0)).answer.outcome == Outcome::NotRun);
    const OperationId operation = std::get<SendToTarget>(sent.at(0)).operation;
    const auto done = step(state, TargetAnswered{operation, 200, "", ""}, start);
    REQUIRE(done.size() == 2);
    CHECK(std::holds_alternative<DispatchDrained>(done[1]));
}

TEST_CASE("a call that has crashed three targets is not sent to a fourth")
{
    DispatchState state = makeReadyState();
    auto view = std::make_shared<View>(*state.view);
    for (const char *target : {"t2", "t3", "t4", "t5"})
        view->targets.push_back({{target}, {"orders"}, "127.0.0.1:9", "bilbao", false});
    step(state, DispatchViewChanged{view}, start);
    Time now = start;
    int crashes = 0;
    std::vector<DispatchAction> actions;
    for (int round = 0; round < 6; ++round, now += 6s) {
        actions = step(state, makeCallUntil("orders", now + 1s), now);
        while (std::holds_alternative<SendToTarget>(actions.at(0))) {
            ++crashes;
            const OperationId sent = std::get<SendToTarget>(actions[0]).operation;
            actions = step(state, AttemptFailed{sent, AttemptFailure::AnswerLost, true}, now);
            const auto probe = std::find_if(actions.begin(), actions.end(), [](const auto &action) {
                return std::holds_alternative<ProbeTargets>(action);
            });
            REQUIRE(probe != actions.end());
            const OperationId check = std::get<ProbeTargets>(*probe).operation;
            actions = step(state,
                           TargetsProbed{check, {ProbeOutcome::Refused, ProbeOutcome::Accepted}},
                           now);
            REQUIRE(!actions.empty());
        }
    }
    CHECK(crashes == 3);
    const CallAnswer &answer = std::get<AnswerCall>(actions.at(0)).answer;
    CHECK(answer.reason == Reason::Quarantined);
    CHECK(answer.status == 502);
}
