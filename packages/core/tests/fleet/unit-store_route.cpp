#include <geraniumpulley/core/fleet/store_route.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {
const Time start{std::chrono::seconds(100)};
}

TEST_CASE("repeated failures of direct calls switch to the relay route for a while")
{
    StoreRouteState state;
    CHECK(chooseStoreRoute(state, start) == StoreRoute::Direct);
    CHECK_FALSE(recordDirectCall(state, false, start));
    CHECK(chooseStoreRoute(state, start) == StoreRoute::Direct);
    CHECK(recordDirectCall(state, false, start + 300ms));
    CHECK(chooseStoreRoute(state, start + 301ms) == StoreRoute::Relay);
    CHECK(chooseStoreRoute(state, start + 1400ms) == StoreRoute::Direct);
}

TEST_CASE("isolated failures do not switch the route")
{
    StoreRouteState state;
    for (int i = 0; i < 10; ++i) {
        const Time now = start + i * 100ms;
        CHECK_FALSE(recordDirectCall(state, i % 2 == 0, now));
        CHECK(chooseStoreRoute(state, now) == StoreRoute::Direct);
    }
}

TEST_CASE("a successful direct call restores the direct route")
{
    StoreRouteState state;
    recordDirectCall(state, false, start);
    recordDirectCall(state, false, start + 500ms);
    CHECK(recordDirectCall(state, true, start + 600ms));
    CHECK(chooseStoreRoute(state, start + 600ms) == StoreRoute::Direct);
}

TEST_CASE("a failed relayed call switches back to the direct route")
{
    StoreRouteState state;
    recordDirectCall(state, false, start);
    recordDirectCall(state, false, start + 500ms);
    CHECK(chooseStoreRoute(state, start + 501ms) == StoreRoute::Relay);
    recordRelayedCall(state, false, start + 501ms);
    CHECK(chooseStoreRoute(state, start + 501ms) == StoreRoute::Direct);
}
