#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Values of the rows that this system keeps for itself (MessagePack). The rows' keys and versions
/// belong to whoever reads them.
namespace geraniumpulley::codec {

std::string encodeHead(const core::BatchHead &head);
core::Result<core::BatchHead> decodeHead(const core::BatchId &id, const std::string &bytes,
                                         core::RowVersion version);

std::string encodeResult(const core::ItemResult &result);
core::Result<core::ItemResult> decodeResult(const std::string &bytes);

std::string encodePartial(const core::PartialText &partial);
core::Result<core::PartialText> decodePartial(const std::string &bytes);

std::string encodeBeat(const core::NodeBeat &beat);
core::Result<core::NodeBeat> decodeBeat(const std::string &bytes);

std::string encodeOrdersLease(const core::OrdersLease &lease);
core::Result<core::OrdersLease> decodeOrdersLease(const std::string &bytes,
                                                  core::RowVersion version);

/// A submitted body with the host and path that it came with.
struct SubmittedBody
{
    std::string host;
    std::string path;
    std::string body;
};

std::string encodeSubmitted(const SubmittedBody &submitted);
core::Result<SubmittedBody> decodeSubmitted(const std::string &bytes);

/// A row of the store as one node passes it on to another.
struct RowCopy
{
    core::FleetTable table = core::FleetTable::Routing;
    std::string key;
    std::string value;
    core::RowVersion version{};
};

std::string encodeCopies(const std::vector<RowCopy> &rows);
core::Result<std::vector<RowCopy>> decodeCopies(const std::string &bytes);

/// A call to the store that another node makes for one that cannot reach it.
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
