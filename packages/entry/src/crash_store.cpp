#include "crash_store.hpp"

#include "peer_paths.hpp"
#include "table_names.hpp"

#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration writeTimeout = std::chrono::milliseconds(1000);
constexpr core::Duration peerTimeout = std::chrono::milliseconds(500);

platform::RowName rowOf(const core::CrashRecord &record)
{
    return {batchesTable, "", codec::crashRecordKey(record)};
}

void sendToPeers(Parts &parts, const std::vector<core::CrashRecord> &records)
{
    if (records.empty())
        return;
    const core::DirectoryPointer directory = parts.directory.get();
    const std::string message = codec::encodeCrashRecords(records);
    const core::Time now = runtime::now();
    for (const core::Node &node : core::liveNodes(directory->presence, now)) {
        if (node.id != directory->presence.self)
            parts.peerLink->send(
                    {node.address, crashesPath, message, now + peerTimeout, [](auto &&) {}});
    }
}

} // namespace

void storeCrashRecords(Parts &parts, const core::StoreCrashRecords &action)
{
    platform::Transaction transaction;
    for (const core::CrashRecord &record : action.records)
        transaction.writes.push_back({rowOf(record), codec::encodeCrashRecord(record)});
    for (const core::CrashRecord &record : action.removals)
        transaction.removals.push_back(rowOf(record));
    parts.storeLink->send({platform::encodeTransaction(transaction), writeTimeout,
                           [&parts, action](StoreReply &&reply) {
                               const bool succeeded = reply.outcome == codec::RelayOutcome::Answered
                                                      && reply.status == core::status::ok;
                               parts.logger.write("crash_records_stored",
                                                  field("records", action.records.size()),
                                                  field("removals", action.removals.size()),
                                                  field("succeeded", succeeded));
                               if (!succeeded)
                                   sendToPeers(parts, action.records);
                               parts.calls.deliver(core::CrashRecordsStored{succeeded});
                           }});
}

bool receiveCrashRecords(Parts &parts, const net::PeerMessage &message)
{
    auto records = codec::decodeCrashRecords(message.body);
    parts.peerLink->reply(message.token, {});
    if (!records) {
        parts.logger.write("crash_records_malformed", field("error", records.error().message()));
        return true;
    }
    return parts.calls.inbox().tryPush(core::CrashRecordsReceived{std::move(records.value())});
}

} // namespace geraniumpulley::entry
