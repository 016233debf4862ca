#include "duties.hpp"
#include "peer_paths.hpp"
#include "usage_store.hpp"

#include <geraniumpulley/codec/leader_messages.hpp>
#include <geraniumpulley/platform/provider_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

// A tenth of the usual time for a report, so that a call without an answer leaves time for others.
constexpr core::Duration providerTimeout = std::chrono::milliseconds(1000);
constexpr core::Duration connectTimeout = std::chrono::milliseconds(400);

const char *nameOf(core::ProviderReply reply)
{
    switch (reply) {
    case core::ProviderReply::Accepted:
        return "accepted";
    case core::ProviderReply::Conflict:
        return "conflict";
    case core::ProviderReply::Throttled:
        return "throttled";
    case core::ProviderReply::Unanswered:
        break;
    }
    return "unanswered";
}

const char *nameOf(core::ReportPhase phase)
{
    switch (phase) {
    case core::ReportPhase::FindingReport:
        return "finding_report";
    case core::ReportPhase::Counting:
        return "counting";
    case core::ReportPhase::Deciding:
        return "deciding";
    case core::ReportPhase::Sending:
        break;
    }
    return "sending";
}

std::uint64_t totalOf(const core::UsageCounts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[account, count] : counts)
        total += count;
    return total;
}

struct LeaderDuty
{
    Parts &parts;
    core::Node self;
    std::string providerAddress;
    core::LeaderState state;
    TickTimer wakeup;
    SuspensionDetector suspensions{};

    void handle(const core::LeaderEvent &event)
    {
        if (std::holds_alternative<core::LeaderTick>(event))
            this->wakeup.noteTick();
        if (this->suspensions.poll())
            this->decide(core::LeaderSuspended{});
        this->decide(event);
        this->wakeup.armFor(core::dueAt(this->state, runtime::now(), runtime::wallNow()));
    }

    void decide(const core::LeaderEvent &event)
    {
        for (auto &action : core::step(this->state, event, runtime::now(), runtime::wallNow()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    void perform(core::StoreUsageCounts &&action)
    {
        storeUsageCounts(this->parts, this->self.id, this->self.incarnation, action);
    }
    void perform(core::FindUsageReport &&action) { findUsageReport(this->parts, action); }
    void perform(core::ReadUsageCounts &&action) { readUsageCounts(this->parts, action); }
    void perform(core::RemoveUsageRows &&action) { removeUsageRows(this->parts, action); }

    void perform(core::DecideUsageReport &&action)
    {
        this->parts.logger.write(
                "usage_report_summed", field("window", core::number(action.window)),
                field("accounts", action.counts.size()), field("requests", totalOf(action.counts)));
        decideUsageReport(this->parts, action);
    }

    void perform(core::SendUsageReport &&report)
    {
        net::HttpRequest request =
                platform::encodeUsageReport(report, this->self.id, this->providerAddress);
        request.done = [this, window = report.window, fence = report.proof.fence,
                        requests = totalOf(report.counts)](net::HttpResult &&result) {
            const core::ProviderReply reply = platform::decodeProviderReply(result);
            this->parts.metrics.count(std::string("usage_reports_") + nameOf(reply));
            this->parts.logger.write("usage_report_sent", field("window", core::number(window)),
                                     field("fence", core::number(fence)),
                                     field("requests", requests), field("status", result.status),
                                     field("reply", nameOf(reply)));
            this->parts.leader.deliver(core::UsageReportSent{window, fence, reply});
        };
        this->callProvider(std::move(request), report.proof);
    }

    void perform(core::UsageReportMissed &&missed)
    {
        this->parts.metrics.count("usage_reports_missed");
        this->parts.logger.write("usage_report_missed",
                                 field("window", core::number(missed.window)),
                                 field("phase", nameOf(missed.phase)));
    }

    void perform(core::OrderTargets &&order)
    {
        net::HttpRequest request =
                platform::encodeTargetOrder(order, this->self.id, this->providerAddress);
        request.done = [this, order](net::HttpResult &&result) {
            const core::ProviderReply reply = platform::decodeProviderReply(result);
            this->parts.metrics.count(std::string("target_orders_") + nameOf(reply));
            this->parts.logger.write("targets_ordered", field("service", order.group.service.value),
                                     field("data_centre", order.group.dataCentre),
                                     field("reclaimable", order.group.isReclaimable),
                                     field("count", order.count), field("present", order.present),
                                     field("demand", order.demand),
                                     field("fence", core::number(order.proof.fence)),
                                     field("status", result.status), field("reply", nameOf(reply)));
            this->parts.leader.deliver(core::TargetsOrdered{order.group, reply});
        };
        this->callProvider(std::move(request), order.proof);
    }

    void callProvider(net::HttpRequest &&request, const core::LeadershipProof &proof)
    {
        request.deadline = runtime::now() + providerTimeout;
        limitToProof(request, proof);
        request.connectTimeout = connectTimeout;
        this->parts.storeClient->send(std::move(request));
    }

    void perform(core::LeaderTurnChanged &&turn)
    {
        this->parts.logger.write(turn.isActing ? "leader_turn_began" : "leader_turn_paused",
                                 field("fence", core::number(turn.fence)));
    }
};

} // namespace

void startLeaderDuty(Parts &parts, const core::Node &self, const Settings &settings)
{
    auto duty = std::make_shared<LeaderDuty>(
            LeaderDuty{parts, self, settings.providerAddress,
                       core::makeLeaderState({settings.usageWindow, settings.usageDueAfter}),
                       TickTimer(*parts.timer, [&parts] {
                           static_cast<void>(parts.leader.inbox().tryPush(core::LeaderTick{}));
                       })});
    parts.leader.start("leader", [duty](core::LeaderEvent &&event) { duty->handle(event); });
}

bool receiveDemand(Parts &parts, const net::PeerMessage &message)
{
    auto report = codec::decodeDemandReport(message.body);
    parts.peerLink->reply(message.token, {});
    if (!report) {
        parts.logger.write("demand_report_malformed", field("error", report.error().message()));
        return true;
    }
    return parts.hasLeaderDuty
           && parts.leader.inbox().tryPush(core::DemandReceived{std::move(report.value())});
}

// A lost report is made up for by the next one.
void sendDemand(Parts &parts, const core::DemandReport &report)
{
    constexpr core::Duration timeout = std::chrono::milliseconds(500);
    const core::DirectoryPointer directory = parts.directory.get();
    if (!parts.hasLeaderDuty || !directory || directory->leadership.holder.value.empty())
        return;
    if (directory->leadership.holder == directory->presence.self) {
        static_cast<void>(parts.leader.inbox().tryPush(core::DemandReceived{report}));
        return;
    }
    const auto leader = directory->presence.nodes.find(directory->leadership.holder);
    if (leader == directory->presence.nodes.end())
        return;
    parts.peerLink->send({leader->second.heartbeat.node.address, demandPath,
                          codec::encodeDemandReport(report), runtime::now() + timeout,
                          [](net::PeerReply &&) {}});
}

} // namespace geraniumpulley::entry
