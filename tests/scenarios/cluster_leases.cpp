#include "cluster.hpp"

#include <fmt/format.h>

/// Performs the actions on shard leases, as `node/lease_actions` does for a real node.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration peerTimeout = std::chrono::seconds(2);

struct LeasePerformer
{
    Cluster &cluster;
    NodeProcess &node;

    void deliver(std::uint64_t incarnation, const core::LeaseEvent &event) const
    {
        this->cluster.post(this->node, incarnation,
                           [&cluster = this->cluster, &node = this->node, event] {
                               cluster.deliver(node, core::ControlEvent{event});
                           });
    }

    void operator()(const core::ReadFences &) const
    {
        this->cluster.store.readPrefix(
                codec::fenceRowPrefix,
                [*this, incarnation = this->node.incarnation](const auto &rows) {
                    if (!rows)
                        return;
                    auto fences = codec::decodeFenceRows(*rows);
                    if (fences)
                        this->deliver(incarnation, core::FencesRead{fences.value()});
                });
    }

    void operator()(const core::ReadLeaseRow &read) const
    {
        this->cluster.store.readRow(
                codec::leaseRowKey(read.node),
                [*this, id = read.node, incarnation = this->node.incarnation](const auto &rows) {
                    if (!rows)
                        return;
                    if (rows->empty())
                        return this->deliver(incarnation, core::LeaseRowRead{id, std::nullopt, {}});
                    const codec::TableRow &row = rows->front();
                    const auto record = codec::decodeLeaseRecord(row.value);
                    if (record)
                        this->deliver(incarnation,
                                      core::LeaseRowRead{id, record.value(),
                                                         core::RowVersion{row.version}});
                });
    }

    void operator()(const core::CommitLeases &commit) const
    {
        if (!commit.changes.empty())
            this->cluster.simulation.record(fmt::format("{} -> store: takes or gives {} shards",
                                                        this->node.name, commit.changes.size()));
        this->cluster.store.transact(
                codec::leaseTransaction(commit),
                [*this, incarnation = this->node.incarnation](core::CommitResult result) {
                    this->deliver(incarnation, core::LeaseCommitCompleted{result});
                });
    }

    void operator()(const core::NotifyFencesChanged &notification) const
    {
        NodeProcess &peer = this->cluster.node(notification.to.address);
        this->cluster.sendRequest(this->node, peer.name, this->cluster.simulation.now + peerTimeout,
                                  {[&cluster = this->cluster, &peer](const Responder &respond) {
                                       respond([] {});
                                       const core::LeaseEvent event = core::FencesChanged{};
                                       cluster.deliver(peer, core::ControlEvent{event});
                                   },
                                   [](ExchangeFailure) {}});
    }

    void operator()(const core::PublishLeases &publish) const
    {
        this->cluster.deliver(this->node,
                              core::DispatchEvent{core::DispatchLeasesChanged{publish.table}});
        this->cluster.deliver(this->node,
                              core::RolloutEvent{core::RolloutLeasesChanged{publish.table}});
    }
};

} // namespace

void perform(Cluster &cluster, NodeProcess &node, const core::LeaseAction &action)
{
    std::visit(LeasePerformer{cluster, node}, action);
}

} // namespace scenario
