#include "target_row_cache.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace geraniumpulley;

namespace {

platform::Row makeRow(const std::string &state, std::uint64_t version)
{
    return {{"servers", "", "t"},
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,"state":")" + state
                    + "\"}",
            core::RowVersion{version},
            false};
}

} // namespace

TEST_CASE("a row with an equal value is not decoded again")
{
    entry::TargetRowCache cache;
    const auto first = cache.decode(makeRow("ready", 1)).value();
    CHECK(cache.decode(makeRow("ready", 2)).value() == first);
    const auto changed = cache.decode(makeRow("draining", 3)).value();
    CHECK(changed != first);
    CHECK(changed->target.leaving);
    CHECK_FALSE(first->target.leaving);
}

TEST_CASE("a row that cannot be decoded is an error, and the next whole one is decoded")
{
    entry::TargetRowCache cache;
    CHECK(cache.decode(makeRow("ready", 1)));
    CHECK_FALSE(cache.decode(makeRow("no such state", 2)));
    CHECK(cache.decode(makeRow("ready", 3)));
}

TEST_CASE("rows that are gone are forgotten")
{
    entry::TargetRowCache cache;
    const auto first = cache.decode(makeRow("ready", 1)).value();
    cache.retain({makeRow("ready", 2)});
    CHECK(cache.decode(makeRow("ready", 2)).value() == first);
    cache.retain({});
    CHECK(cache.decode(makeRow("ready", 3)).value() != first);
}
