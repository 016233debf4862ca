#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/calls/claims.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>
#include <vector>

/// Encodings of claim rows in the platform's table service (JSON).
namespace geraniumpulley::codec {

/// \return the key prefix of all claim rows of a shard.
std::string claimRowPrefix(const core::Shard &shard);

/// \return the transaction that stores a group of claims; it commits only while the shard's fencing
/// token is unchanged.
TableTransaction claimTransaction(const core::CommitClaims &commit);

/// \return the row, or `Errc::SchemaMismatch`.
core::Result<core::ClaimRow> decodeClaimRow(const TableRow &row);

/// \return the rows, or `Errc::SchemaMismatch` when one of them is malformed: a claim that cannot
/// be decoded must not be mistaken for one that does not exist.
core::Result<std::vector<core::ClaimRow>> decodeClaimRows(const std::string &body);

} // namespace geraniumpulley::codec
