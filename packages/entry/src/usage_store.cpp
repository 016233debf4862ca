#include "usage_store.hpp"

#include "range_reader.hpp"
#include "table_names.hpp"

#include <geraniumpulley/codec/leader_messages.hpp>
#include <geraniumpulley/core/http_status.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration writeTimeout = std::chrono::milliseconds(1200);
// Each partition applies its writes one after the other, and the leader reads each of them for each
// window.
constexpr std::uint64_t countPartitions = 8;
constexpr const char *reportPartition = "reports";

std::string countPartition(std::uint64_t index)
{
    return fmt::format("counts-{}", index);
}

// Keys are ordered bytewise, so numbers are padded to a fixed width.
std::string windowKey(core::UsageWindow window)
{
    return fmt::format("{:012}", core::number(window));
}

// The first key behind those that begin with the window's.
std::string windowEndKey(core::UsageWindow window)
{
    return windowKey(window) + '0'; // The character behind '/'.
}

void logUnreadable(Parts &parts, const platform::Row &row, const std::error_code &error)
{
    parts.logger.write("usage_row_unreadable", field("key", row.name.key),
                       field("error", error.message()));
}

// The sum of the rows of all partitions, as they arrive on the threads of the network.
struct CountsReader
{
    std::atomic<std::uint64_t> openReads{countPartitions};
    std::mutex mutex;
    bool succeeded = true; // Guarded by the mutex, like the sum.
    core::UsageCounts sum;
};

} // namespace

void storeUsageCounts(Parts &parts, const core::NodeId &self, std::uint64_t incarnation,
                      const core::StoreUsageCounts &action)
{
    const std::uint64_t hash = XXH3_64bits(self.value.data(), self.value.size());
    platform::Transaction transaction;
    transaction.writes.push_back(
            {{usageTable, countPartition(hash % countPartitions),
              fmt::format("{}/{}/{}", windowKey(action.window), self.value, incarnation)},
             codec::encodeUsageCounts(action.counts)});
    parts.storeLink->send({platform::encodeTransaction(transaction), writeTimeout,
                           [&parts, window = action.window](StoreReply &&reply) {
                               const bool succeeded = reply.outcome == codec::RelayOutcome::Answered
                                                      && reply.status == core::status::ok;
                               parts.leader.deliver(core::UsageCountsStored{window, succeeded});
                           }});
}

void findUsageReport(Parts &parts, const core::FindUsageReport &action)
{
    const std::string key = windowKey(action.window);
    readRange(*parts.storeLink, {usageTable, reportPartition, key, windowEndKey(action.window)},
              [&parts, window = action.window](std::optional<platform::Rows> &&rows) {
                  core::UsageReportFound found{window, rows.has_value(), std::nullopt};
                  if (rows && !rows->rows.empty()) {
                      auto counts = codec::decodeUsageCounts(rows->rows.front().value);
                      found.succeeded = counts.has_value();
                      if (counts)
                          found.counts = std::move(counts.value());
                      else
                          logUnreadable(parts, rows->rows.front(), counts.error());
                  }
                  parts.leader.deliver(std::move(found));
              });
}

void readUsageCounts(Parts &parts, const core::ReadUsageCounts &action)
{
    const auto reader = std::make_shared<CountsReader>();
    for (std::uint64_t i = 0; i < countPartitions; ++i) {
        readRange(*parts.storeLink,
                  {usageTable, countPartition(i), windowKey(action.window),
                   windowEndKey(action.window)},
                  [&parts, reader, window = action.window](std::optional<platform::Rows> &&rows) {
                      {
                          const std::lock_guard lock(reader->mutex);
                          reader->succeeded = reader->succeeded && rows.has_value();
                          for (const platform::Row &row :
                               rows ? rows->rows : std::vector<platform::Row>{}) {
                              const auto counts = codec::decodeUsageCounts(row.value);
                              if (counts)
                                  core::addCounts(reader->sum, counts.value());
                              else
                                  logUnreadable(parts, row, counts.error());
                          }
                      }
                      if (reader->openReads.fetch_sub(1) == 1)
                          parts.leader.deliver(core::UsageCountsRead{window, reader->succeeded,
                                                                     std::move(reader->sum)});
                  });
    }
}

void decideUsageReport(Parts &parts, const core::DecideUsageReport &action)
{
    const platform::RowName row{usageTable, reportPartition, windowKey(action.window)};
    platform::Transaction transaction;
    transaction.conditions.push_back({row, core::RowVersion{}});
    transaction.writes.push_back({row, codec::encodeUsageCounts(action.counts)});
    parts.storeLink->send(
            {platform::encodeTransaction(transaction), writeTimeout,
             [&parts, window = action.window](StoreReply &&reply) {
                 core::StoreOutcome outcome = core::StoreOutcome::Unknown;
                 if (reply.outcome == codec::RelayOutcome::Answered)
                     outcome = platform::decodeTransactionReply(reply.status, reply.body).outcome;
                 else if (reply.outcome == codec::RelayOutcome::NotSent)
                     outcome = core::StoreOutcome::NotCommitted;
                 parts.leader.deliver(core::UsageReportDecided{window, outcome});
             }});
}

void removeUsageRows(Parts &parts, const core::RemoveUsageRows &action)
{
    std::vector<std::string> partitions{reportPartition};
    for (std::uint64_t i = 0; i < countPartitions; ++i)
        partitions.push_back(countPartition(i));
    for (std::string &partition : partitions) {
        platform::RowRange range{usageTable, std::move(partition), {}, windowKey(action.before)};
        range.limit = static_cast<std::uint32_t>(platform::maxTransactionEntries);
        readRange(*parts.storeLink, std::move(range),
                  [&parts](std::optional<platform::Rows> &&rows) {
                      if (!rows || rows->rows.empty())
                          return;
                      platform::Transaction transaction;
                      for (const platform::Row &row : rows->rows)
                          transaction.removals.push_back(row.name);
                      // Rows that stay are removed by the next call.
                      parts.storeLink->send({platform::encodeTransaction(transaction), writeTimeout,
                                             [](StoreReply &&) {}});
                  });
    }
}

} // namespace geraniumpulley::entry
