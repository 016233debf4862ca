#include "single_batch_fixture.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

void scaleEngines(SingleBatchFixture &fixture)
{
    auto directory = std::make_shared<Directory>(*fixture.state.directory);
    auto routing = std::make_shared<RoutingTable>(*directory->routing);
    RoutedService service{{"engines"}, 0, true};
    service.scaling = ScalingLimits{};
    routing->services.push_back(service);
    directory->routing = routing;
    fixture.send(BatchDirectoryChanged{directory});
}

} // namespace

TEST_CASE("the owner of batches reports its demand twice a second, where targets are ordered")
{
    SingleBatchFixture fixture;
    fixture.now += 1s;
    fixture.send(BatchTick{});
    CHECK(fixture.count<DemandReport>() == 0);
    scaleEngines(fixture);
    REQUIRE(fixture.count<DemandReport>() == 1);
    for (const BatchAction &action : fixture.actions) {
        if (const auto *report = std::get_if<DemandReport>(&action))
            CHECK(*report == DemandReport{{"self"}, {{{"engines"}, {2, 0}}}});
    }
    fixture.send(BatchTick{});
    CHECK(fixture.count<DemandReport>() == 0);
    fixture.now += 500ms;
    fixture.send(BatchTick{});
    CHECK(fixture.count<DemandReport>() == 1);
}

TEST_CASE("the last report of an owner says that it has no demand any more")
{
    SingleBatchFixture fixture;
    scaleEngines(fixture);
    fixture.send(BatchEndRequested{ReplyToken{2}, {"b"}});
    BatchHead head = fixture.state.ownedBatches.at({"b"}).head;
    head.ended = true;
    fixture.now += 1s;
    fixture.send(HeadStored{head, StoreOutcome::Committed, RowVersion{6}, std::nullopt});
    REQUIRE(fixture.state.ownedBatches.empty());
    REQUIRE(fixture.count<DemandReport>() == 1);
    fixture.now += 1s;
    fixture.send(BatchTick{});
    CHECK(fixture.count<DemandReport>() == 0);
}
