#include "shared_tables.hpp"

#include <utility>

namespace geraniumpulley::entry {

void SharedTables::set(core::FleetTable table, const std::vector<platform::Row> &rows)
{
    RowsByKey copies;
    for (const platform::Row &row : rows) {
        if (!row.removed)
            copies.emplace(row.name.key,
                           codec::RowCopy{table, row.name.key, row.value, row.version});
    }
    const std::lock_guard lock(this->mutex);
    this->tables[table] = std::move(copies);
}

// A node that starts while the store is away would otherwise use targets that have left, or an
// older configuration, since the last full read.
void SharedTables::apply(core::FleetTable table, const std::vector<platform::Row> &changes)
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->tables.find(table);
    if (known == this->tables.end())
        return;
    for (const platform::Row &row : changes) {
        if (row.removed) {
            known->second.erase(row.name.key);
            continue;
        }
        codec::RowCopy &copy = known->second[row.name.key];
        if (copy.version > row.version)
            continue;
        // Most changes are heartbeats with an equal value.
        if (copy.key.empty() || copy.value != row.value)
            copy = {table, row.name.key, row.value, row.version};
        copy.version = row.version;
    }
}

std::vector<codec::RowCopy> SharedTables::allRows() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<codec::RowCopy> rows;
    for (const auto &[table, copies] : this->tables) {
        for (const auto &[key, copy] : copies)
            rows.push_back(copy);
    }
    return rows;
}

} // namespace geraniumpulley::entry
