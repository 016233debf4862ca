#include "world.hpp"

#include <fmt/format.h>

/// Performs the actions on shard leases, as node/lease_actions does.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration peerTimeout = std::chrono::seconds(2);

struct LeasePerformer
{
    World &world;
    NodeProcess &node;

    void push(std::uint64_t incarnation, const core::LeaseEvent &event) const
    {
        this->world.post(this->node, incarnation,
                         [&world = this->world, &node = this->node, event] {
                             world.deliver(node, core::ControlEvent{event});
                         });
    }

    void operator()(const core::ReadFences &) const
    {
        this->world.store.read(codec::fenceRowPrefix,
                               [*this, incarnation = this->node.incarnation](const auto &rows) {
                                   if (!rows)
                                       return;
                                   auto fences = codec::decodeFenceRows(*rows);
                                   if (fences)
                                       this->push(incarnation, core::FencesRead{fences.value()});
                               });
    }

    void operator()(const core::ReadLeaseRow &read) const
    {
        this->world.store.readRow(
                codec::leaseRowKey(read.node),
                [*this, id = read.node, incarnation = this->node.incarnation](const auto &rows) {
                    if (!rows)
                        return;
                    if (rows->empty())
                        return this->push(incarnation, core::LeaseRowRead{id, std::nullopt, {}});
                    const codec::TableRow &row = rows->front();
                    const auto record = codec::decodeLeaseRecord(row.value);
                    if (record)
                        this->push(incarnation, core::LeaseRowRead{id, record.value(),
                                                                   core::RowVersion{row.version}});
                });
    }

    void operator()(const core::CommitLeases &commit) const
    {
        if (!commit.changes.empty())
            this->world.simulation.record(fmt::format("{} -> store: takes or gives {} shards",
                                                      this->node.name, commit.changes.size()));
        this->world.store.transact(
                codec::leaseTransaction(commit),
                [*this, incarnation = this->node.incarnation](core::CommitResult result) {
                    this->push(incarnation, core::LeaseCommitAnswered{result});
                });
    }

    void operator()(const core::TellFencesChanged &tell) const
    {
        NodeProcess &peer = this->world.node(tell.to.address);
        this->world.exchange(this->node, peer.name, this->world.simulation.now + peerTimeout,
                             {[&world = this->world, &peer](const Answer &answer) {
                                  answer([] {});
                                  const core::LeaseEvent event = core::FencesChangedHeard{};
                                  world.deliver(peer, core::ControlEvent{event});
                              },
                              [](ExchangeFailure) {}});
    }

    void operator()(const core::PublishLeases &publish) const
    {
        this->world.deliver(this->node,
                            core::DispatchEvent{core::DispatchLeasesChanged{publish.table}});
        this->world.deliver(this->node,
                            core::RolloutEvent{core::RolloutLeasesChanged{publish.table}});
    }
};

} // namespace

void perform(World &world, NodeProcess &node, const core::LeaseAction &action)
{
    std::visit(LeasePerformer{world, node}, action);
}

} // namespace scenario
