#include <geraniumpulley/core/fleet/store_path.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {
const Time start{std::chrono::seconds(100)};
}

TEST_CASE("a store that turns this node away is reached through others after a while")
{
    StorePath path;
    CHECK(chooseStoreRoute(path, start) == StoreRoute::Direct);
    CHECK_FALSE(noteDirectCall(path, false, start));
    CHECK(chooseStoreRoute(path, start) == StoreRoute::Direct);
    CHECK(noteDirectCall(path, false, start + 300ms));
    CHECK(chooseStoreRoute(path, start + 301ms) == StoreRoute::Relay);
    CHECK(chooseStoreRoute(path, start + 1400ms) == StoreRoute::Direct);
}

TEST_CASE("a single failed call between good ones changes nothing")
{
    StorePath path;
    for (int i = 0; i < 10; ++i) {
        const Time now = start + i * 100ms;
        CHECK_FALSE(noteDirectCall(path, i % 2 == 0, now));
        CHECK(chooseStoreRoute(path, now) == StoreRoute::Direct);
    }
}

TEST_CASE("a success regains the direct way")
{
    StorePath path;
    noteDirectCall(path, false, start);
    noteDirectCall(path, false, start + 500ms);
    CHECK(noteDirectCall(path, true, start + 600ms));
    CHECK(chooseStoreRoute(path, start + 600ms) == StoreRoute::Direct);
}

TEST_CASE("when relays fail too, the direct way is tried again")
{
    StorePath path;
    noteDirectCall(path, false, start);
    noteDirectCall(path, false, start + 500ms);
    CHECK(chooseStoreRoute(path, start + 501ms) == StoreRoute::Relay);
    noteRelayedCall(path, false, start + 501ms);
    CHECK(chooseStoreRoute(path, start + 501ms) == StoreRoute::Direct);
}
