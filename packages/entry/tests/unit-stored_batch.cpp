#include "stored_batch.hpp"
#include "table_names.hpp"

#include <geraniumpulley/core/transaction_budget.hpp>

#include <geraniumpulley/codec/row_messages.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley;

namespace {

const core::BatchId id{"b1"};

core::BatchHead makeHead()
{
    core::BatchHead head;
    head.id = id;
    head.owner = {"node"};
    head.ownerIncarnation = 7;
    head.itemCount = 2;
    head.version = core::RowVersion{9};
    return head;
}

std::vector<platform::Row> rowsOf(const platform::Transaction &transaction)
{
    std::vector<platform::Row> rows;
    for (const platform::RowWrite &write : transaction.writes)
        rows.push_back({write.name, write.value, core::RowVersion{9}, false});
    std::sort(rows.begin(), rows.end(),
              [](const auto &a, const auto &b) { return a.name.key < b.name.key; });
    return rows;
}

platform::Transaction makeBatchRows(std::size_t textSize)
{
    platform::Transaction transaction;
    transaction.writes.push_back({entry::ownerRow(id), codec::encodeBatchHead(makeHead())});
    const std::string body = R"({"requests":[{"id":"i0","path":"/p","body":")"
                             + std::string(200'000, 'A') + R"("},{"id":"i1","path":"/p"}]})";
    entry::addChunks(transaction, id, entry::specPrefix, 0,
                     codec::encodeSubmittedBody({"h", "/p", body}));
    const std::string text(textSize, 'x');
    entry::addChunks(
            transaction, id, entry::resultPrefix, 0,
            codec::encodeItemResult({{"i1"}, core::ItemOutcome::Completed, text, {}, "s"}));
    entry::addChunks(transaction, id, entry::partialPrefix, 0,
                     codec::encodePartialText({0, "part", 3, {core::WeightVersion{2}}, {"v1"}}));
    return transaction;
}

} // namespace

TEST_CASE("a batch is reassembled from its rows for any number of chunks")
{
    for (const std::size_t size : {0U, 10U, 59'000U, 61'000U, 300'000U}) {
        CAPTURE(size);
        const auto stored = entry::assembleBatch(id, rowsOf(makeBatchRows(size)));
        REQUIRE(stored.has_value());
        CHECK(stored.value().head.owner.value == "node");
        CHECK(stored.value().head.version == core::RowVersion{9});
        CHECK(stored.value().spec->items.size() == 2);
        REQUIRE(stored.value().results.size() == 1);
        CHECK(stored.value().results[0].text.size() == size);
        REQUIRE(stored.value().partials.size() == 1);
        CHECK(stored.value().partials[0].lastEventId == 3);
    }
}

TEST_CASE("no row value exceeds the size limit")
{
    for (const platform::RowWrite &write : makeBatchRows(300'000).writes)
        CHECK(write.value.size() <= core::maxRowBytes);
}

TEST_CASE("a batch without its head or its submitted body is rejected")
{
    std::vector<platform::Row> rows = rowsOf(makeBatchRows(10));
    std::vector<platform::Row> withoutHead(rows.begin() + 1, rows.end());
    CHECK_FALSE(entry::assembleBatch(id, withoutHead).has_value());
    CHECK_FALSE(entry::assembleBatch(id, {rows[0]}).has_value());
    rows[0].value = "not a head";
    CHECK_FALSE(entry::assembleBatch(id, rows).has_value());
}

TEST_CASE("results are ordered by position")
{
    platform::Transaction transaction;
    for (std::size_t position = 0; position < 12; ++position) {
        entry::addChunks(
                transaction, id, entry::resultPrefix, position,
                codec::encodeItemResult(
                        {{std::to_string(position)}, core::ItemOutcome::Lost, "", {}, ""}));
    }
    const auto results = entry::assembleResults(rowsOf(transaction));
    REQUIRE(results.has_value());
    for (std::size_t position = 0; position < 12; ++position)
        CHECK(results.value()[position].id.value == std::to_string(position));
}
