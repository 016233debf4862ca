#include "origin_store.hpp"

#include "range_reader.hpp"
#include "table_names.hpp"

#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration writeTimeout = std::chrono::milliseconds(1000);
// Key by which the nodes are ranked for the sweep.
constexpr const char *sweepRankKey = "stream-origins";
constexpr std::uint32_t sweepRows = 500;

platform::RowName originRow(const std::string &requestId)
{
    return {originsTable, "", requestId};
}

// Returns the time on the store's clock; 0 if it is unknown.
core::Duration storeClock(const Parts &parts)
{
    const core::DirectoryPointer directory = parts.directory.get();
    if (!directory || !directory->storeClockOffset)
        return {};
    return runtime::now().time_since_epoch() + *directory->storeClockOffset;
}

void write(Parts &parts, const platform::Transaction &transaction,
           std::function<void(bool succeeded)> done)
{
    parts.storeLink->send({platform::encodeTransaction(transaction), writeTimeout,
                           [done = std::move(done)](StoreReply &&reply) {
                               done(reply.outcome == codec::RelayOutcome::Answered
                                    && reply.status == core::status::ok);
                           }});
}

void removeExpired(Parts &parts, const platform::Rows &rows)
{
    platform::Transaction transaction;
    for (const platform::Row &row : rows.rows) {
        const auto origin = codec::decodeStreamOrigin(row.value);
        const bool isLive = origin && origin.value().expiresAt > rows.clock;
        if (!isLive && transaction.removals.size() < platform::maxTransactionEntries)
            transaction.removals.push_back(row.name);
    }
    if (transaction.removals.empty())
        return;
    const std::size_t count = transaction.removals.size();
    write(parts, transaction, [&parts, count](bool succeeded) {
        parts.logger.write("stream_origins_swept", field("rows", count),
                           field("removed", succeeded));
    });
}

} // namespace

void storeStreamOrigins(Parts &parts, const core::StoreStreamOrigins &action)
{
    const core::Duration clock = storeClock(parts);
    const core::Duration expiresAt =
            clock > core::Duration{} ? clock + action.retention : core::Duration{};
    platform::Transaction transaction;
    for (const core::StreamOrigin &origin : action.origins)
        transaction.writes.push_back({originRow(origin.requestId),
                                      codec::encodeStreamOrigin({origin.software, expiresAt})});
    for (const std::string &requestId : action.expiredIds)
        transaction.removals.push_back(originRow(requestId));
    write(parts, transaction,
          [&parts](bool succeeded) { parts.calls.deliver(core::StreamOriginsStored{succeeded}); });
}

void findStreamOrigin(Parts &parts, const core::FindStreamOrigin &action)
{
    readRange(*parts.storeLink, {originsTable, "", action.requestId, action.requestId + '\x01', 1},
              [&parts, action](std::optional<platform::Rows> &&rows) {
                  core::StreamOriginFound found{action.reply, std::nullopt};
                  if (rows && !rows->rows.empty()) {
                      if (auto origin = codec::decodeStreamOrigin(rows->rows.front().value))
                          found.software = std::move(origin.value().software);
                  }
                  parts.logger.write(
                          "stream_origin_read", field("request", action.requestId),
                          field("answered", rows.has_value()),
                          field("software", found.software ? found.software->value : "-"));
                  parts.calls.deliver(std::move(found));
              });
}

void sweepStreamOrigins(Parts &parts, const std::shared_ptr<std::string> &firstKey)
{
    const core::DirectoryPointer directory = parts.directory.get();
    if (core::takeoverRank(directory->presence, sweepRankKey, runtime::now()) != 0)
        return;
    readRange(*parts.storeLink, {originsTable, "", *firstKey, {}, sweepRows},
              [&parts, firstKey](std::optional<platform::Rows> &&rows) {
                  if (!rows)
                      return;
                  *firstKey = rows->rows.size() < sweepRows ? std::string()
                                                            : rows->rows.back().name.key + '\x01';
                  removeExpired(parts, *rows);
              });
}

} // namespace geraniumpulley::entry
