#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/calls/claims.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>
#include <vector>

/// Rows of claims in the platform's table service (JSON).
namespace geraniumpulley::codec {

/// \return the prefix of all rows of a shard.
std::string claimPrefix(const core::Shard &shard);

/// \return the transaction that stores a group of claims; it commits only under the shard's fence.
TableTransaction claimTransaction(const core::CommitClaims &commit);

/// \return the row, or `Errc::WrongShape`.
core::Result<core::ClaimRow> decodeClaimRow(const TableRow &row);

/// \return the rows, or `Errc::WrongShape` when one of them is malformed: a claim that cannot be
/// read must not be taken for one that does not exist.
core::Result<std::vector<core::ClaimRow>> decodeClaimRows(const std::string &body);

} // namespace geraniumpulley::codec
