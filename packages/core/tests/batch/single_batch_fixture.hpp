#pragma once

#include "batch_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace geraniumpulley::core::test {

inline const Time start{std::chrono::seconds(100)};

// A node that owns one batch of two items. The test itself sends the events of the runs.
struct SingleBatchFixture
{
    BatchState state = makeBatchState({{"self"}, "a:1", "zone", 1}, {});
    std::vector<BatchAction> actions;
    std::vector<StartRun> startedRuns;
    Time now = start;

    explicit SingleBatchFixture(bool singleVersion = false,
                                std::vector<SoftwareVersion> software = {{"v1"}, {"v1"}})
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
        for (std::size_t i = 0; i < software.size(); ++i) {
            FleetTarget target;
            target.target = {{"e" + std::to_string(i + 1)},
                             {"engines"},
                             "",
                             "dc" + std::to_string(i + 1),
                             false};
            target.software = software[i];
            target.slots = 4;
            target.weights["model"] = WeightVersion{2};
            targets->emplace(target.target.id, target);
        }
        auto directory = std::make_shared<Directory>();
        directory->routing = routing;
        directory->targets = targets;
        directory->minWeights = std::make_shared<WeightMap>();
        directory->batches = std::make_shared<BatchMap>();
        directory->storeClockOffset = Duration{};
        this->send(BatchDirectoryChanged{directory});
        this->send(BatchSubmissionReceived{ReplyToken{1}, BatchSimulation::makeSpec("b", 1, 2)});
        this->send(SubmissionStored{{"b"}, StoreOutcome::Committed, RowVersion{5}, std::nullopt});
        REQUIRE(this->startedRuns.size() == 2);
    }

    void send(const BatchEvent &event)
    {
        this->actions = step(this->state, event, this->now);
        for (const BatchAction &action : this->actions) {
            if (const auto *run = std::get_if<StartRun>(&action))
                this->startedRuns.push_back(*run);
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

    void sendEvent(const StartRun &run, std::uint64_t eventId,
                   std::optional<WeightVersion> version = std::nullopt)
    {
        this->send(RunEventReceived{run.run, eventId, "event", version});
    }

    const ItemState &item(const StartRun &run) const
    {
        return this->state.ownedBatches.at({"b"}).items[run.itemIndex];
    }
};

} // namespace geraniumpulley::core::test
