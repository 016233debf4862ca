#include <geraniumpulley/codec/row_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/error.hpp>

#include <charconv>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace geraniumpulley::codec {
namespace {

using detail::pack;
using detail::unpack;

using BatchHeadWire = std::tuple<std::string, std::uint64_t, bool, std::uint32_t, std::int64_t,
                                 std::string, std::uint64_t, std::uint64_t>;
using ItemResultWire =
        std::tuple<std::string, bool, std::string, std::vector<std::uint64_t>, std::string>;
using PartialTextWire = std::tuple<std::uint32_t, std::string, std::uint64_t,
                                   std::vector<std::uint64_t>, std::string>;
using StreamOriginWire = std::tuple<std::string, std::int64_t>;
using CrashRecordWire = std::tuple<std::int64_t>;
using CrashRecordsWire = std::tuple<std::vector<std::tuple<std::string, std::int64_t>>>;
using HeartbeatWire = std::tuple<std::string, std::string, std::string, std::uint64_t,
                                 std::uint64_t, bool, std::uint32_t>;
using ReachWire = std::tuple<bool>;
using LongHeartbeatWire =
        decltype(std::tuple_cat(std::declval<HeartbeatWire>(), std::declval<ReachWire>()));
using WeightOrderLeaseWire = std::tuple<std::string, std::uint64_t>;
using LeaseInUseWire = std::tuple<std::uint64_t>;
using SubmittedBodyWire = std::tuple<std::string, std::string, std::string>;
using RowCopyWire = std::tuple<int, std::string, std::string, std::uint64_t>;
using RowCopiesWire = std::tuple<std::vector<RowCopyWire>>;
using RelayedCallWire = std::tuple<std::string, std::string, std::string, std::int64_t>;
using RelayedReplyWire = std::tuple<int, std::uint32_t, std::string>;

// Keys have the form "crash/REQUEST/STARTED_AT/TARGET".
constexpr std::string_view crashKeyPrefix = "crash/";

std::vector<std::uint64_t> toWire(const std::vector<core::WeightVersion> &versions)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(versions.size());
    for (const core::WeightVersion version : versions)
        numbers.push_back(core::number(version));
    return numbers;
}

std::vector<core::WeightVersion> fromWire(const std::vector<std::uint64_t> &numbers)
{
    std::vector<core::WeightVersion> versions;
    versions.reserve(numbers.size());
    for (const std::uint64_t number : numbers)
        versions.push_back(core::WeightVersion{number});
    return versions;
}

} // namespace

std::string encodeBatchHead(const core::BatchHead &head)
{
    return pack(BatchHeadWire{head.owner.value, head.ownerIncarnation, head.ended, head.itemCount,
                              head.submittedAt.count(), head.model, core::number(head.minVersion),
                              head.expectedTokens});
}

core::Result<core::BatchHead> decodeBatchHead(const core::BatchId &id, const std::string &bytes,
                                              core::RowVersion version)
{
    const auto wire = unpack<BatchHeadWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[owner, incarnation, ended, itemCount, submittedAt, model, minVersion,
                 expectedTokens] = wire.value();
    core::BatchHead head;
    head.id = id;
    head.owner = {owner};
    head.ownerIncarnation = incarnation;
    head.ended = ended;
    head.itemCount = itemCount;
    head.submittedAt = core::Duration(submittedAt);
    head.model = model;
    head.minVersion = core::WeightVersion{minVersion};
    head.expectedTokens = expectedTokens;
    head.version = version;
    return head;
}

std::string encodeItemResult(const core::ItemResult &result)
{
    return pack(ItemResultWire{result.id.value, result.outcome == core::ItemOutcome::Completed,
                               result.text, toWire(result.versions), result.score});
}

core::Result<core::ItemResult> decodeItemResult(const std::string &bytes)
{
    auto wire = unpack<ItemResultWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[id, completed, text, versions, score] = wire.value();
    return core::ItemResult{{std::move(id)},
                            completed ? core::ItemOutcome::Completed : core::ItemOutcome::Lost,
                            std::move(text),
                            fromWire(versions),
                            std::move(score)};
}

std::string encodePartialText(const core::PartialText &partial)
{
    return pack(PartialTextWire{partial.itemIndex, partial.text, partial.lastEventId,
                                toWire(partial.versions), partial.software.value});
}

core::Result<core::PartialText> decodePartialText(const std::string &bytes)
{
    auto wire = unpack<PartialTextWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[itemIndex, text, lastEventId, versions, software] = wire.value();
    return core::PartialText{
            itemIndex, std::move(text), lastEventId, fromWire(versions), {std::move(software)}};
}

std::string encodeStreamOrigin(const StoredOrigin &origin)
{
    return pack(StreamOriginWire{origin.software.value, origin.expiresAt.count()});
}

core::Result<StoredOrigin> decodeStreamOrigin(const std::string &bytes)
{
    auto wire = unpack<StreamOriginWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[software, expiresAt] = wire.value();
    return StoredOrigin{{std::move(software)}, core::Duration(expiresAt)};
}

std::string crashRecordKey(const core::CrashRecord &record)
{
    std::string key(crashKeyPrefix);
    key.append(record.request.value).append("/");
    key.append(std::to_string(record.crashed.startedAt)).append("/");
    return key.append(record.crashed.target.value);
}

bool isCrashRecordKey(const std::string &key)
{
    return key.starts_with(crashKeyPrefix);
}

std::string encodeCrashRecord(const core::CrashRecord &record)
{
    return pack(CrashRecordWire{record.expiresAt.count()});
}

core::Result<core::CrashRecord> decodeCrashRecord(const std::string &key, const std::string &bytes)
{
    const auto wire = unpack<CrashRecordWire>(bytes);
    if (!wire)
        return wire.error();
    const std::size_t start = key.find('/', crashKeyPrefix.size());
    const std::size_t target = start == std::string::npos ? start : key.find('/', start + 1);
    if (!isCrashRecordKey(key) || target == std::string::npos)
        return make_error_code(Errc::SchemaMismatch);
    core::CrashRecord record;
    record.request = {key.substr(crashKeyPrefix.size(), start - crashKeyPrefix.size())};
    const char *const first = key.data() + start + 1;
    const char *const last = key.data() + target;
    const auto [end, error] = std::from_chars(first, last, record.crashed.startedAt);
    if (error != std::errc{} || end != last)
        return make_error_code(Errc::SchemaMismatch);
    record.crashed.target = {key.substr(target + 1)};
    record.expiresAt = core::Duration(std::get<0>(wire.value()));
    return record;
}

std::string encodeCrashRecords(const std::vector<core::CrashRecord> &records)
{
    CrashRecordsWire wire;
    for (const core::CrashRecord &record : records)
        std::get<0>(wire).emplace_back(crashRecordKey(record), record.expiresAt.count());
    return pack(wire);
}

core::Result<std::vector<core::CrashRecord>> decodeCrashRecords(const std::string &bytes)
{
    const auto wire = unpack<CrashRecordsWire>(bytes);
    if (!wire)
        return wire.error();
    std::vector<core::CrashRecord> records;
    for (const auto &[key, expiresAt] : std::get<0>(wire.value())) {
        auto record = decodeCrashRecord(key, pack(CrashRecordWire{expiresAt}));
        if (!record)
            return record.error();
        records.push_back(std::move(record.value()));
    }
    return records;
}

// Only a node that reaches no target writes the additional field, which earlier builds do not read:
// to them such a node is dead.
std::string encodeHeartbeat(const core::NodeHeartbeat &heartbeat)
{
    const HeartbeatWire wire{heartbeat.node.id.value,     heartbeat.node.address,
                             heartbeat.node.dataCentre,   heartbeat.node.incarnation,
                             heartbeat.counter,           heartbeat.leaving,
                             heartbeat.capacityMillicores};
    if (heartbeat.reachesTargets)
        return pack(wire);
    return pack(std::tuple_cat(wire, ReachWire{heartbeat.reachesTargets}));
}

core::Result<core::NodeHeartbeat> decodeHeartbeat(const std::string &bytes)
{
    const auto decode = [](const auto &wire) {
        core::NodeHeartbeat heartbeat;
        heartbeat.node = {
                {std::get<0>(wire)}, std::get<1>(wire), std::get<2>(wire), std::get<3>(wire)};
        heartbeat.counter = std::get<4>(wire);
        heartbeat.leaving = std::get<5>(wire);
        heartbeat.capacityMillicores = std::get<6>(wire);
        return heartbeat;
    };
    if (const auto wire = unpack<HeartbeatWire>(bytes))
        return decode(wire.value());
    const auto wire = unpack<LongHeartbeatWire>(bytes);
    if (!wire)
        return wire.error();
    core::NodeHeartbeat heartbeat = decode(wire.value());
    heartbeat.reachesTargets = std::get<7>(wire.value());
    return heartbeat;
}

std::string encodeWeightOrderLease(const core::WeightOrderLease &lease)
{
    return pack(WeightOrderLeaseWire{lease.holder.value, lease.incarnation});
}

core::Result<core::WeightOrderLease> decodeWeightOrderLease(const std::string &bytes,
                                                            core::RowVersion version)
{
    const auto wire = unpack<WeightOrderLeaseWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[holder, incarnation] = wire.value();
    return core::WeightOrderLease{{holder}, incarnation, version};
}

std::string encodeLeaseInUse(const core::LeaseInUse &inUse)
{
    return pack(LeaseInUseWire{static_cast<std::uint64_t>(inUse.lease)});
}

core::Result<core::LeaseInUse> decodeLeaseInUse(const std::string &bytes)
{
    const auto wire = unpack<LeaseInUseWire>(bytes);
    if (!wire)
        return wire.error();
    return core::LeaseInUse{core::RowVersion{std::get<0>(wire.value())}};
}

std::string encodeSubmittedBody(const SubmittedBody &submitted)
{
    return pack(SubmittedBodyWire{submitted.host, submitted.path, submitted.body});
}

core::Result<SubmittedBody> decodeSubmittedBody(const std::string &bytes)
{
    auto wire = unpack<SubmittedBodyWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[host, path, body] = wire.value();
    return SubmittedBody{std::move(host), std::move(path), std::move(body)};
}

std::string encodeRowCopies(const std::vector<RowCopy> &rows)
{
    std::vector<RowCopyWire> wire;
    wire.reserve(rows.size());
    for (const RowCopy &row : rows)
        wire.emplace_back(static_cast<int>(row.table), row.key, row.value,
                          static_cast<std::uint64_t>(row.version));
    return pack(RowCopiesWire{std::move(wire)});
}

core::Result<std::vector<RowCopy>> decodeRowCopies(const std::string &bytes)
{
    auto wire = unpack<RowCopiesWire>(bytes);
    if (!wire)
        return wire.error();
    std::vector<RowCopy> rows;
    rows.reserve(std::get<0>(wire.value()).size());
    for (auto &[table, key, value, version] : std::get<0>(wire.value())) {
        if (table < 0 || table >= static_cast<int>(core::fleetTableCount))
            return make_error_code(Errc::SchemaMismatch);
        rows.push_back({static_cast<core::FleetTable>(table), std::move(key), std::move(value),
                        core::RowVersion{version}});
    }
    return rows;
}

std::string encodeRelay(const RelayedCall &call)
{
    return pack(RelayedCallWire{call.method, call.requestTarget, call.body, call.timeLeft.count()});
}

core::Result<RelayedCall> decodeRelayedCall(const std::string &bytes)
{
    auto wire = unpack<RelayedCallWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[method, requestTarget, body, timeLeft] = wire.value();
    return RelayedCall{std::move(method), std::move(requestTarget), std::move(body),
                       core::Duration(timeLeft)};
}

std::string encodeRelay(const RelayedReply &reply)
{
    return pack(RelayedReplyWire{static_cast<int>(reply.outcome), reply.status, reply.body});
}

core::Result<RelayedReply> decodeRelayedReply(const std::string &bytes)
{
    auto wire = unpack<RelayedReplyWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[outcome, status, body] = wire.value();
    if (outcome < 0 || outcome > static_cast<int>(RelayOutcome::AnswerLost))
        return make_error_code(Errc::SchemaMismatch);
    return RelayedReply{static_cast<RelayOutcome>(outcome), status, std::move(body)};
}

} // namespace geraniumpulley::codec
