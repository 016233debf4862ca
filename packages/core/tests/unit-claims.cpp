#include <geraniumpulley/core/calls/dispatch.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

constexpr Time start{1h};
constexpr WallTime wallStart{1'700'000'000s};

// One node that holds every shard.
struct Holder
{
    Holder()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->services.push_back(
                Service{{"orders"}, ServiceKind::Plain, {}, {{"GET", "/", true}}, 64, 5s});
        this->handle(DispatchConfigurationChanged{configuration});
        auto view = std::make_shared<View>();
        view->nodes = {{{"a"}, "", "", 1}};
        view->targets = {{{"t"}, {"orders"}, "", "", false}};
        this->handle(DispatchViewChanged{view});
        auto leases = std::make_shared<LeaseTable>();
        leases->self = {"a"};
        for (std::uint32_t index = 0; index < shardCount; ++index)
            leases->leases[{ShardKind::Claims, index}] = {{"a"}, FencingToken{1}, start + 24h};
        this->tick(0s);
        for (const DispatchAction &action : this->handle(DispatchLeasesChanged{leases})) {
            const auto &load = std::get<LoadClaims>(action);
            this->handle(ClaimsLoaded{load.operation, load.shard, {}});
        }
    }

    std::vector<DispatchAction> handle(const DispatchEvent &event)
    {
        return step(this->state, event, this->now);
    }

    std::vector<DispatchAction> tick(Duration after)
    {
        this->now += after;
        return this->handle(DispatchTick{wallStart + (this->now - start)});
    }

    std::vector<DispatchAction> call(const char *method, const char *key, const char *body = "{}")
    {
        const Call call{{"orders"}, "depot", method, "/book", {}, body, key};
        return this->handle(CallReceived{ReplyToken{1}, call, this->now + 5s, false});
    }

    // Runs a call to completion and returns its caller's answer.
    CallAnswer run(const char *key, const std::string &answer)
    {
        const auto claimed = this->call("POST", key);
        const auto sent =
                this->handle(ClaimsCommitted{std::get<CommitClaims>(claimed.at(0)).operation});
        const OperationId operation = std::get<SendToTarget>(sent.at(0)).operation;
        const auto answered = this->handle(TargetAnswered{operation, 201, "text/plain", answer});
        return std::get<AnswerCall>(answered.at(0)).answer;
    }

    DispatchState state = makeDispatchState({"a"}, "a-1");
    Time now = start;
};

const CallAnswer &answerIn(const std::vector<DispatchAction> &actions)
{
    REQUIRE(actions.size() == 1);
    return std::get<AnswerCall>(actions[0]).answer;
}

} // namespace

TEST_CASE("a retry gets the same answer, and another request with the same key does not run")
{
    Holder holder;
    const CallAnswer first = holder.run("1700000000-aaaaaaaa", "order 7");
    CHECK(first.body == "order 7");
    CHECK(answerIn(holder.call("POST", "1700000000-aaaaaaaa")) == first);
    const CallAnswer reusedAnswer = answerIn(holder.call("POST", "1700000000-aaaaaaaa", "{2}"));
    CHECK(reusedAnswer.outcome == Outcome::Unknown);
    CHECK(reusedAnswer.reason == Reason::KeyReused);
}

TEST_CASE("a large answer is delivered in full, and a retry is told that the call ran")
{
    Holder holder;
    const std::string large(holder.state.claims.settings.maxKeptAnswerBytes + 1, 'x');
    CHECK(holder.run("1700000000-aaaaaaaa", large).body == large);
    const CallAnswer retryAnswer = answerIn(holder.call("POST", "1700000000-aaaaaaaa"));
    CHECK(retryAnswer.outcome == Outcome::Ran);
    CHECK(retryAnswer.reason == Reason::AnswerNotKept);
}

TEST_CASE("a call with an expired key gets 'unknown', and expired records are deleted")
{
    Holder holder;
    CHECK(holder.run("1700000000-aaaaaaaa", "order 7").outcome == Outcome::Ran);
    std::size_t written = 0;
    std::size_t deleted = 0;
    for (int i = 0; i < 15 * 60; ++i) {
        for (const DispatchAction &action : holder.tick(1s)) {
            const auto &commit = std::get<CommitClaims>(action);
            written += commit.row.answers.size();
            deleted += commit.expiredRows.size();
            holder.handle(ClaimsCommitted{commit.operation});
        }
    }
    CHECK(written == 1);
    CHECK(deleted == 2);
    for (const auto &[id, shard] : holder.state.claims.shards) {
        CHECK(shard.claims.empty());
        CHECK(shard.rowExpirations.empty());
    }
    const CallAnswer expiredAnswer = answerIn(holder.call("POST", "1700000000-aaaaaaaa"));
    CHECK(expiredAnswer.outcome == Outcome::Unknown);
    CHECK(expiredAnswer.reason == Reason::KeyExpired);
}

TEST_CASE("while the store is down, repeatable calls continue and others are answered 'not run'")
{
    Holder holder;
    const auto claimed = holder.call("POST", "1700000000-aaaaaaaa");
    const OperationId commit = std::get<CommitClaims>(claimed.at(0)).operation;
    holder.handle(ClaimsCommitUncertain{commit});
    CHECK(std::holds_alternative<CommitClaims>(holder.tick(2s).at(0)));
    CHECK(std::holds_alternative<SendToTarget>(holder.call("GET", "").at(0)));
    // Another key of the same shard, whose unanswered commit shows that the store is down.
    const Shard shard = claimShardOf(
            *claimKeyOf({{"orders"}, "depot", "POST", "/book", {}, "{}", "1700000000-aaaaaaaa"}));
    std::string key;
    for (int i = 10'000'000; key.empty(); ++i) {
        const std::string candidate = "1700000000-" + std::to_string(i);
        const Call call{{"orders"}, "depot", "POST", "/book", {}, "{}", candidate};
        if (claimShardOf(*claimKeyOf(call)) == shard)
            key = candidate;
    }
    const CallAnswer refusalAnswer = answerIn(holder.call("POST", key.c_str()));
    CHECK(refusalAnswer.outcome == Outcome::NotRun);
    CHECK(refusalAnswer.reason == Reason::StoreUnavailable);
    // The first call reaches its deadline; the commit that takes effect later sends nothing.
    const CallAnswer expired = answerIn(holder.tick(4s));
    CHECK(expired.outcome == Outcome::NotRun);
    CHECK(holder.handle(ClaimsCommitted{commit}).empty());
    CHECK(std::holds_alternative<SendToTarget>(holder.call("POST", "1700000000-aaaaaaaa").at(0)));
}
