#include <geraniumpulley/core/control/lease.hpp>

#include <xxhash.h>

namespace geraniumpulley::core {

Shard shardOf(ShardKind kind, const std::string &key)
{
    const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
    return {kind, static_cast<std::uint32_t>(hash % shardCount)};
}

std::optional<FencingToken> heldFence(const LeaseTable &table, const Shard &shard, Time now)
{
    const auto position = table.leases.find(shard);
    if (position == table.leases.end())
        return std::nullopt;
    const ShardLease &lease = position->second;
    if (lease.holder != table.self || lease.validUntil <= now)
        return std::nullopt;
    return lease.fence;
}

std::optional<NodeId> holderOf(const LeaseTable &table, const Shard &shard)
{
    const auto position = table.leases.find(shard);
    if (position == table.leases.end())
        return std::nullopt;
    return position->second.holder;
}

std::string nameOf(const Shard &shard)
{
    const char *kind = shard.kind == ShardKind::Claims ? "claims-" : "steps-";
    return kind + std::to_string(shard.index);
}

} // namespace geraniumpulley::core
