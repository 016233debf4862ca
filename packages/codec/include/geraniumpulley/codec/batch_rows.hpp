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

std::string encodeHead(const core::BatchHead &head);
core::Result<core::BatchHead> decodeHead(const core::BatchId &id, const std::string &bytes,
                                         core::RowVersion version);

std::string encodeResult(const core::ItemResult &result);
core::Result<core::ItemResult> decodeResult(const std::string &bytes);

std::string encodePartial(const core::PartialText &partial);
core::Result<core::PartialText> decodePartial(const std::string &bytes);

std::string encodeBeat(const core::NodeBeat &heartbeat);
core::Result<core::NodeBeat> decodeBeat(const std::string &bytes);

std::string encodeOrdersLease(const core::OrdersLease &lease);
core::Result<core::OrdersLease> decodeOrdersLease(const std::string &bytes,
                                                  core::RowVersion version);

/// The body of a submission, with the host and path of the request that carried it.
struct SubmittedBody
{
    std::string host;
    std::string path;
    std::string body;
};

std::string encodeSubmitted(const SubmittedBody &submitted);
core::Result<SubmittedBody> decodeSubmitted(const std::string &bytes);

/// A store row as one node forwards it to another.
struct RowCopy
{
    core::FleetTable table = core::FleetTable::Routing;
    std::string key;
    std::string value;
    core::RowVersion version{};
};

std::string encodeCopies(const std::vector<RowCopy> &rows);
core::Result<std::vector<RowCopy>> decodeCopies(const std::string &bytes);

/// A store call that a peer makes on behalf of a node that cannot reach the store.
struct RelayedCall
{
    std::string method;
    std::string target;
    std::string body;
    core::Duration timeLeft{};
};

enum class RelayOutcome { Answered, NotSent, Lost };

struct RelayedReply
{
    RelayOutcome outcome = RelayOutcome::Lost;
    std::uint32_t status = 0;
    std::string body;
};

std::string encodeRelay(const RelayedCall &call);
core::Result<RelayedCall> decodeRelayedCall(const std::string &bytes);
std::string encodeRelay(const RelayedReply &reply);
core::Result<RelayedReply> decodeRelayedReply(const std::string &bytes);

} // namespace geraniumpulley::codec
