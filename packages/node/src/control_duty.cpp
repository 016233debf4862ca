#include "control_duty.hpp"

#include "lease_actions.hpp"

#include <geraniumpulley/codec/operator_messages.hpp>
#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <future>
#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

using runtime::field;

constexpr core::Duration peerTimeout = std::chrono::seconds(2);
constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusConflict = 409;
constexpr std::uint32_t statusUnavailable = 503;

struct ControlDuty
{
    Parts &parts;
    core::ControlState state;
    std::promise<void> released;
    bool isReleased = false;

    void handle(const core::ControlEvent &event)
    {
        for (core::ControlAction &action : core::step(this->state, event, runtime::now()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
        const core::LeaseState &leases = this->state.leases;
        if (leases.stopping && core::hasReleased(leases) && !std::exchange(this->isReleased, true))
            this->released.set_value();
    }

    void perform(core::LeaseAction &&action) { performLease(this->parts, std::move(action)); }

    void perform(core::CommitConfiguration &&commit)
    {
        const std::string body = codec::encodeTransaction(codec::configurationTransaction(commit));
        this->parts.platform->send(
                {"POST", "/table/transact", body,
                 [this, operation = commit.operation](net::PlatformReply &&reply) {
                     this->push(commitResult(operation, reply));
                 }});
    }

    static core::ControlEvent commitResult(core::OperationId operation,
                                           const net::PlatformReply &reply)
    {
        if (reply.answered && reply.status == statusOk)
            return core::CommitSucceeded{operation};
        if (reply.answered && reply.status == statusConflict)
            return core::CommitRefused{operation};
        return core::CommitUncertain{operation};
    }

    void perform(core::ReadConfiguration &&)
    {
        const std::string path = std::string("/table/rows?key=") + codec::configurationRowKey;
        this->parts.platform->send({"GET", path, {}, [this](net::PlatformReply &&reply) {
                                        this->onConfigurationRow(reply);
                                    }});
    }

    void onConfigurationRow(const net::PlatformReply &reply)
    {
        if (!reply.answered || reply.status != statusOk)
            return this->parts.logger.write("store_unavailable", field("read", "configuration"));
        const auto rows = codec::decodeRows(reply.body);
        if (!rows)
            return this->parts.logger.write("store_reply_malformed",
                                            field("read", "configuration"));
        if (rows.value().empty())
            return this->push(core::ConfigurationRead{});
        const auto document = codec::decodeConfigurationRow(rows.value().front().value);
        if (!document)
            return this->parts.logger.write("stored_configuration_malformed");
        this->push(core::ConfigurationRead{document.value()});
    }

    void perform(core::ListTargets &&)
    {
        this->parts.platform->send({"GET", "/vms", {}, [this](net::PlatformReply &&reply) {
                                        if (!reply.answered || reply.status != statusOk)
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
        this->parts.peers->send({to.address, path, std::move(body), runtime::now() + peerTimeout,
                                 [](net::PeerReply &&) {}});
    }

    void perform(core::AnswerSubmission &&answer)
    {
        this->parts.logger.write("submission_answered",
                                 field("verdict", codec::nameOf(answer.verdict)),
                                 field("version", core::number(answer.version)));
        net::DoorAnswer reply;
        reply.token = answer.reply;
        reply.status = codec::httpStatus(answer.verdict);
        reply.body = codec::encodeSubmissionAnswer(answer);
        this->parts.operators->answer(std::move(reply));
    }

    void perform(core::AnswerStatus &&answer)
    {
        net::DoorAnswer reply;
        reply.token = answer.reply;
        const bool ready = core::number(answer.version) > 0;
        if (answer.question == core::StatusQuestion::Readiness) {
            reply.status = ready ? statusOk : statusUnavailable;
            reply.body = ready ? R"({"ready":true})"
                               : R"({"ready":false,"reason":"no configuration in force"})";
        } else {
            reply.body = codec::encodeStatus(answer);
        }
        this->parts.operators->answer(std::move(reply));
    }

    void perform(core::PutInForce &&put)
    {
        this->parts.logger.write("configuration_in_force",
                                 field("version", core::number(put.document.version)),
                                 field("author", put.document.author),
                                 field("submission", put.document.submissionId));
        const auto &configuration = put.document.configuration;
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

std::future<void> startControl(Parts &parts, core::ControlSettings settings)
{
    auto duty = std::make_shared<ControlDuty>(
            ControlDuty{parts, core::makeControlState(std::move(settings)), {}});
    std::future<void> released = duty->released.get_future();
    parts.control.start("control", [duty](core::ControlEvent &&event) { duty->handle(event); });
    return released;
}

} // namespace geraniumpulley::node
