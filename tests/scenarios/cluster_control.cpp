#include "cluster.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/operator_messages.hpp>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// Performs the actions of the control duty, as `node/control_duty` does for a real node.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration peerTimeout = std::chrono::seconds(2);
constexpr Duration operatorTimeout = std::chrono::minutes(1);

core::ControlEvent toCommitEvent(core::OperationId operation, core::CommitResult result)
{
    if (result == core::CommitResult::Committed)
        return core::CommitSucceeded{operation};
    if (result == core::CommitResult::Refused)
        return core::CommitRefused{operation};
    return core::CommitUncertain{operation};
}

void sendToPeer(Cluster &cluster, NodeProcess &node, const core::Node &to,
                const core::ControlEvent &event)
{
    const auto destination = cluster.nodes.find(to.address);
    if (destination == cluster.nodes.end())
        return;
    NodeProcess &peer = *destination->second;
    cluster.sendRequest(node, peer.name, cluster.simulation.now + peerTimeout,
                        {[&cluster, &peer, event](const Responder &respond) {
                             respond([] {});
                             cluster.deliver(peer, event);
                         },
                         [](ExchangeFailure) {}});
}

using Rows = std::vector<codec::TableRow>;

// Calls `done` with the rows, or delivers `failure` if the store does not answer.
void readRows(Cluster &cluster, NodeProcess &node, const std::string &key,
              const core::ControlEvent &failure, std::function<void(const Rows &)> done)
{
    cluster.store.readPrefix(
            key, [&cluster, &node, failure, done = std::move(done),
                  incarnation = node.incarnation](const std::optional<Rows> &rows) {
                cluster.simulation.recordChange(
                        node.name + " store",
                        node.name + (rows ? " reads the store" : " reads no answer from store"));
                cluster.post(node, incarnation, [&cluster, &node, failure, done, rows] {
                    if (rows)
                        done(*rows);
                    else
                        cluster.deliver(node, failure);
                });
            });
}

std::optional<core::ConfigurationDocument> decodeDocument(Cluster &cluster, const Rows &rows)
{
    if (rows.empty())
        return std::nullopt;
    auto document = codec::decodeConfigurationRow(rows.front().value);
    if (document)
        return std::move(document.value());
    cluster.violations.push_back("the stored configuration is malformed");
    return std::nullopt;
}

} // namespace

void Cluster::submit(const std::string &name, const std::string &node,
                     const core::ConfigurationDocument &document, core::ConfigurationVersion base)
{
    this->submissions[name] = {};
    const auto finish = [this, name](const std::string &verdict) {
        this->submissions[name].verdict = verdict;
        this->simulation.record(fmt::format("operator: {} is {}", name, verdict));
    };
    NodeProcess &process = this->node(node);
    this->sendRequest(
            this->client, node, this->simulation.now + operatorTimeout,
            {[this, &process, document, base, finish](const Responder &respond) {
                 const core::ReplyToken token = this->makeReplyToken();
                 this->submissionReplies[token] = [respond,
                                                   finish](const core::AnswerSubmission &reply) {
                     respond([finish, reply] { finish(codec::nameOf(reply.verdict)); });
                 };
                 this->deliver(process,
                               core::ControlEvent{core::SubmissionReceived{
                                       token, base, document, this->simulation.wallNow()}});
             },
             [finish](ExchangeFailure) { finish("unanswered"); }});
}

void perform(Cluster &cluster, NodeProcess &node, const core::CommitConfiguration &action)
{
    cluster.simulation.record(fmt::format("{} -> store: commit version {} by {}", node.name,
                                          core::number(action.document.version),
                                          action.document.author));
    cluster.store.transact(codec::configurationTransaction(action),
                           [&cluster, &node, incarnation = node.incarnation,
                            operation = action.operation](core::CommitResult result) {
                               cluster.post(
                                       node, incarnation, [&cluster, &node, operation, result] {
                                           cluster.deliver(node, toCommitEvent(operation, result));
                                       });
                           });
}

void perform(Cluster &cluster, NodeProcess &node, const core::ReadConfiguration &)
{
    readRows(cluster, node, codec::configurationRowKey, core::StoreReadFailed{},
             [&cluster, &node](const Rows &rows) {
                 cluster.deliver(node, core::ControlEvent{core::ConfigurationRead{
                                               decodeDocument(cluster, rows)}});
             });
}

void perform(Cluster &cluster, NodeProcess &node, const core::ReadHead &)
{
    readRows(cluster, node, codec::configurationHeadRowKey, core::StoreReadFailed{},
             [&cluster, &node](const Rows &rows) {
                 core::HeadRead head;
                 if (!rows.empty())
                     head.version = codec::decodeVersionRow(rows.front().value).value();
                 cluster.deliver(node, core::ControlEvent{head});
             });
}

void perform(Cluster &cluster, NodeProcess &node, const core::ReadSubmission &action)
{
    const core::ControlEvent failure = core::SubmissionReadFailed{action.operation};
    readRows(cluster, node, codec::submissionRowPrefix + action.submissionId, failure,
             [&cluster, &node, failure, operation = action.operation](const Rows &rows) {
                 core::SubmissionRead result{operation, std::nullopt, std::nullopt};
                 if (!rows.empty())
                     result.acceptedVersion = codec::decodeVersionRow(rows.front().value).value();
                 readRows(cluster, node, codec::configurationRowKey, failure,
                          [&cluster, &node, result](const Rows &documents) mutable {
                              result.newest = decodeDocument(cluster, documents);
                              cluster.deliver(node, core::ControlEvent{result});
                          });
             });
}

void perform(Cluster &cluster, NodeProcess &node, const core::RequestDocument &action)
{
    sendToPeer(cluster, node, action.to,
               core::DocumentRequested{node.control.settings.self, action.knownVersion});
}

void perform(Cluster &cluster, NodeProcess &node, const core::SendPatch &action)
{
    cluster.simulation.record(fmt::format("{} -> {}: patch to version {}", node.name,
                                          action.to.address, core::number(action.patch.version)));
    sendToPeer(cluster, node, action.to,
               core::PatchReceived{node.control.settings.self, action.patch});
}

void perform(Cluster &cluster, NodeProcess &node, const core::ParseDocument &action)
{
    codec::ParsedConfiguration parsed = codec::parseConfiguration(action.document.text);
    if (!parsed.problems.empty())
        return cluster.violations.push_back("a patched configuration is malformed");
    core::ConfigurationDocument document = action.document;
    document.configuration =
            std::make_shared<const core::Configuration>(std::move(parsed.configuration));
    cluster.deliver(node, core::ControlEvent{core::DocumentReceived{std::move(document)}});
}

void perform(Cluster &cluster, NodeProcess &node, const core::ListTargets &)
{
    cluster.listTargets(node);
}

void Cluster::listTargets(NodeProcess &node)
{
    if (this->store.fault == StoreFault::Down)
        return;
    const auto list =
            std::prev(this->vmListHistory.upper_bound(this->simulation.now - this->vmListLag));
    this->simulation.scheduleAfter(
            this->simulation.jitter(std::chrono::milliseconds(4)),
            [this, &node, incarnation = node.incarnation, targets = list->second] {
                this->post(node, incarnation, [this, &node, targets] {
                    this->deliver(node, core::ControlEvent{core::TargetsListed{targets}});
                });
            });
}

void perform(Cluster &cluster, NodeProcess &node, const core::SendAnnouncement &action)
{
    const core::Announcement &announcement = action.announcement;
    cluster.simulation.recordChange(
            node.name + " announcement " + action.to.address,
            fmt::format("{} -> {}: announcement version {} nodes {}", node.name, action.to.address,
                        core::number(announcement.version), announcement.nodes.size()));
    sendToPeer(cluster, node, action.to, core::AnnouncementReceived{announcement});
}

void perform(Cluster &cluster, NodeProcess &node, const core::SendDocument &action)
{
    cluster.simulation.record(fmt::format("{} -> {}: document version {}", node.name,
                                          action.to.address,
                                          core::number(action.document.version)));
    sendToPeer(cluster, node, action.to, core::DocumentReceived{action.document});
}

void perform(Cluster &cluster, NodeProcess &node, const core::AnswerSubmission &action)
{
    cluster.simulation.record(fmt::format("{} log: event=submission_answered verdict={} version={}",
                                          node.name, codec::nameOf(action.verdict),
                                          core::number(action.version)));
    const auto reply = cluster.submissionReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action);
}

// Not needed: scenarios inspect the state of a node directly.
void perform(Cluster &, NodeProcess &, const core::AnswerStatus &) { }

void perform(Cluster &cluster, NodeProcess &node, const core::ApplyConfiguration &action)
{
    cluster.simulation.record(
            fmt::format("{} log: event=configuration_in_force version={} author={}", node.name,
                        core::number(action.document.version), action.document.author));
    const auto &configuration = action.document.configuration;
    cluster.deliver(node, core::DispatchEvent{core::DispatchConfigurationChanged{configuration}});
    cluster.deliver(node, core::RolloutEvent{core::RolloutConfigurationChanged{configuration}});
}

void perform(Cluster &cluster, NodeProcess &node, const core::PublishView &action)
{
    cluster.simulation.record(fmt::format("{} log: event=view_changed nodes={} targets={}",
                                          node.name, action.view->nodes.size(),
                                          action.view->targets.size()));
    cluster.deliver(node, core::DispatchEvent{core::DispatchViewChanged{action.view}});
    cluster.deliver(node, core::RolloutEvent{core::RolloutViewChanged{action.view}});
}

} // namespace scenario
