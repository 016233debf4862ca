#include <geraniumpulley/codec/platform_messages.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <algorithm>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

std::string encodeRecord(const core::LeaseRecord &record)
{
    value encoded = value::object();
    encoded["incarnation"] = value::number(record.incarnation);
    encoded["counter"] = value::number(record.counter);
    encoded["stopping"] = value::boolean(record.stopping);
    return encoded.serialize();
}

std::string encodeRecord(const core::FenceRecord &record)
{
    value encoded = value::object();
    encoded["holder"] = value::string(record.holder.value);
    encoded["incarnation"] = value::number(record.incarnation);
    return encoded.serialize();
}

core::Result<core::FenceRecord> decodeFenceRecord(const std::string &text)
{
    Problems problems;
    const value parsed = detail::parseJson(text, problems);
    JsonReader reader(parsed, "", problems);
    core::FenceRecord record;
    record.holder.value = reader.readString("holder");
    record.incarnation = reader.readNumber("incarnation");
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return record;
}

} // namespace

std::string leaseRowKey(const core::NodeId &node)
{
    return "lease/" + node.value;
}

TableTransaction leaseTransaction(const core::CommitLeases &commit)
{
    TableTransaction transaction;
    const std::string ownKey = leaseRowKey(commit.self);
    transaction.checks.push_back({ownKey, core::number(commit.expectedVersion)});
    transaction.writes.push_back({ownKey, encodeRecord(commit.renewal)});
    for (const core::FenceChange &change : commit.changes) {
        const core::FenceRow &expectedRow = change.expectedRow;
        const RowCheck check = fenceCheck(expectedRow.shard, expectedRow.fence);
        transaction.checks.push_back(check);
        if (change.holderLeaseVersion)
            transaction.checks.push_back({leaseRowKey(expectedRow.record.holder),
                                          core::number(*change.holderLeaseVersion)});
        transaction.writes.push_back({check.key, encodeRecord(change.newRecord)});
    }
    return transaction;
}

core::Result<core::LeaseRecord> decodeLeaseRecord(const std::string &text)
{
    Problems problems;
    const value parsed = detail::parseJson(text, problems);
    JsonReader reader(parsed, "", problems);
    core::LeaseRecord record;
    record.incarnation = reader.readNumber("incarnation");
    record.counter = reader.readNumber("counter");
    record.stopping = reader.readBool("stopping", false);
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return record;
}

core::Result<std::vector<core::FenceRow>> decodeFenceRows(const std::vector<TableRow> &rows)
{
    const std::vector<core::Shard> shards = core::allShards();
    std::vector<core::FenceRow> fences;
    for (const TableRow &row : rows) {
        const auto shard = std::find_if(shards.begin(), shards.end(), [&](const auto &candidate) {
            return row.key == fenceRowPrefix + core::nameOf(candidate);
        });
        if (shard == shards.end())
            continue;
        auto record = decodeFenceRecord(row.value);
        if (!record)
            return record.error();
        fences.push_back({*shard, std::move(record.value()), core::FencingToken{row.version}});
    }
    return fences;
}

} // namespace geraniumpulley::codec
