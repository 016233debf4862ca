#pragma once

#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Who takes part: the nodes of this system and the targets behind them.
namespace geraniumpulley::core {

struct Node
{
    NodeId id;
    std::string address; ///< "ip:port" of the peer listener.
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< Rises with each start of a process under the same id.

    auto operator<=>(const Node &) const = default;
};

struct Target
{
    TargetId id;
    ServiceName service;
    std::string address; ///< "ip:port" of its HTTP listener.
    std::string dataCentre;
    bool leaving = false; ///< Takes no new work.

    auto operator<=>(const Target &) const = default;
};

/// An immutable picture of the members, shared by the duties of one process.
struct View
{
    std::vector<Node> nodes; ///< Live nodes, this one included.
    std::vector<Target> targets;
};

using ViewPointer = std::shared_ptr<const View>;

/// Picks the node that owns a key by rendezvous hashing, so that a node that comes or goes moves
/// only its own share of the keys.
/// \return the owner, or null when `nodes` is empty. Complexity: linear in `nodes`.
const Node *ownerOf(const std::string &key, const std::vector<Node> &nodes);

/// As `ownerOf`, among the nodes of the target's own data centre where there are any.
const Node *ownerOf(const Target &target, const std::vector<Node> &nodes);

} // namespace geraniumpulley::core
