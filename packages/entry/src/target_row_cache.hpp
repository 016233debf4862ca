#pragma once

#include <geraniumpulley/core/fleet/fleet_target.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// Decodes the rows of targets. A row is decoded again only when its value has changed, because
/// most changes are heartbeats with an equal value. Thread-safe.
class TargetRowCache
{
public:
    using Decoded = core::Result<std::shared_ptr<const core::FleetTarget>>;

    /// Errors: those of `platform::decodeTargetRow`.
    Decoded decode(const platform::Row &row);
    /// Forgets the rows that a full read does not contain.
    void retain(const std::vector<platform::Row> &rows);

private:
    struct Entry
    {
        std::string value;
        std::shared_ptr<const core::FleetTarget> target;
    };

    std::mutex mutex;
    std::map<std::string, Entry> entries;
};

} // namespace geraniumpulley::entry
