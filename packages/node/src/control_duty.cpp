#include "control_duty.hpp"

#include "lease_actions.hpp"
#include "platform_replies.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/operator_messages.hpp>
#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

using runtime::field;

constexpr core::Duration peerTimeout = std::chrono::seconds(2);
constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusUnavailable = 503;

struct ControlDuty
{
    Parts &parts;
    core::ControlState state;
    std::promise<void> leasesReleased;
    bool releaseReported = false;

    void handle(const core::ControlEvent &event)
    {
        for (core::ControlAction &action : core::step(this->state, event, runtime::now()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
        const core::LeaseState &leases = this->state.leases;
        if (leases.stopping && core::hasReleased(leases)
            && !std::exchange(this->releaseReported, true))
            this->leasesReleased.set_value();
    }

    void perform(core::LeaseAction &&action) { performLeaseAction(this->parts, std::move(action)); }

    void perform(core::CommitConfiguration &&commit)
    {
        const std::string body = codec::encodeTransaction(codec::configurationTransaction(commit));
        this->parts.platformClient->send(
                {"POST", "/table/transact", body,
                 [this, operation = commit.operation](net::PlatformReply &&reply) {
                     this->push(toCommitResult(operation, reply));
                 }});
    }

    static core::ControlEvent toCommitResult(core::OperationId operation,
                                             const net::PlatformReply &reply)
    {
        if (isOk(reply))
            return core::CommitSucceeded{operation};
        if (isConflict(reply))
            return core::CommitRefused{operation};
        return core::CommitUncertain{operation};
    }

    // Calls `done` with the rows, or delivers `failure` if the store gave no readable answer.
    void readRows(const std::string &query,
                  std::function<void(std::vector<codec::TableRow> &&)> done,
                  const core::ControlEvent &failure = core::StoreReadFailed{})
    {
        this->parts.platformClient->send(
                {"GET",
                 "/table/rows?" + query,
                 {},
                 [this, done = std::move(done), failure](net::PlatformReply &&reply) {
                     auto rows = node::decodeRowsReply(this->parts.logger, "configuration", reply);
                     if (rows)
                         return done(std::move(*rows));
                     this->push(failure);
                 }});
    }

    std::optional<core::ConfigurationDocument>
    decodeDocument(const std::vector<codec::TableRow> &rows)
    {
        if (rows.empty())
            return std::nullopt;
        auto document = codec::decodeConfigurationRow(rows.front().value);
        if (document)
            return std::move(document.value());
        this->parts.logger.write("stored_configuration_malformed");
        return std::nullopt;
    }

    void perform(core::ReadConfiguration &&)
    {
        this->readRows(std::string("key=") + codec::configurationRowKey, [this](auto &&rows) {
            this->push(core::ConfigurationRead{this->decodeDocument(rows)});
        });
    }

    void perform(core::ReadHead &&)
    {
        this->readRows(std::string("key=") + codec::configurationHeadRowKey, [this](auto &&rows) {
            core::HeadRead head;
            if (!rows.empty()) {
                const auto version = codec::decodeVersionRow(rows.front().value);
                if (!version)
                    return this->parts.logger.write("configuration_head_malformed");
                head.version = version.value();
            }
            this->push(head);
        });
    }

    // The submission's own row is read first: if it is missing, the newest configuration, which is
    // read afterwards, shows which submission was accepted instead.
    void perform(core::ReadSubmission &&read)
    {
        const core::ControlEvent failure = core::SubmissionReadFailed{read.operation};
        const std::string query =
                std::string("key=") + codec::submissionRowPrefix + read.submissionId;
        this->readRows(
                query,
                [this, operation = read.operation, failure](auto &&rows) {
                    core::SubmissionRead result{operation, std::nullopt, std::nullopt};
                    if (!rows.empty()) {
                        const auto version = codec::decodeVersionRow(rows.front().value);
                        if (version)
                            result.acceptedVersion = version.value();
                    }
                    this->readRows(
                            std::string("key=") + codec::configurationRowKey,
                            [this, result](auto &&configurationRows) mutable {
                                result.newest = this->decodeDocument(configurationRows);
                                this->push(std::move(result));
                            },
                            failure);
                },
                failure);
    }

    void perform(core::RequestDocument &&request)
    {
        this->sendPeer(request.to, "/document_request",
                       codec::encodePeer(request, this->state.settings.self));
    }

    void perform(core::SendPatch &&send)
    {
        this->sendPeer(send.to, "/patch", codec::encodePeer(send.patch, this->state.settings.self));
    }

    void perform(core::ParseDocument &&parse)
    {
        codec::ParsedConfiguration parsed = codec::parseConfiguration(parse.document.text);
        if (!parsed.problems.empty())
            return this->parts.logger.write("peer_configuration_malformed");
        parse.document.configuration =
                std::make_shared<const core::Configuration>(std::move(parsed.configuration));
        this->push(core::DocumentReceived{std::move(parse.document)});
    }

    void perform(core::ListTargets &&)
    {
        this->parts.platformClient->send({"GET", "/vms", {}, [this](net::PlatformReply &&reply) {
                                              if (!isOk(reply))
                                                  return;
                                              auto targets = codec::decodeTargets(reply.body);
                                              if (targets)
                                                  this->push(core::TargetsListed{targets.value()});
                                          }});
    }

    void perform(core::SendAnnouncement &&send)
    {
        this->sendPeer(send.to, "/announcement", codec::encodePeer(send.announcement));
    }

    void perform(core::SendDocument &&send)
    {
        this->sendPeer(send.to, "/document", codec::encodePeer(send.document));
    }

    void sendPeer(const core::Node &to, const char *path, std::string body)
    {
        this->parts.peerLink->send({to.address, path, std::move(body), runtime::now() + peerTimeout,
                                    [](net::PeerReply &&) {}});
    }

    void perform(core::AnswerSubmission &&answer)
    {
        this->parts.logger.write("submission_answered",
                                 field("verdict", codec::nameOf(answer.verdict)),
                                 field("version", core::number(answer.version)));
        net::ServerResponse reply;
        reply.token = answer.reply;
        reply.status = codec::httpStatus(answer.verdict);
        reply.body = codec::encodeSubmissionAnswer(answer);
        this->parts.operatorServer->respond(std::move(reply));
    }

    void perform(core::AnswerStatus &&answer)
    {
        net::ServerResponse reply;
        reply.token = answer.reply;
        if (answer.query == core::StatusQuery::Readiness) {
            reply.status = core::notReadyReason(answer) ? statusUnavailable : statusOk;
            reply.body = codec::encodeReadiness(answer);
        } else {
            reply.body = codec::encodeStatus(answer);
        }
        this->parts.operatorServer->respond(std::move(reply));
    }

    void perform(core::ApplyConfiguration &&apply)
    {
        this->parts.logger.write("configuration_in_force",
                                 field("version", core::number(apply.document.version)),
                                 field("author", apply.document.author),
                                 field("submission", apply.document.submissionId));
        const auto &configuration = apply.document.configuration;
        this->parts.dispatch.inbox().push(core::DispatchConfigurationChanged{configuration});
        this->parts.rollout.inbox().push(core::RolloutConfigurationChanged{configuration});
        this->parts.engines.inbox().push(core::EnginesConfigurationChanged{configuration});
    }

    void perform(core::PublishView &&publish)
    {
        this->parts.logger.write("view_changed", field("nodes", publish.view->nodes.size()),
                                 field("targets", publish.view->targets.size()));
        this->parts.dispatch.inbox().push(core::DispatchViewChanged{publish.view});
        this->parts.rollout.inbox().push(core::RolloutViewChanged{publish.view});
        this->parts.engines.inbox().push(core::EnginesViewChanged{publish.view});
    }

    void push(core::ControlEvent event) { this->parts.control.deliver(std::move(event)); }
};

} // namespace

std::future<void> startControlDuty(Parts &parts, core::ControlSettings settings)
{
    auto duty = std::make_shared<ControlDuty>(
            ControlDuty{parts, core::makeControlState(std::move(settings)), {}});
    std::future<void> leasesReleased = duty->leasesReleased.get_future();
    parts.control.start("control", [duty](core::ControlEvent &&event) { duty->handle(event); });
    return leasesReleased;
}

} // namespace geraniumpulley::node
