#include "world.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/operator_messages.hpp>

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

/// Performs the actions of the control duty, as node/control_duty does.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration peerTimeout = std::chrono::seconds(2);
constexpr Duration operatorTimeout = std::chrono::minutes(1);

core::ControlEvent commitEvent(core::OperationId operation, core::CommitResult result)
{
    if (result == core::CommitResult::Committed)
        return core::CommitSucceeded{operation};
    if (result == core::CommitResult::Refused)
        return core::CommitRefused{operation};
    return core::CommitUncertain{operation};
}

void sendPeer(World &world, NodeProcess &node, const core::Node &to,
              const core::ControlEvent &event)
{
    const auto destination = world.nodes.find(to.address);
    if (destination == world.nodes.end())
        return;
    NodeProcess &peer = *destination->second;
    world.exchange(node, peer.name, world.simulation.now + peerTimeout,
                   {[&world, &peer, event](const Answer &answer) {
                        answer([] {});
                        world.deliver(peer, event);
                    },
                    [](ExchangeFailure) {}});
}

using Rows = std::vector<codec::TableRow>;

// Calls `done` with the rows, or delivers `failure` when the store does not answer.
void readRows(World &world, NodeProcess &node, const std::string &key,
              const core::ControlEvent &failure, std::function<void(const Rows &)> done)
{
    world.store.read(key, [&world, &node, failure, done = std::move(done),
                           incarnation = node.incarnation](const std::optional<Rows> &rows) {
        world.simulation.recordChange(
                node.name + " store",
                node.name + (rows ? " reads the store" : " reads no answer from store"));
        world.post(node, incarnation, [&world, &node, failure, done, rows] {
            if (rows)
                done(*rows);
            else
                world.deliver(node, failure);
        });
    });
}

std::optional<core::ConfigurationDocument> documentOf(World &world, const Rows &rows)
{
    if (rows.empty())
        return std::nullopt;
    auto document = codec::decodeConfigurationRow(rows.front().value);
    if (document)
        return std::move(document.value());
    world.violations.push_back("the stored configuration is malformed");
    return std::nullopt;
}

} // namespace

void World::submit(const std::string &name, const std::string &node,
                   const core::ConfigurationDocument &document, core::ConfigurationVersion base)
{
    this->submissions[name] = {};
    const auto finish = [this, name](const std::string &verdict) {
        this->submissions[name].verdict = verdict;
        this->simulation.record(fmt::format("operator: {} is {}", name, verdict));
    };
    NodeProcess &process = this->node(node);
    this->exchange(
            this->client, node, this->simulation.now + operatorTimeout,
            {[this, &process, document, base, finish](const Answer &answer) {
                 const core::ReplyToken token = this->makeToken();
                 this->submissionReplies[token] = [answer,
                                                   finish](const core::AnswerSubmission &reply) {
                     answer([finish, reply] { finish(codec::nameOf(reply.verdict)); });
                 };
                 this->deliver(process,
                               core::ControlEvent{core::SubmissionReceived{
                                       token, base, document, this->simulation.wallNow()}});
             },
             [finish](ExchangeFailure) { finish("unanswered"); }});
}

void perform(World &world, NodeProcess &node, const core::CommitConfiguration &action)
{
    world.simulation.record(fmt::format("{} -> store: commit version {} by {}", node.name,
                                        core::number(action.document.version),
                                        action.document.author));
    world.store.transact(codec::configurationTransaction(action),
                         [&world, &node, incarnation = node.incarnation,
                          operation = action.operation](core::CommitResult result) {
                             world.post(node, incarnation, [&world, &node, operation, result] {
                                 world.deliver(node, commitEvent(operation, result));
                             });
                         });
}

void perform(World &world, NodeProcess &node, const core::ReadConfiguration &)
{
    readRows(world, node, codec::configurationRowKey, core::StoreUnanswered{},
             [&world, &node](const Rows &rows) {
                 world.deliver(node, core::ControlEvent{
                                             core::ConfigurationRead{documentOf(world, rows)}});
             });
}

void perform(World &world, NodeProcess &node, const core::ReadHead &)
{
    readRows(world, node, codec::headRowKey, core::StoreUnanswered{},
             [&world, &node](const Rows &rows) {
                 core::HeadRead head;
                 if (!rows.empty())
                     head.version = codec::decodeVersionRow(rows.front().value).value();
                 world.deliver(node, core::ControlEvent{head});
             });
}

void perform(World &world, NodeProcess &node, const core::ReadSubmission &action)
{
    const core::ControlEvent failure = core::SubmissionReadFailed{action.operation};
    readRows(world, node, codec::submissionRowPrefix + action.submissionId, failure,
             [&world, &node, failure, operation = action.operation](const Rows &rows) {
                 core::SubmissionRead result{operation, std::nullopt, std::nullopt};
                 if (!rows.empty())
                     result.acceptedAs = codec::decodeVersionRow(rows.front().value).value();
                 readRows(world, node, codec::configurationRowKey, failure,
                          [&world, &node, result](const Rows &documents) mutable {
                              result.newest = documentOf(world, documents);
                              world.deliver(node, core::ControlEvent{result});
                          });
             });
}

void perform(World &world, NodeProcess &node, const core::RequestDocument &action)
{
    sendPeer(world, node, action.to, core::DocumentAsked{node.control.settings.self, action.known});
}

void perform(World &world, NodeProcess &node, const core::SendPatch &action)
{
    world.simulation.record(fmt::format("{} -> {}: patch to version {}", node.name,
                                        action.to.address, core::number(action.patch.version)));
    sendPeer(world, node, action.to, core::PatchReceived{node.control.settings.self, action.patch});
}

void perform(World &world, NodeProcess &node, const core::ParseDocument &action)
{
    codec::ParsedConfiguration parsed = codec::parseConfiguration(action.document.text);
    if (!parsed.problems.empty())
        return world.violations.push_back("a patched configuration is malformed");
    core::ConfigurationDocument document = action.document;
    document.configuration =
            std::make_shared<const core::Configuration>(std::move(parsed.configuration));
    world.deliver(node, core::ControlEvent{core::DocumentReceived{std::move(document)}});
}

void perform(World &world, NodeProcess &node, const core::ListTargets &)
{
    world.listTargets(node);
}

void World::listTargets(NodeProcess &node)
{
    if (this->store.fault == StoreFault::Down)
        return;
    const auto list = std::prev(this->vmLists.upper_bound(this->simulation.now - this->vmListLag));
    this->simulation.after(this->simulation.jitter(std::chrono::milliseconds(4)),
                           [this, &node, incarnation = node.incarnation, targets = list->second] {
                               this->post(node, incarnation, [this, &node, targets] {
                                   this->deliver(node,
                                                 core::ControlEvent{core::TargetsListed{targets}});
                               });
                           });
}

void perform(World &world, NodeProcess &node, const core::SendAnnouncement &action)
{
    const core::Announcement &announcement = action.announcement;
    world.simulation.recordChange(
            node.name + " announcement " + action.to.address,
            fmt::format("{} -> {}: announcement version {} nodes {}", node.name, action.to.address,
                        core::number(announcement.version), announcement.nodes.size()));
    sendPeer(world, node, action.to, core::AnnouncementReceived{announcement});
}

void perform(World &world, NodeProcess &node, const core::SendDocument &action)
{
    world.simulation.record(fmt::format("{} -> {}: document version {}", node.name,
                                        action.to.address, core::number(action.document.version)));
    sendPeer(world, node, action.to, core::DocumentReceived{action.document});
}

void perform(World &world, NodeProcess &node, const core::AnswerSubmission &action)
{
    world.simulation.record(fmt::format("{} log: event=submission_answered verdict={} version={}",
                                        node.name, codec::nameOf(action.verdict),
                                        core::number(action.version)));
    const auto reply = world.submissionReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action);
}

// Scenarios look at the state itself instead of asking for it.
void perform(World &, NodeProcess &, const core::AnswerStatus &) { }

void perform(World &world, NodeProcess &node, const core::PutInForce &action)
{
    world.simulation.record(fmt::format("{} log: event=configuration_in_force version={} author={}",
                                        node.name, core::number(action.document.version),
                                        action.document.author));
    const auto &configuration = action.document.configuration;
    world.deliver(node, core::DispatchEvent{core::DispatchConfigurationChanged{configuration}});
    world.deliver(node, core::RolloutEvent{core::RolloutConfigurationChanged{configuration}});
}

void perform(World &world, NodeProcess &node, const core::PublishView &action)
{
    world.simulation.record(fmt::format("{} log: event=view_changed nodes={} targets={}", node.name,
                                        action.view->nodes.size(), action.view->targets.size()));
    world.deliver(node, core::DispatchEvent{core::DispatchViewChanged{action.view}});
    world.deliver(node, core::RolloutEvent{core::RolloutViewChanged{action.view}});
}

} // namespace scenario
