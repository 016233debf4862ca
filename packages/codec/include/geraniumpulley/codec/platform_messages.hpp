#pragma once

#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/lease_manager.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/result.hpp>

#include <optional>
#include <string>
#include <vector>

/// Bodies of the platform's table service, object store and list of VMs (JSON).
namespace geraniumpulley::codec {

/// One row to write in a transaction.
struct RowWrite
{
    std::string key;
    std::string value;
};

/// A row's version that a transaction depends on; 0 means that the row does not exist.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

struct TableTransaction
{
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
    std::vector<std::string> deletes = {}; ///< Keys of rows to delete.
};

struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Rises by one with each write of the row.
};

std::string encodeTransaction(const TableTransaction &transaction);
core::Result<std::vector<TableRow>> decodeRows(const std::string &body);
core::Result<std::vector<core::Target>> decodeTargets(const std::string &body);

/// \return the condition that a shard's holder has not changed. The row `fence/SHARD` is written
/// only when a holder takes over, so its version is the fencing number.
RowCheck fenceCheck(const core::Shard &shard, core::FencingNumber fence);

/// The prefix of the rows that name the shards' holders.
inline constexpr const char *fenceRowPrefix = "fence/";

/// \return the key of a node's lease row.
std::string leaseRowKey(const core::NodeId &node);

/// The transaction that renews a node's lease and changes holders.
TableTransaction leaseTransaction(const core::CommitLeases &commit);
core::Result<core::LeaseRecord> decodeLeaseRecord(const std::string &value);
/// Rows of unknown shards are left out; they belong to another release.
core::Result<std::vector<core::FenceRow>> decodeFenceRows(const std::vector<TableRow> &rows);

/// The row that holds the newest configuration.
inline constexpr const char *configurationRowKey = "configuration/current";
/// The row that holds only the newest version; polls read it.
inline constexpr const char *headRowKey = "configuration/head";
/// The prefix of the rows that tell as which version a submission was accepted.
inline constexpr const char *submissionRowPrefix = "submission/";
/// The prefix of the audit trail; rows sort by version.
inline constexpr const char *auditRowPrefix = "audit/";

/// The transaction that accepts a configuration; it commits only on top of its base version, and
/// once for each submission id.
TableTransaction configurationTransaction(const core::CommitConfiguration &commit);
/// Reads a head row or a submission's row.
core::Result<core::ConfigurationVersion> decodeVersionRow(const std::string &value);
core::Result<core::ConfigurationDocument> decodeConfigurationRow(const std::string &value);

} // namespace geraniumpulley::codec
