#include "batch_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

// One node with one batch of two items, whose runs the test answers.
struct OneBatch
{
    BatchState state = makeBatchState({{"self"}, "a:1", "zone", 1}, {});
    std::vector<BatchAction> actions;
    std::vector<StartRun> started;

    explicit OneBatch(bool singleVersion = false)
    {
        auto routing = std::make_shared<RoutingTable>();
        Route route;
        route.host = "host";
        route.pathPrefix = "/batch/";
        route.kind = RouteKind::Batch;
        route.shares = {{{"engines"}, 1}};
        route.maxAttempts = 2;
        route.singleVersion = singleVersion;
        routing->routes.push_back(route);
        auto targets = std::make_shared<TargetMap>();
        for (const char *id : {"e1", "e2"}) {
            FleetTarget target;
            target.target = {{id}, {"engines"}, "", "", false};
            target.slots = 4;
            target.weights["model"] = WeightVersion{2};
            targets->emplace(target.target.id, target);
        }
        auto directory = std::make_shared<Directory>();
        directory->routing = routing;
        directory->targets = targets;
        directory->leastWeights = std::make_shared<WeightMap>();
        directory->shares = std::make_shared<EngineShares>();
        directory->batches = std::make_shared<BatchMap>();
        directory->storeClockOffset = Duration{};
        this->send(BatchDirectoryChanged{directory});
        this->send(SubmitAsked{ReplyToken{1}, test::BatchWorld::makeOrder("b", 1, 2)});
        this->send(SubmissionStored{{"b"}, StoreOutcome::Done, RowVersion{5}, std::nullopt});
        REQUIRE(this->started.size() == 2);
    }

    void send(const BatchEvent &event)
    {
        this->actions = step(this->state, event, start);
        for (const BatchAction &action : this->actions) {
            if (const auto *run = std::get_if<StartRun>(&action))
                this->started.push_back(*run);
        }
    }

    template<typename Action>
    std::size_t count() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->actions.begin(), this->actions.end(), [](const auto &action) {
                    return std::holds_alternative<Action>(action);
                }));
    }

    void progress(const StartRun &run, std::uint64_t number,
                  std::optional<WeightVersion> version = std::nullopt)
    {
        this->send(RunProgressed{run.run, number, "event", version});
    }

    const ItemState &item(const StartRun &run) const
    {
        return this->state.owned.at({"b"}).items[run.item];
    }
};

} // namespace

TEST_CASE("a gap in the events ends the run, and the item goes on behind what it has")
{
    OneBatch world;
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, WeightVersion{2}});
    world.progress(run, 1);
    world.progress(run, 3);
    CHECK(world.count<CancelRun>() == 1);
    REQUIRE(world.started.size() == 3);
    CHECK(world.started[2].resumeAfter == 1);
    CHECK(world.started[2].target.id != run.target.id);
    CHECK(world.item(run).text == "event");
}

TEST_CASE("an event that comes twice is taken once")
{
    OneBatch world;
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, WeightVersion{2}});
    world.progress(run, 1);
    world.progress(run, 1);
    CHECK(world.item(run).text == "event");
    CHECK(world.count<CancelRun>() == 0);
}

TEST_CASE("events without a version cannot be labelled and are not taken")
{
    OneBatch world;
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, std::nullopt});
    world.progress(run, 1);
    CHECK(world.item(run).text.empty());
    CHECK(world.count<CancelRun>() == 1);
}

TEST_CASE("a run under a version that is too old ends before its first event")
{
    OneBatch world;
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, WeightVersion{1}});
    CHECK(world.count<CancelRun>() == 1);
    CHECK(world.item(run).versions.empty());
}

TEST_CASE("each version that made a part of a text is in its label")
{
    OneBatch world;
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, WeightVersion{2}});
    world.progress(run, 1);
    world.progress(run, 2, WeightVersion{3});
    CHECK(world.item(run).versions == std::vector{WeightVersion{2}, WeightVersion{3}});
}

TEST_CASE("where one version has to make a whole text, a change begins it anew")
{
    OneBatch world(true);
    const StartRun run = world.started[0];
    world.send(RunOpened{run.run, WeightVersion{2}});
    world.progress(run, 1);
    world.progress(run, 2, WeightVersion{3});
    CHECK(world.count<CancelRun>() == 1);
    REQUIRE(world.started.size() == 3);
    CHECK(world.started[2].resumeAfter == 0);
}

TEST_CASE("an item is lost after as many failures as the route allows, and not before")
{
    OneBatch world;
    world.send(RunEnded{world.started[0].run, RunEnd::Failed});
    REQUIRE(world.started.size() == 3);
    CHECK(world.count<StoreResults>() == 0);
    world.send(RunEnded{world.started[2].run, RunEnd::Failed});
    CHECK(world.count<StoreResults>() == 1);
    CHECK(world.started.size() == 3);
}

TEST_CASE("an owner that was superseded breaks its runs off and writes nothing more")
{
    OneBatch world;
    world.send(RunEnded{world.started[0].run, RunEnd::Impossible});
    REQUIRE(world.count<StoreResults>() == 1);
    world.send(ResultsStored{{"b"}, RowVersion{5}, CommitVerdict::Superseded});
    CHECK(world.count<CancelRun>() == 1);
    CHECK(world.state.owned.empty());
    world.send(RunEnded{world.started[1].run, RunEnd::Impossible});
    CHECK(world.count<StoreResults>() == 0);
}

TEST_CASE("a commit without an answer is sent again with the same rows at the same position")
{
    OneBatch world;
    world.send(RunEnded{world.started[0].run, RunEnd::Impossible});
    const auto first = std::get<StoreResults>(world.actions[0]);
    world.send(RunEnded{world.started[1].run, RunEnd::Impossible});
    CHECK(world.count<StoreResults>() == 0);
    world.send(ResultsStored{{"b"}, RowVersion{5}, CommitVerdict::Unknown});
    world.actions = step(world.state, BatchTick{}, start + 1s);
    const auto again = std::find_if(world.actions.begin(), world.actions.end(), [](const auto &a) {
        return std::holds_alternative<StoreResults>(a);
    });
    REQUIRE(again != world.actions.end());
    CHECK(std::get<StoreResults>(*again).first == first.first);
    CHECK(std::get<StoreResults>(*again).results == first.results);
}
