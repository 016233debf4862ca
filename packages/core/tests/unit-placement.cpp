#include <geraniumpulley/core/rollouts/placement.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

namespace {

const Time start{std::chrono::hours(1)};
const Target engine{{"e1"}, {"model"}, "127.0.0.1:8", "bilbao", false};

Configuration makeConfiguration(ServiceKind kind)
{
    Service service;
    service.name = {"model"};
    service.kind = kind;
    service.maxInFlight = 4;
    service.callReserve = 2;
    Configuration configuration;
    configuration.services = {service};
    return configuration;
}

bool acceptsRequest(ServiceKind kind, std::uint32_t inFlight)
{
    PlacementQuery query;
    query.service = {"model"};
    View view;
    view.targets = {engine};
    EngineLoads loads;
    loads[engine.id].inFlight = inFlight;
    return chooseTarget(query, makeConfiguration(kind), view, nullptr, loads, start) != nullptr;
}

} // namespace

TEST_CASE("rollout requests leave the call reserve of a model engine free")
{
    CHECK(acceptsRequest(ServiceKind::Model, 1));
    CHECK_FALSE(acceptsRequest(ServiceKind::Model, 2));
}

TEST_CASE("a scorer serves only rollouts and has no call reserve")
{
    CHECK(acceptsRequest(ServiceKind::Scorer, 3));
    CHECK_FALSE(acceptsRequest(ServiceKind::Scorer, 4));
}
