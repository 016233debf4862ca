#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Leases on shards: each shard of the work that needs a single owner is held by one node.
namespace geraniumpulley::core {

enum class ShardKind {
    Claims, ///< Claims on calls, sharded by the hash of the identity of the claim.
    Steps, ///< Trainer steps, sharded by the hash of the trainer name.
};

struct Shard
{
    ShardKind kind = ShardKind::Claims;
    std::uint32_t index = 0;

    auto operator<=>(const Shard &) const = default;
};

/// Number of shards of each kind.
inline constexpr std::uint32_t shardCount = 16;

/// A fencing token that increases with each change of a shard's holder. Every write on behalf of a
/// shard is conditional on the fencing token, in the same transaction.
enum class FencingToken : std::uint64_t {};

struct ShardLease
{
    NodeId holder;
    FencingToken fence{};
    Time validUntil{}; ///< End of validity on this node's clock; set only by the holder.
};

/// The leases that are known to this node.
struct LeaseTable
{
    NodeId self;
    std::map<Shard, ShardLease> leases;
};

using LeaseTablePointer = std::shared_ptr<const LeaseTable>;

/// \return the shard that a key belongs to. Complexity: linear in the length of the key.
Shard shardOf(ShardKind kind, const std::string &key);

/// \return the fencing token if this node holds a valid lease on the shard at `now`, else nothing.
std::optional<FencingToken> heldFence(const LeaseTable &table, const Shard &shard, Time now);

/// \return the last known holder of the shard, or nothing.
std::optional<NodeId> holderOf(const LeaseTable &table, const Shard &shard);

/// \return the name of the shard in row keys and logs, such as "claims-3".
std::string nameOf(const Shard &shard);

} // namespace geraniumpulley::core
