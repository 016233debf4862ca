#include "single_batch_fixture.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;
// What one transaction can hold, before the encoding in base64.
constexpr std::size_t maxTransactionText = 750'000;

void receiveText(SingleBatchFixture &fixture, const StartRun &run, std::size_t bytes)
{
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.send(RunEventReceived{run.run, 1, std::string(bytes, 'x'), std::nullopt});
}

template<typename Action>
const Action *findAction(const SingleBatchFixture &fixture)
{
    for (const BatchAction &action : fixture.actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

std::size_t textBytes(const std::vector<PartialText> &partials)
{
    std::size_t bytes = 0;
    for (const PartialText &partial : partials)
        bytes += partial.text.size();
    return bytes;
}

void answerCommit(SingleBatchFixture &fixture, CommitVerdict verdict)
{
    fixture.send(ResultsStored{{"b"}, RowVersion{5}, verdict});
}

} // namespace

// Guards against a stopping owner whose hand-over exceeds the store's limit on a transaction and is
// rejected until the exit.
TEST_CASE("a draining owner stores long texts in several transactions and then releases the batch")
{
    SingleBatchFixture fixture;
    for (const StartRun &run : std::vector<StartRun>(fixture.startedRuns))
        receiveText(fixture, run, 500 * kilobyte);
    fixture.send(BatchDraining{});
    REQUIRE(findAction<StoreHead>(fixture) == nullptr);
    const auto *commit = findAction<StoreResults>(fixture);
    REQUIRE(commit != nullptr);
    REQUIRE(commit->partials.size() == 1);
    CHECK(textBytes(commit->partials) == 500 * kilobyte);
    const std::uint32_t firstItem = commit->partials.front().itemIndex;
    answerCommit(fixture, CommitVerdict::Committed);
    const auto *release = findAction<StoreHead>(fixture);
    REQUIRE(release != nullptr);
    CHECK(release->head.owner.value.empty());
    REQUIRE(release->partials.size() == 1);
    CHECK(release->partials.front().itemIndex != firstItem);
    CHECK(textBytes(release->partials) == 500 * kilobyte);
    BatchHead released = release->head;
    fixture.send(HeadStored{released, StoreOutcome::Committed, RowVersion{9}, std::nullopt});
    CHECK(fixture.state.ownedBatches.empty());
}

TEST_CASE("texts that grow while a batch is released are not stored again and again")
{
    SingleBatchFixture fixture;
    const std::vector<StartRun> runs = fixture.startedRuns;
    for (const StartRun &run : runs)
        receiveText(fixture, run, 500 * kilobyte);
    fixture.send(BatchDraining{});
    REQUIRE(findAction<StoreResults>(fixture) != nullptr);
    for (const StartRun &run : runs)
        fixture.send(RunEventReceived{run.run, 2, "more", std::nullopt});
    answerCommit(fixture, CommitVerdict::Committed);
    CHECK(findAction<StoreHead>(fixture) != nullptr);
}

// Guards against results and texts that exceed the limit together and are sent again for ever.
TEST_CASE("a commit takes texts beside its results only as far as a transaction has room")
{
    SingleBatchFixture fixture;
    const std::vector<StartRun> runs = fixture.startedRuns;
    receiveText(fixture, runs[0], 400 * kilobyte);
    receiveText(fixture, runs[1], 400 * kilobyte);
    fixture.send(RunEventReceived{runs[1].run, 2, "", std::nullopt});
    for (std::uint64_t event = 3; event < 12; ++event)
        fixture.send(RunEventReceived{runs[1].run, event, "x", std::nullopt});
    fixture.now += 2s;
    fixture.send(RunEnded{runs[0].run, RunEnd::Complete});
    const auto *scoring = findAction<ScoreRequested>(fixture);
    REQUIRE(scoring != nullptr);
    ScoreCompleted scored;
    scored.batch = scoring->batch;
    scored.item = scoring->item;
    scored.outcome = ScoreCompleted::Outcome::Scored;
    scored.score = "stamp";
    fixture.send(scored);
    const auto *commit = findAction<StoreResults>(fixture);
    REQUIRE(commit != nullptr);
    REQUIRE(commit->results.size() == 1);
    CHECK(commit->results.front().text.size() + textBytes(commit->partials) < maxTransactionText);
    CHECK(commit->partials.empty());
    answerCommit(fixture, CommitVerdict::Committed);
    fixture.now += 1s;
    fixture.send(BatchTick{});
    REQUIRE(findAction<StoreResults>(fixture) != nullptr);
    CHECK(findAction<StoreResults>(fixture)->partials.size() == 1);
}

TEST_CASE("a commit that the store rejects is repeated with less in it")
{
    SingleBatchFixture fixture;
    const std::vector<StartRun> runs = fixture.startedRuns;
    receiveText(fixture, runs[1], kilobyte);
    for (std::uint64_t event = 2; event < 12; ++event)
        fixture.send(RunEventReceived{runs[1].run, event, "x", std::nullopt});
    fixture.now += 2s;
    fixture.send(RunEnded{runs[0].run, RunEnd::Unprocessable});
    const auto *commit = findAction<StoreResults>(fixture);
    REQUIRE(commit != nullptr);
    REQUIRE(commit->partials.size() == 1);
    answerCommit(fixture, CommitVerdict::Rejected);
    fixture.now += 1s;
    fixture.send(BatchTick{});
    commit = findAction<StoreResults>(fixture);
    REQUIRE(commit != nullptr);
    CHECK(commit->partials.empty());
    CHECK(commit->results.size() == 1);
}

TEST_CASE("texts alone that the store rejects are given up until the next period")
{
    SingleBatchFixture fixture;
    receiveText(fixture, fixture.startedRuns[1], kilobyte);
    for (std::uint64_t event = 2; event < 12; ++event)
        fixture.send(RunEventReceived{fixture.startedRuns[1].run, event, "x", std::nullopt});
    fixture.now += 2s;
    fixture.send(BatchTick{});
    REQUIRE(findAction<StoreResults>(fixture) != nullptr);
    answerCommit(fixture, CommitVerdict::Rejected);
    CHECK_FALSE(fixture.state.ownedBatches.at({"b"}).commit.has_value());
}

TEST_CASE("a release that the store rejects is repeated without texts")
{
    SingleBatchFixture fixture;
    receiveText(fixture, fixture.startedRuns[0], kilobyte);
    fixture.send(BatchDraining{});
    const auto *release = findAction<StoreHead>(fixture);
    REQUIRE(release != nullptr);
    REQUIRE(release->partials.size() == 1);
    const BatchHead head = release->head;
    fixture.send(HeadStored{head, StoreOutcome::Rejected, {}, std::nullopt});
    fixture.now += 1s;
    fixture.send(BatchTick{});
    release = findAction<StoreHead>(fixture);
    REQUIRE(release != nullptr);
    CHECK(release->partials.empty());
}

TEST_CASE("a submission that the store rejects is refused at once")
{
    SingleBatchFixture fixture;
    fixture.send(BatchSubmissionReceived{ReplyToken{2}, BatchSimulation::makeSpec("c", 1, 1)});
    fixture.send(SubmissionStored{{"c"}, StoreOutcome::Rejected, {}, std::nullopt});
    const auto *answer = findAction<AnswerBatchSubmission>(fixture);
    REQUIRE(answer != nullptr);
    CHECK(answer->verdict == SubmitVerdict::StoreUnavailable);
    CHECK(fixture.state.pendingSubmissions.empty());
}

TEST_CASE("requests about batches are answered before a planned stop ends")
{
    SingleBatchFixture fixture;
    fixture.send(BatchSubmissionReceived{ReplyToken{2}, BatchSimulation::makeSpec("c", 1, 1)});
    fixture.send(BatchDraining{fixture.now + 1s});
    fixture.send(SubmissionStored{{"c"}, StoreOutcome::NotCommitted, {}, std::nullopt});
    fixture.now += 1s;
    fixture.send(BatchTick{});
    const auto *answer = findAction<AnswerBatchSubmission>(fixture);
    REQUIRE(answer != nullptr);
    CHECK(answer->reply == ReplyToken{2});
}
