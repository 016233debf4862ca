#include "lease_actions.hpp"

#include "platform_replies.hpp"

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <optional>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

using runtime::field;

constexpr core::Duration peerTimeout = std::chrono::seconds(2);

void push(Parts &parts, core::LeaseEvent event)
{
    parts.control.deliver(std::move(event));
}

core::CommitResult toCommitResult(const net::PlatformReply &reply)
{
    if (isOk(reply))
        return core::CommitResult::Committed;
    if (isConflict(reply))
        return core::CommitResult::Refused;
    return core::CommitResult::Uncertain;
}

void onLeaseRowReply(Parts &parts, const core::NodeId &node, const net::PlatformReply &reply)
{
    const auto rows = decodeRowsReply(parts.logger, "lease", reply);
    if (!rows)
        return;
    if (rows->empty())
        return push(parts, core::LeaseRowRead{node, std::nullopt, {}});
    const auto record = codec::decodeLeaseRecord(rows->front().value);
    if (!record)
        return parts.logger.write("lease_row_malformed", field("node", node.value));
    push(parts, core::LeaseRowRead{node, record.value(), core::RowVersion{rows->front().version}});
}

// Performs the action that it is called with.
struct LeaseActionVisitor
{
    Parts &parts;

    void operator()(const core::ReadFences &) const
    {
        const std::string path = std::string("/table/rows?prefix=") + codec::fenceRowPrefix;
        this->parts.platformClient->send(
                {"GET", path, {}, [&parts = this->parts](net::PlatformReply &&reply) {
                     const auto rows = decodeRowsReply(parts.logger, "fences", reply);
                     if (!rows)
                         return;
                     auto fences = codec::decodeFenceRows(*rows);
                     if (!fences)
                         return parts.logger.write("fence_row_malformed");
                     push(parts, core::FencesRead{std::move(fences.value())});
                 }});
    }

    void operator()(const core::ReadLeaseRow &read) const
    {
        const std::string path = "/table/rows?key=" + codec::leaseRowKey(read.node);
        this->parts.platformClient->send(
                {"GET",
                 path,
                 {},
                 [&parts = this->parts, node = read.node](net::PlatformReply &&reply) {
                     onLeaseRowReply(parts, node, reply);
                 }});
    }

    void operator()(const core::CommitLeases &commit) const
    {
        const std::string body = codec::encodeTransaction(codec::leaseTransaction(commit));
        for (const core::FenceChange &change : commit.changes) {
            this->parts.logger.write("lease_change_sent",
                                     field("shard", core::nameOf(change.expectedRow.shard)),
                                     field("from", change.expectedRow.record.holder.value),
                                     field("to", change.newRecord.holder.value));
        }
        this->parts.platformClient->send(
                {"POST", "/table/transact", body,
                 [&parts = this->parts](net::PlatformReply &&reply) {
                     push(parts, core::LeaseCommitCompleted{toCommitResult(reply)});
                 }});
    }

    void operator()(const core::NotifyFencesChanged &notify) const
    {
        this->parts.peerLink->send({notify.to.address,
                                    "/fences_changed",
                                    {},
                                    runtime::now() + peerTimeout,
                                    [](net::PeerReply &&) {}});
    }

    void operator()(const core::PublishLeases &publish) const
    {
        this->parts.dispatch.inbox().push(core::DispatchLeasesChanged{publish.table});
        this->parts.rollout.inbox().push(core::RolloutLeasesChanged{publish.table});
    }
};

} // namespace

void performLeaseAction(Parts &parts, core::LeaseAction &&action)
{
    std::visit(LeaseActionVisitor{parts}, action);
}

} // namespace geraniumpulley::node
