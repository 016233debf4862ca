#pragma once

#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Membership: the nodes of this system and the targets that they serve.
namespace geraniumpulley::core {

struct Node
{
    NodeId id;
    std::string address; ///< Address of the peer listener, as "ip:port".
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< Increases with each process start under the same id.

    auto operator<=>(const Node &) const = default;
};

struct Target
{
    TargetId id;
    ServiceName service;
    std::string address; ///< Address of the HTTP listener, as "ip:port".
    std::string dataCentre;
    bool leaving = false; ///< Whether the target no longer accepts work.

    auto operator<=>(const Target &) const = default;
};

/// An immutable membership snapshot that the duties of one process share.
struct View
{
    std::vector<Node> nodes; ///< All live nodes, including this one.
    std::vector<Target> targets;
};

using ViewPointer = std::shared_ptr<const View>;

/// Selects the owner of a key by rendezvous hashing: a node that joins or leaves moves only its own
/// share of the keys.
/// \return the owner, or null when `nodes` is empty. Complexity: linear in `nodes`.
const Node *ownerOf(const std::string &key, const std::vector<Node> &nodes);

/// Selects the owner of a target among the nodes of its data centre, or among all nodes when the
/// data centre has none.
const Node *ownerOf(const Target &target, const std::vector<Node> &nodes);

} // namespace geraniumpulley::core
