#pragma once

#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// The rows of the routing and target tables as this node last read them, served to nodes that
/// cannot read the tables. Thread-safe.
class SharedTables
{
public:
    /// Replaces a table by the rows of a full read.
    void set(core::FleetTable table, const std::vector<platform::Row> &rows);
    /// Applies changes to a table that has been read in full.
    void apply(core::FleetTable table, const std::vector<platform::Row> &changes);
    [[nodiscard]] std::vector<codec::RowCopy> allRows() const;

private:
    using RowsByKey = std::map<std::string, codec::RowCopy>;

    mutable std::mutex mutex;
    std::map<core::FleetTable, RowsByKey> tables;
};

} // namespace geraniumpulley::entry
