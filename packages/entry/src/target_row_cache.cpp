#include "target_row_cache.hpp"

#include <geraniumpulley/platform/directory_rows.hpp>

#include <set>
#include <string_view>
#include <utility>

namespace geraniumpulley::entry {

TargetRowCache::Decoded TargetRowCache::decode(const platform::Row &row)
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->entries.find(row.name.key);
    if (known != this->entries.end() && known->second.value == row.value)
        return known->second.target;
    auto decoded = platform::decodeTargetRow(row.name.key, row.value);
    if (!decoded)
        return decoded.error();
    auto target = std::make_shared<const core::FleetTarget>(std::move(decoded.value()));
    this->entries[row.name.key] = {row.value, target};
    return target;
}

void TargetRowCache::retain(const std::vector<platform::Row> &rows)
{
    std::set<std::string_view> keys;
    for (const platform::Row &row : rows)
        keys.insert(row.name.key);
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&](const auto &entry) { return keys.count(entry.first) == 0; });
}

} // namespace geraniumpulley::entry
