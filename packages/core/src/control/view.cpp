#include <geraniumpulley/core/control/view.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <iterator>

namespace geraniumpulley::core {

const Node *ownerOf(const std::string &key, const std::vector<Node> &nodes)
{
    const auto owner =
            std::max_element(nodes.begin(), nodes.end(), [&](const Node &a, const Node &b) {
                return rendezvousScore(key, a.id.value) < rendezvousScore(key, b.id.value);
            });
    return owner == nodes.end() ? nullptr : &*owner;
}

const Node *ownerOf(const Target &target, const std::vector<Node> &nodes)
{
    std::vector<Node> localNodes;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(localNodes),
                 [&](const Node &node) { return node.dataCentre == target.dataCentre; });
    const Node *localOwner = ownerOf(target.id.value, localNodes);
    if (localOwner == nullptr)
        return ownerOf(target.id.value, nodes);
    const auto owner = std::find(nodes.begin(), nodes.end(), *localOwner);
    return &*owner;
}

} // namespace geraniumpulley::core
