#include <geraniumpulley/core/control/lease.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

TEST_CASE("a lease is not held after its validity has ended")
{
    const Time start{1h};
    const Shard shard{ShardKind::Steps, 3};
    LeaseTable table{{"a"}, {{shard, {{"a"}, FencingToken{7}, start + 3s}}}};
    CHECK(heldFence(table, shard, start) == FencingToken{7});
    CHECK_FALSE(heldFence(table, shard, start + 3s).has_value());
    CHECK(holderOf(table, shard) == NodeId{"a"});
    table.leases[shard].holder = {"b"};
    CHECK_FALSE(heldFence(table, shard, start).has_value());
}
