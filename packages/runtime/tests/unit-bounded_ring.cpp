#include <geraniumpulley/runtime/bounded_ring.hpp>

#include <doctest/doctest.h>

#include <thread>

using geraniumpulley::runtime::BoundedRing;

TEST_CASE("a full ring rejects messages and returns the queued ones in order")
{
    BoundedRing<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == 2);
    CHECK(ring.tryPop() == std::nullopt);
}

TEST_CASE("push blocks while the ring is full")
{
    BoundedRing<int> ring(1);
    CHECK(ring.tryPush(1));
    std::thread producer([&] { ring.push(2); });
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == 2);
    producer.join();
}

TEST_CASE("a closed ring returns the queued messages and then no value")
{
    BoundedRing<int> ring(2);
    CHECK(ring.tryPush(1));
    ring.close();
    CHECK_FALSE(ring.tryPush(2));
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == std::nullopt);
}
