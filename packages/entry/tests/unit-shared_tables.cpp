#include "shared_tables.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace geraniumpulley;
using core::FleetTable;

namespace {

platform::Row makeRow(const std::string &key, const std::string &value, std::uint64_t version)
{
    return {{"table", "", key}, value, core::RowVersion{version}, false};
}

platform::Row makeTombstone(const std::string &key, std::uint64_t version)
{
    return {{"table", "", key}, {}, core::RowVersion{version}, true};
}

// Returns keys and values of all rows.
std::map<std::string, std::string> contents(const entry::SharedTables &tables)
{
    std::map<std::string, std::string> values;
    for (const codec::RowCopy &row : tables.allRows())
        values[row.key] = row.value;
    return values;
}

using Contents = std::map<std::string, std::string>;

} // namespace

TEST_CASE("copies follow the changes since the last full read")
{
    entry::SharedTables tables;
    tables.set(FleetTable::Targets, {makeRow("a", "ready", 1), makeRow("b", "ready", 2)});
    tables.apply(FleetTable::Targets, {makeRow("a", "draining", 3), makeTombstone("b", 4)});
    CHECK(contents(tables) == Contents{{"a", "draining"}});
    tables.apply(FleetTable::Targets, {makeRow("c", "ready", 5)});
    CHECK(contents(tables) == Contents{{"a", "draining"}, {"c", "ready"}});
}

TEST_CASE("an older change does not replace a newer row")
{
    entry::SharedTables tables;
    tables.set(FleetTable::Routing, {makeRow("config", "new", 9)});
    tables.apply(FleetTable::Routing, {makeRow("config", "old", 8)});
    CHECK(contents(tables) == Contents{{"config", "new"}});
}

TEST_CASE("a table that was not read in full is not served from its changes")
{
    entry::SharedTables tables;
    tables.apply(FleetTable::Targets, {makeRow("a", "ready", 1)});
    CHECK(tables.allRows().empty());
}
