#include <geraniumpulley/core/limits/connection_use.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time now{std::chrono::seconds(1000)};

} // namespace

TEST_CASE("a client that sends a byte now and then is stalled, one on a slow link is not")
{
    const ConnectionUse byTheByte{now - 60s, 60, 60};
    const ConnectionUse slowLink{now - 60s, 1024 * 1024, 1024 * 1024};
    CHECK(stalledTime(byTheByte, now) > 59s);
    CHECK(stalledTime(slowLink, now) == 0s);
    CHECK(stalledTime({now - 1s, 0, 0}, now) == 1s);
}

TEST_CASE("memory gives way by its size and by the time that it has been held")
{
    const ConnectionUse ordinary{now - 1ms, 100 * 1024, 100 * 1024};
    CHECK(heldByteSeconds({now - 10s, 40 * 1024, 40 * 1024}, now) > heldByteSeconds(ordinary, now));
    CHECK(heldByteSeconds({now - 10ms, 8'000'000, 8'000'000}, now)
          > heldByteSeconds({now - 1ms, 1, 4096}, now));
    CHECK(heldByteSeconds({now, 1, 1}, now) > 0);
    CHECK(heldByteSeconds({now - 10s, 0, 0}, now) == 0);
}
