#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Which node holds which shard of the work that needs a single holder.
namespace geraniumpulley::core {

enum class ShardKind {
    Claims, ///< Idempotency records, by hash of the request's key.
    Steps, ///< Trainers' steps, by hash of the trainer's name.
};

struct Shard
{
    ShardKind kind = ShardKind::Claims;
    std::uint32_t index = 0;

    auto operator<=>(const Shard &) const = default;
};

/// Shards of each kind.
inline constexpr std::uint32_t shardCount = 16;

/// A number that rises with each change of a shard's holder. Every write of a shard's work is
/// conditional on it, in the same transaction.
enum class FencingNumber : std::uint64_t {};

struct ShardLease
{
    NodeId holder;
    FencingNumber fence{};
    Time validUntil{}; ///< Set only where this node is the holder; it doubts itself after that.
};

/// What this node knows about the leases.
struct LeaseTable
{
    NodeId self;
    std::map<Shard, ShardLease> leases;
};

using LeaseTablePointer = std::shared_ptr<const LeaseTable>;

/// \return the shard that a key belongs to. Complexity: linear in the key.
Shard shardOf(ShardKind kind, const std::string &key);

/// \return the fencing number when this node holds the shard at `now`, else nothing.
std::optional<FencingNumber> heldFence(const LeaseTable &table, const Shard &shard, Time now);

/// \return the node that holds the shard as far as this node knows, or nothing.
std::optional<NodeId> holderOf(const LeaseTable &table, const Shard &shard);

/// \return a name for rows and logs, such as "claims-3".
std::string nameOf(const Shard &shard);

} // namespace geraniumpulley::core
