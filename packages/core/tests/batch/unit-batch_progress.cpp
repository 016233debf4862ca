#include "single_batch_fixture.hpp"

#include <geraniumpulley/core/batch/batch_progress.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using test::SingleBatchFixture;

namespace {

const AnswerBatchProgress *findAnswer(const SingleBatchFixture &fixture)
{
    for (const BatchAction &action : fixture.actions) {
        if (const auto *answer = std::get_if<AnswerBatchProgress>(&action))
            return answer;
    }
    return nullptr;
}

void publishHead(SingleBatchFixture &fixture, BatchHead head)
{
    auto directory = std::make_shared<Directory>(*fixture.state.directory);
    directory->presence = makePresence({"self"}, {}, fixture.now);
    recordHeartbeat(directory->presence, {{{"self"}, "a:1", "zone", 1}, 1, false, 0}, fixture.now);
    recordHeartbeat(directory->presence, {{{"other"}, "b:1", "zone", 1}, 1, false, 0}, fixture.now);
    auto batches = std::make_shared<BatchMap>();
    batches->emplace(head.id, std::move(head));
    directory->batches = std::move(batches);
    fixture.send(BatchDirectoryChanged{directory});
}

} // namespace

TEST_CASE("progress names the engine, its data centre and the cause for each missing item")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    fixture.now += 700ms;
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"b"}});
    const AnswerBatchProgress *answer = findAnswer(fixture);
    REQUIRE(answer != nullptr);
    CHECK(answer->verdict == ReadVerdict::Found);
    CHECK(answer->progress.itemCount == 2);
    CHECK(answer->progress.listedCount == 0);
    REQUIRE(answer->progress.missingItems.size() == 2);
    const MissingItem &missing = answer->progress.missingItems[run.itemIndex];
    CHECK(missing.waitsFor == WaitReason::Text);
    CHECK(missing.target == run.target.id);
    CHECK(missing.dataCentre == run.target.dataCentre);
    CHECK(missing.cause == RunCause::First);
    CHECK(missing.events == 1);
    CHECK(missing.waitTime == 700ms);
}

TEST_CASE("an item that found no engine waits for one, and names the last that had it")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    auto directory = std::make_shared<Directory>(*fixture.state.directory);
    directory->targets = std::make_shared<TargetMap>();
    fixture.send(BatchDirectoryChanged{directory});
    fixture.send(RunEnded{run.run, RunEnd::Broken, {}});
    fixture.now += 2s;
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"b"}});
    const MissingItem &missing = findAnswer(fixture)->progress.missingItems[run.itemIndex];
    CHECK(missing.waitsFor == WaitReason::Engine);
    CHECK(missing.target == run.target.id);
    CHECK(missing.dataCentre.empty());
    CHECK(missing.cause == RunCause::AfterLoss);
    CHECK(missing.waitTime == 2s);
}

TEST_CASE("a node that does not own a batch forwards the request to the owner, once")
{
    SingleBatchFixture fixture;
    BatchHead head;
    head.id = {"c"};
    head.owner = {"other"};
    head.ownerIncarnation = 1;
    head.itemCount = 9;
    publishHead(fixture, head);
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"c"}});
    REQUIRE(fixture.count<ForwardProgressRequest>() == 1);
    CHECK(std::get<ForwardProgressRequest>(fixture.actions.front()).address == "b:1");
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"c"}, true});
    CHECK(fixture.count<ForwardProgressRequest>() == 0);
    CHECK(findAnswer(fixture)->verdict == ReadVerdict::StoreUnavailable);
    CHECK(findAnswer(fixture)->isForwarded);
}

TEST_CASE("progress of a batch that has ended names no item; one that does not exist is unknown")
{
    SingleBatchFixture fixture;
    BatchHead head;
    head.id = {"c"};
    head.ended = true;
    head.itemCount = 9;
    publishHead(fixture, head);
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"c"}});
    CHECK(findAnswer(fixture)->verdict == ReadVerdict::Found);
    CHECK(findAnswer(fixture)->progress.missingItems.empty());
    fixture.send(BatchProgressRequested{ReplyToken{7}, {"none"}});
    CHECK(findAnswer(fixture)->verdict == ReadVerdict::Unknown);
}
