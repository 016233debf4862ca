#pragma once

#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/lease_manager.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/result.hpp>

#include <optional>
#include <string>
#include <vector>

/// Message bodies of the platform's table service and VM list, and the table rows of leases, shard
/// holders and configurations (JSON).
namespace geraniumpulley::codec {

/// A row that a transaction writes.
struct RowWrite
{
    std::string key;
    std::string value;
};

/// The row version on which a transaction depends; version 0 means that the row does not exist.
struct RowCheck
{
    std::string key;
    std::uint64_t version = 0;
};

struct TableTransaction
{
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
    std::vector<std::string> deletes = {}; ///< Keys of the rows to delete.
};

struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Increases by one with each write.
};

std::string encodeTransaction(const TableTransaction &transaction);
core::Result<std::vector<TableRow>> decodeRows(const std::string &body);
core::Result<std::vector<core::Target>> decodeTargets(const std::string &body);

/// \return the condition that a shard's holder has not changed. The row `fence/SHARD` is written
/// only when a holder takes over, so its version serves as the fencing token.
RowCheck fenceCheck(const core::Shard &shard, core::FencingToken fence);

/// The key prefix of the rows that name the shards' holders.
inline constexpr const char *fenceRowPrefix = "fence/";

/// \return the key of a node's lease row.
std::string leaseRowKey(const core::NodeId &node);

/// \return the transaction that renews a node's lease and changes the holders of shards.
TableTransaction leaseTransaction(const core::CommitLeases &commit);
core::Result<core::LeaseRecord> decodeLeaseRecord(const std::string &value);
/// Decodes the rows that name the shards' holders. Rows of unknown shards are skipped, since they
/// belong to another release.
core::Result<std::vector<core::FenceRow>> decodeFenceRows(const std::vector<TableRow> &rows);

/// The key of the row that holds the newest configuration.
inline constexpr const char *configurationRowKey = "configuration/current";
/// The key of the row that holds only the newest version number; polls read it instead of the whole
/// configuration.
inline constexpr const char *configurationHeadRowKey = "configuration/head";
/// The key prefix of the rows that record the version under which a submission was accepted.
inline constexpr const char *submissionRowPrefix = "submission/";
/// The key prefix of the audit trail's rows, whose keys sort by version.
inline constexpr const char *auditRowPrefix = "audit/";

/// \return the transaction that accepts a configuration. It commits only if the base version is
/// still the newest one, and at most once per submission id.
TableTransaction configurationTransaction(const core::CommitConfiguration &commit);
/// Decodes the version in a configuration head row or a submission row.
core::Result<core::ConfigurationVersion> decodeVersionRow(const std::string &value);
core::Result<core::ConfigurationDocument> decodeConfigurationRow(const std::string &value);

} // namespace geraniumpulley::codec
