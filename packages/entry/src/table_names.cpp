#include "table_names.hpp"

#include <geraniumpulley/core/transaction_budget.hpp>

#include <fmt/format.h>

namespace geraniumpulley::entry {

platform::RowName headRow(const core::BatchId &id)
{
    return {batchesTable, "", headPrefix + id.value};
}

platform::RowName ownerRow(const core::BatchId &id)
{
    return {contentsTable, id.value, ownerKey};
}

// Keys are ordered bytewise, so numbers are padded to a fixed width.
platform::RowName numberedRow(const core::BatchId &id, const char *prefix, std::size_t number,
                              std::size_t chunk)
{
    return {contentsTable, id.value, fmt::format("{}{:08}/{:03}", prefix, number, chunk)};
}

platform::RowName resultRow(const core::BatchId &id, std::uint64_t position, std::size_t chunk)
{
    return numberedRow(id, resultPrefix, position, chunk);
}

void addChunks(platform::Transaction &transaction, const core::BatchId &id, const char *prefix,
               std::size_t number, const std::string &value)
{
    std::size_t chunk = 0;
    for (std::size_t offset = 0; chunk == 0 || offset < value.size(); offset += core::maxRowBytes)
        transaction.writes.push_back({numberedRow(id, prefix, number, chunk++),
                                      value.substr(offset, core::maxRowBytes)});
}

} // namespace geraniumpulley::entry
