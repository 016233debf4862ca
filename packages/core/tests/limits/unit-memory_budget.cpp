#include <geraniumpulley/core/limits/memory_budget.hpp>

#include <doctest/doctest.h>

#include <initializer_list>

using namespace geraniumpulley::core;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

} // namespace

TEST_CASE("the shares fit the machine together, and the smallest holds the largest body")
{
    for (const std::size_t megabytes : {120, 160, 270, 290, 512, 4096}) {
        CAPTURE(megabytes);
        const MemoryBudget budget = makeMemoryBudget(megabytes * megabyte);
        const std::size_t sum = budget.requests + budget.unreadResponses + budget.targetResponses
                                + budget.engineResponses + budget.storeResponses + budget.batches;
        CHECK(sum <= megabytes * megabyte * 4 / 5);
        CHECK(budget.requests > 33 * megabyte);
    }
}
