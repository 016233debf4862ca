#include <geraniumpulley/core/transaction_budget.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

TEST_CASE("a transaction holds one long value, and none beyond the limit of the store")
{
    TransactionBudget budget;
    CHECK_FALSE(reserveValue(budget, 760'000, 60));
    CHECK(budget.entries == 100);
    CHECK(reserveValue(budget, 600 * 1024, 60));
    CHECK(budget.entries == 90);
    CHECK_FALSE(reserveValue(budget, 200 * 1024, 60));
    CHECK(reserveValue(budget, 100 * 1024, 60));
}

TEST_CASE("the entries of a transaction are limited, whatever their size")
{
    TransactionBudget budget;
    CHECK(reserveNames(budget, 2, 60));
    for (int i = 0; i < 98; ++i)
        CHECK(reserveValue(budget, 0, 60));
    CHECK_FALSE(reserveValue(budget, 0, 60));
    CHECK_FALSE(reserveNames(budget, 1, 60));
}

TEST_CASE("long names count, escaped")
{
    TransactionBudget budget;
    for (int i = 0; i < 100; ++i) {
        CAPTURE(i);
        const bool fits = reserveValue(budget, 6'000, 600);
        CHECK(fits == (i < 85));
    }
}
