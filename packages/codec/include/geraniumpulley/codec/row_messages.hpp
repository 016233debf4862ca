#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Encodings of the values of store rows, and of the messages that carry rows and store calls
/// between nodes (MessagePack). A row's value contains neither its key nor its version; the reader
/// of the row supplies them.
namespace geraniumpulley::codec {

std::string encodeBatchHead(const core::BatchHead &head);
core::Result<core::BatchHead> decodeBatchHead(const core::BatchId &id, const std::string &bytes,
                                              core::RowVersion version);

std::string encodeItemResult(const core::ItemResult &result);
core::Result<core::ItemResult> decodeItemResult(const std::string &bytes);

std::string encodePartialText(const core::PartialText &partial);
core::Result<core::PartialText> decodePartialText(const std::string &bytes);

/// The software that began a stream, as it is stored under the id of the client's attempt.
struct StoredOrigin
{
    core::SoftwareVersion software;
    core::Duration expiresAt{}; ///< On the store's clock; 0 if that was unknown.

    bool operator==(const StoredOrigin &) const = default;
};

std::string encodeStreamOrigin(const StoredOrigin &origin);
core::Result<StoredOrigin> decodeStreamOrigin(const std::string &bytes);

/// The key of a crash record's row names the request and the target, its value the expiry.
std::string crashRecordKey(const core::CrashRecord &record);
bool isCrashRecordKey(const std::string &key);
std::string encodeCrashRecord(const core::CrashRecord &record);
core::Result<core::CrashRecord> decodeCrashRecord(const std::string &key, const std::string &bytes);

/// Crash records as one node sends them to another.
std::string encodeCrashRecords(const std::vector<core::CrashRecord> &records);
core::Result<std::vector<core::CrashRecord>> decodeCrashRecords(const std::string &bytes);

std::string encodeHeartbeat(const core::NodeHeartbeat &heartbeat);
core::Result<core::NodeHeartbeat> decodeHeartbeat(const std::string &bytes);

std::string encodeLeaseInUse(const core::LeaseInUse &inUse);
core::Result<core::LeaseInUse> decodeLeaseInUse(const std::string &bytes);

std::string encodeWeightOrderLease(const core::WeightOrderLease &lease);
core::Result<core::WeightOrderLease> decodeWeightOrderLease(const std::string &bytes,
                                                            core::RowVersion version);

/// The body of a submission, with the host and path of the request that carried it.
struct SubmittedBody
{
    std::string host;
    std::string path;
    std::string body;
};

std::string encodeSubmittedBody(const SubmittedBody &submitted);
core::Result<SubmittedBody> decodeSubmittedBody(const std::string &bytes);

/// A store row as one node forwards it to another.
struct RowCopy
{
    core::FleetTable table = core::FleetTable::Routing;
    std::string key;
    std::string value;
    core::RowVersion version{};
};

std::string encodeRowCopies(const std::vector<RowCopy> &rows);
core::Result<std::vector<RowCopy>> decodeRowCopies(const std::string &bytes);

/// A store call that a peer makes on behalf of a node that cannot reach the store.
struct RelayedCall
{
    std::string method;
    std::string requestTarget;
    std::string body;
    core::Duration timeLeft{};
};

enum class RelayOutcome { Answered, NotSent, AnswerLost };

struct RelayedReply
{
    RelayOutcome outcome = RelayOutcome::AnswerLost;
    std::uint32_t status = 0;
    std::string body;
};

std::string encodeRelay(const RelayedCall &call);
core::Result<RelayedCall> decodeRelayedCall(const std::string &bytes);
std::string encodeRelay(const RelayedReply &reply);
core::Result<RelayedReply> decodeRelayedReply(const std::string &bytes);

} // namespace geraniumpulley::codec
