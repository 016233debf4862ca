#include <geraniumpulley/core/entry/stream_origins.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

void expireOrigins(StreamOrigins &streams, Time now)
{
    while (!streams.order.empty()) {
        const auto position = streams.origins.find(streams.order.front());
        if (position != streams.origins.end()) {
            if (position->second.expiresAt > now
                && streams.origins.size() <= streams.settings.maxOrigins)
                return;
            // Beyond the limit the removal is left to the sweep.
            if (streams.expired.size() < streams.settings.maxOrigins)
                streams.expired.push_back(position->first);
            streams.origins.erase(position);
        }
        streams.order.pop_front();
    }
}

// Whether the store takes an id as a key. It would refuse the other origins of the write, too.
bool isKey(const std::string &id, std::size_t maxBytes)
{
    return id.size() <= maxBytes && std::all_of(id.begin(), id.end(), [](char character) {
               return character > ' ' && character <= '~';
           });
}

// A few expired origins wait for the next write of new ones.
bool isWriteWorthwhile(const StreamOrigins &streams)
{
    return !streams.unstored.empty() || streams.expired.size() >= streams.settings.maxRemovals;
}

} // namespace

void recordStreamOrigin(StreamOrigins &streams, const StreamOrigin &origin, Time now)
{
    if (!isKey(origin.requestId, streams.settings.maxIdBytes))
        return;
    const auto [position, isNew] = streams.origins.emplace(
            origin.requestId, KnownOrigin{origin.software, now + streams.settings.retention});
    if (!isNew)
        return;
    streams.order.push_back(origin.requestId);
    streams.unstored.push_back(origin.requestId);
    if (streams.unstored.size() > streams.settings.maxOrigins)
        streams.unstored.pop_front();
    expireOrigins(streams, now);
}

std::optional<SoftwareVersion> findStreamOrigin(const StreamOrigins &streams,
                                                const std::string &requestId)
{
    const auto position = streams.origins.find(requestId);
    if (position == streams.origins.end())
        return std::nullopt;
    return position->second.software;
}

std::optional<StoreStreamOrigins> dueOriginWrite(StreamOrigins &streams, std::size_t nodeCount,
                                                 Time now)
{
    if (streams.write || now < streams.nextWriteAt)
        return std::nullopt;
    expireOrigins(streams, now);
    if (!isWriteWorthwhile(streams))
        return std::nullopt;
    const StreamOriginSettings &settings = streams.settings;
    StoreStreamOrigins write;
    write.retention = settings.retention;
    while (!streams.unstored.empty() && write.origins.size() < settings.maxWrites) {
        const std::string id = std::move(streams.unstored.front());
        streams.unstored.pop_front();
        // An origin that expired in the meantime is not written any more.
        if (const auto software = findStreamOrigin(streams, id))
            write.origins.push_back({id, *software});
    }
    while (!streams.expired.empty() && write.expiredIds.size() < settings.maxRemovals) {
        write.expiredIds.push_back(std::move(streams.expired.back()));
        streams.expired.pop_back();
    }
    if (write.origins.empty() && write.expiredIds.empty())
        return std::nullopt;
    streams.nextWriteAt = now + settings.writePause
                          + settings.writePausePerNode * static_cast<std::int64_t>(nodeCount);
    streams.write = write;
    return write;
}

void recordOriginWrite(StreamOrigins &streams, bool succeeded)
{
    if (!streams.write)
        return;
    const StoreStreamOrigins write = std::move(*streams.write);
    streams.write.reset();
    if (succeeded)
        return;
    // Writes and removals are repeated as they were, so a late effect of the first try is harmless.
    for (const StreamOrigin &origin : write.origins)
        streams.unstored.push_back(origin.requestId);
    streams.expired.insert(streams.expired.end(), write.expiredIds.begin(), write.expiredIds.end());
}

std::optional<Time> dueAt(const StreamOrigins &streams)
{
    if (streams.write || !isWriteWorthwhile(streams))
        return std::nullopt;
    return streams.nextWriteAt;
}

} // namespace geraniumpulley::core
