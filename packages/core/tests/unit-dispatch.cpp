#include <geraniumpulley/core/dispatch.hpp>

#include <doctest/doctest.h>

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

CallReceived makeCall(const char *service)
{
    return {ReplyToken{7}, Call{{service}, {}, "GET", "/status", {}, {}, {}}, start + 1s, false};
}

} // namespace

TEST_CASE("a call is sent to a target and its whole answer comes back")
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

TEST_CASE("a lost answer is unknown and is not tried again")
{
    DispatchState state = makeReadyState();
    const auto sent = step(state, makeCall("orders"), start);
    const auto &send = std::get<SendToTarget>(sent.at(0));
    const auto actions = step(state, AttemptFailed{send.operation, AttemptFailure::Lost}, start);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<AnswerCall>(actions[0]).answer.outcome == Outcome::Unknown);
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
