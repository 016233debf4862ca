#include "single_batch_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using test::SingleBatchFixture;
using test::start;

TEST_CASE("a gap in the events cancels the run, and the item resumes after the last received event")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    fixture.sendEvent(run, 3);
    CHECK(fixture.count<CancelRun>() == 1);
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].lastEventId == 1);
    CHECK(fixture.startedRuns[2].target.id != run.target.id);
    CHECK(fixture.item(run).text == "event");
}

TEST_CASE("a run that was given up for its silence gets twice the time, until events come again")
{
    SingleBatchFixture fixture;
    const StartRun first = fixture.startedRuns[0];
    const Duration limit = fixture.state.settings.minSilenceLimit;
    CHECK(first.silenceLimit == limit);
    const auto breakOff = [&](const StartRun &run, Duration after) {
        fixture.now += after;
        fixture.send(RunEnded{run.run, RunEnd::Broken, {}});
        for (int i = 0; i < 20 && fixture.startedRuns.back().run == run.run; ++i) {
            fixture.now += 100ms;
            fixture.send(BatchTick{});
        }
        return fixture.startedRuns.back();
    };
    const StartRun second = breakOff(first, limit / 2);
    REQUIRE(second.itemIndex == first.itemIndex);
    CHECK(second.silenceLimit == limit);
    const StartRun third = breakOff(second, limit);
    CHECK(third.silenceLimit == 2 * limit);
    fixture.send(RunHeadReceived{third.run, WeightVersion{2}});
    fixture.sendEvent(third, 1);
    fixture.sendEvent(third, 2);
    CHECK(breakOff(third, 10ms).silenceLimit == limit);
}

TEST_CASE("an event without a number ends the run")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 0);
    CHECK(fixture.count<CancelRun>() == 1);
    CHECK(fixture.item(run).text.empty());
}

TEST_CASE("an engine with a rate limit gets no run without a permit")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    const StartRun other = fixture.startedRuns[1];
    for (const StartRun &started : {run, other})
        fixture.send(RunHeadReceived{started.run, WeightVersion{2}, RequestRate{3}});
    fixture.send(RunEnded{run.run, RunEnd::Broken, {}});
    CHECK(fixture.startedRuns.size() == 2);
    CHECK(fixture.count<RequestPermits>() == 1);
    fixture.send(PermitsReceived{other.target.id, PermitGrant{1}});
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].itemIndex == run.itemIndex);
    CHECK(fixture.startedRuns[2].target.id == other.target.id);
}

TEST_CASE("a text goes on only at an engine of the software that began it")
{
    SingleBatchFixture fixture(false, {{"v1"}, {"v2"}, {"v1"}});
    for (const StartRun &run : std::vector(fixture.startedRuns)) {
        fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
        fixture.sendEvent(run, 1);
        fixture.send(RunEnded{run.run, RunEnd::Broken});
        const StartRun &next = fixture.startedRuns.back();
        CHECK(next.itemIndex == run.itemIndex);
        CHECK(next.lastEventId == 1);
        CHECK(next.software == run.software);
    }
}

TEST_CASE("a text whose software no engine runs any more is started over")
{
    SingleBatchFixture fixture(false, {{"v1"}, {"v2"}});
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    auto directory = std::make_shared<Directory>(*fixture.state.directory);
    auto targets = std::make_shared<TargetMap>(*directory->targets);
    targets->erase(run.target.id);
    directory->targets = targets;
    fixture.send(BatchDirectoryChanged{directory});
    fixture.send(RunEnded{run.run, RunEnd::Broken});
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].lastEventId == 0);
    CHECK(fixture.startedRuns[2].software != run.software);
    CHECK(fixture.item(run).text.empty());
}

TEST_CASE("a text waits for an engine of its software only as long as generating it again takes")
{
    SingleBatchFixture fixture(false, {{"v1"}, {"v2"}});
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    for (std::uint64_t eventId = 1; eventId <= 10; ++eventId)
        fixture.sendEvent(run, eventId);
    fixture.send(RunEnded{run.run, RunEnd::WrongTarget});
    CHECK(fixture.startedRuns.size() == 2);
    const Duration limit = fixture.state.settings.usualEventTime * 10;
    REQUIRE(dueAt(fixture.state, fixture.now).has_value());
    CHECK(*dueAt(fixture.state, fixture.now) <= start + limit);
    fixture.now += limit;
    fixture.send(BatchTick{});
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].lastEventId == 0);
}

TEST_CASE("a text that does not end is given up at the limit and started over")
{
    SingleBatchFixture fixture;
    fixture.state.settings.maxTextBytes = 100;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    for (std::uint64_t eventId = 1; eventId <= 100 && fixture.startedRuns.size() == 2; ++eventId)
        fixture.sendEvent(run, eventId);
    CHECK(fixture.count<CancelRun>() == 1);
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].lastEventId == 0);
    CHECK(fixture.startedRuns[2].target.id != run.target.id);
}

TEST_CASE("a repeated event is ignored")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    fixture.sendEvent(run, 1);
    CHECK(fixture.item(run).text == "event");
    CHECK(fixture.count<CancelRun>() == 0);
}

TEST_CASE("events of a run without a known version are rejected")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, std::nullopt});
    fixture.sendEvent(run, 1);
    CHECK(fixture.item(run).text.empty());
    CHECK(fixture.count<CancelRun>() == 1);
}

TEST_CASE("a run with weights that are too old is cancelled before its first event")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{1}});
    CHECK(fixture.count<CancelRun>() == 1);
    CHECK(fixture.item(run).versions.empty());
}

TEST_CASE("a text records each version that generated a part of it")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    fixture.sendEvent(run, 2, WeightVersion{3});
    CHECK(fixture.item(run).versions == std::vector{WeightVersion{2}, WeightVersion{3}});
}

TEST_CASE("on a single-version route a version change restarts the text")
{
    SingleBatchFixture fixture(true);
    const StartRun run = fixture.startedRuns[0];
    fixture.send(RunHeadReceived{run.run, WeightVersion{2}});
    fixture.sendEvent(run, 1);
    fixture.sendEvent(run, 2, WeightVersion{3});
    CHECK(fixture.count<CancelRun>() == 1);
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].lastEventId == 0);
}

TEST_CASE("an item is lost after the number of failures that the route allows, and not before")
{
    SingleBatchFixture fixture;
    fixture.send(RunEnded{fixture.startedRuns[0].run, RunEnd::Failed});
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.count<StoreResults>() == 0);
    fixture.send(RunEnded{fixture.startedRuns[2].run, RunEnd::Failed});
    CHECK(fixture.count<StoreResults>() == 1);
    CHECK(fixture.startedRuns.size() == 3);
}

TEST_CASE("a superseded owner cancels its runs and writes nothing more")
{
    SingleBatchFixture fixture;
    fixture.send(RunEnded{fixture.startedRuns[0].run, RunEnd::Unprocessable});
    REQUIRE(fixture.count<StoreResults>() == 1);
    fixture.send(ResultsStored{{"b"}, RowVersion{5}, CommitVerdict::Superseded});
    CHECK(fixture.count<CancelRun>() == 1);
    CHECK(fixture.state.ownedBatches.empty());
    fixture.send(RunEnded{fixture.startedRuns[1].run, RunEnd::Unprocessable});
    CHECK(fixture.count<StoreResults>() == 0);
}

TEST_CASE("a commit without an answer is retried with the same rows at the same position")
{
    SingleBatchFixture fixture;
    fixture.send(RunEnded{fixture.startedRuns[0].run, RunEnd::Unprocessable});
    const auto first = std::get<StoreResults>(fixture.actions[0]);
    fixture.send(RunEnded{fixture.startedRuns[1].run, RunEnd::Unprocessable});
    CHECK(fixture.count<StoreResults>() == 0);
    fixture.send(ResultsStored{{"b"}, RowVersion{5}, CommitVerdict::Unknown});
    fixture.actions = step(fixture.state, BatchTick{}, start + 1s);
    const auto retry =
            std::find_if(fixture.actions.begin(), fixture.actions.end(),
                         [](const auto &a) { return std::holds_alternative<StoreResults>(a); });
    REQUIRE(retry != fixture.actions.end());
    CHECK(std::get<StoreResults>(*retry).firstPosition == first.firstPosition);
    CHECK(std::get<StoreResults>(*retry).results == first.results);
}

TEST_CASE("an item that found no engine starts at one that joins, and at one that gets the weights")
{
    SingleBatchFixture fixture;
    const StartRun run = fixture.startedRuns[0];
    auto directory = std::make_shared<Directory>(*fixture.state.directory);
    const auto initialTargets = directory->targets;
    const auto publish = [&](std::shared_ptr<const TargetMap> targets) {
        directory = std::make_shared<Directory>(*directory);
        directory->targets = std::move(targets);
        fixture.send(BatchDirectoryChanged{directory});
    };
    publish(std::make_shared<TargetMap>());
    fixture.send(RunEnded{run.run, RunEnd::Broken, {}});
    REQUIRE(fixture.startedRuns.size() == 2);
    auto targets = std::make_shared<TargetMap>();
    FleetTarget joined = initialTargets->begin()->second;
    joined.target.id = {"joined"};
    joined.weights["model"] = WeightVersion{1};
    targets->emplace(joined.target.id, joined);
    publish(targets);
    REQUIRE(fixture.startedRuns.size() == 2);
    targets = std::make_shared<TargetMap>();
    joined.weights["model"] = WeightVersion{2};
    targets->emplace(joined.target.id, joined);
    publish(targets);
    REQUIRE(fixture.startedRuns.size() == 3);
    CHECK(fixture.startedRuns[2].target.id == TargetId{"joined"});
}

TEST_CASE("a node that alone reaches no target hands its batches over, and keeps them in an outage "
          "of "
          "all targets")
{
    for (const bool peerReaches : {true, false}) {
        CAPTURE(peerReaches);
        SingleBatchFixture fixture;
        auto directory = std::make_shared<Directory>(*fixture.state.directory);
        directory->reachesTargets = false;
        NodeHeartbeat peer{{{"peer"}, "peer:1", "zone", 1}, 1, false};
        peer.reachesTargets = peerReaches;
        recordHeartbeat(directory->presence, peer, fixture.now);
        fixture.send(BatchDirectoryChanged{directory});
        const auto release = std::find_if(fixture.actions.begin(), fixture.actions.end(),
                                          [](const BatchAction &action) {
                                              return std::holds_alternative<StoreHead>(action);
                                          });
        REQUIRE((release != fixture.actions.end()) == peerReaches);
        if (peerReaches)
            CHECK(std::get<StoreHead>(*release).head.owner.value.empty());
    }
}
