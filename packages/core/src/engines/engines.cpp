#include <geraniumpulley/core/engines/engines.hpp>

#include <geraniumpulley/core/backoff.hpp>

#include "group_claims.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<EnginesAction>;

constexpr Duration updateTimeout = std::chrono::seconds(4);
constexpr Duration lostOrderTimeout = std::chrono::seconds(15);
constexpr Duration peerReportRetention = std::chrono::seconds(30);
constexpr Duration minBackoff = std::chrono::seconds(1);
constexpr Duration maxBackoff = std::chrono::seconds(60);
// Minimum number of consecutive failures of an engine that is reported to operators.
constexpr std::uint32_t giveUpThreshold = 3;
// Number of owners from which a node requests reports; bounds the number of reports received from
// peers.
constexpr std::size_t maxReportingPeers = 8;

// Returns the poll period of one engine, which grows with the number of owned engines.
Duration pollPeriod(const EnginesState &state)
{
    const auto engines = static_cast<Duration::rep>(state.engines.size());
    return std::max(state.settings.pollPeriod, state.settings.pollSpacing * engines);
}

const EngineGroup *groupOf(const EnginesState &state, const TargetId &target)
{
    for (const EngineGroup &group : state.groups) {
        const bool hasTarget =
                std::any_of(group.engines.begin(), group.engines.end(),
                            [&](const Target &engine) { return engine.id == target; });
        if (hasTarget)
            return &group;
    }
    return nullptr;
}

const Node *findNode(const EnginesState &state, const NodeId &id)
{
    const auto &nodes = state.view->nodes;
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const Node &node) { return node.id == id; });
    return found == nodes.end() ? nullptr : &*found;
}

// Stores a report if it is newer than the known one. A report that was measured before the last
// order completed still shows the previous version, so it must not lower the known version.
void storeReport(EngineRecord &record, EngineReport report)
{
    if (record.report && !isNewer(report, *record.report))
        return;
    const bool lags = record.report && record.report->incarnation == report.incarnation
                      && measuredAt(report) < record.orderCompletedAt;
    if (lags) {
        report.version = std::max(report.version, record.report->version);
        report.swapping = record.report->swapping;
    }
    if (report.swapping && !(record.report && record.report->swapping))
        record.loadingSince = report.receivedAt;
    record.report = std::move(report);
}

// Returns whether the latest report shows the result of an order whose answer was lost: it was
// measured after the loss and no swap is in progress.
bool resolvesLostOrder(const EngineRecord &record)
{
    return record.phase == SwapPhase::Ordered && record.answerLost && record.report
           && measuredAt(*record.report) > record.phaseSince && !record.report->swapping;
}

struct Handler
{
    EnginesState &state;
    Time now;
    Actions actions;

    void operator()(const EnginesConfigurationChanged &event)
    {
        this->state.configuration = event.configuration;
        this->regroup();
    }

    void operator()(const EnginesViewChanged &event)
    {
        this->state.view = event.view;
        this->regroup();
    }

    void operator()(const LoadReportReceived &event)
    {
        const auto position = this->state.engines.find(event.report.target);
        if (position == this->state.engines.end())
            return;
        EngineRecord &record = position->second;
        record.pollInFlight = false;
        EngineReport report = event.report;
        report.receivedAt = this->now;
        storeReport(record, std::move(report));
        this->state.reportsChanged = true;
        if (resolvesLostOrder(record)) {
            const bool succeeded = record.report->version >= record.orderedVersion;
            this->completeOrder(event.report.target, record, succeeded);
        }
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const LoadPollFailed &event)
    {
        const auto position = this->state.engines.find(event.target);
        if (position != this->state.engines.end())
            position->second.pollInFlight = false;
    }

    void operator()(const WeightOrderCompleted &event)
    {
        const auto position = this->state.engines.find(event.target);
        if (position == this->state.engines.end())
            return;
        EngineRecord &record = position->second;
        if (record.phase != SwapPhase::Ordered || record.orderedVersion != event.version)
            return;
        this->state.reportsChanged = true;
        if (event.result == WeightOrderResult::Lost) {
            record.answerLost = true;
            record.phaseSince = this->now;
            record.nextPollAt = this->now;
            return;
        }
        if (event.result == WeightOrderResult::StaleFencingToken)
            this->dropClaimOn(event.target);
        this->completeOrder(event.target, record, event.result == WeightOrderResult::Done);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const ReportsRequested &event)
    {
        SendReports answer{event.reply, ownReports(this->state)};
        for (EngineReport &report : answer.reports)
            report.age = this->now - measuredAt(report);
        this->actions.push_back(std::move(answer));
    }

    void operator()(const PeerReportsReceived &event)
    {
        for (EngineReport report : event.reports) {
            if (this->state.engines.contains(report.target))
                continue;
            report.receivedAt = this->now;
            const auto [position, isNew] =
                    this->state.peerReports.try_emplace(report.target, report);
            // A report with the same sequence number is stored too: its owner may have changed
            // `swapping` since, for example for a drain.
            if (!isNew && !isNewer(position->second, report))
                position->second = std::move(report);
        }
        this->state.reportsChanged = true;
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const WeightsUpdateRequested &event)
    {
        const bool isKnown = this->state.configuration != nullptr
                             && findService(*this->state.configuration, event.model) != nullptr;
        if (!isKnown) {
            this->actions.push_back(AnswerWeights{event.reply, WeightsVerdict::UnknownModel, {}});
            return;
        }
        this->state.pendingUpdates.push_back(
                {event.reply, event.model, event.version, this->now + updateTimeout});
        this->actions.push_back(ReadWeights{event.model});
    }

    void operator()(const WeightsCommitted &event)
    {
        this->learnDesired(event.model, {event.version, event.rowVersion});
        for (const Node &owner : this->otherOwnersOf(event.model))
            this->actions.push_back(SendDesiredWeights{owner, event.model, event.version});
        this->resolveUpdates(event.model);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const WeightsRead &event)
    {
        this->learnDesired(event.model, event.stored);
        this->resolveUpdates(event.model);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const DesiredWeightsReceived &event)
    {
        this->learnDesired(event.model, {event.version, 0});
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const GroupClaimRead &event)
    {
        onClaimRead(this->state, event, this->now, this->actions);
    }

    void operator()(const GroupClaimReadFailed &event)
    {
        const auto position = this->state.groupClaims.find(event.key);
        if (position != this->state.groupClaims.end())
            position->second.readInFlight = false;
    }

    void operator()(const EnginesTick &)
    {
        this->expireOrders();
        this->pollEngines();
        requestDueClaimReads(this->state, this->now, this->actions);
        this->requestPeerReports();
        this->readDesiredWeights();
        this->expireUpdates();
        std::erase_if(this->state.peerReports, [&](const auto &entry) {
            return this->now - entry.second.receivedAt > peerReportRetention;
        });
        reconcileWeights(this->state, this->now, this->actions);
        this->state.publishDue = this->state.publishDue || this->state.reportsChanged;
    }

    void regroup()
    {
        if (!this->state.configuration || !this->state.view)
            return;
        this->state.groups = groupEngines(*this->state.configuration, *this->state.view);
        std::map<std::string, GroupClaim> claims;
        std::map<TargetId, EngineRecord> engines;
        for (const EngineGroup &group : this->state.groups) {
            if (group.owner != this->state.settings.self)
                continue;
            retainOrAddClaim(this->state, group.key, this->now, claims);
            for (const Target &engine : group.engines)
                this->keepRecord(engine.id, engines);
        }
        this->state.groupClaims = std::move(claims);
        this->state.engines = std::move(engines);
        this->state.reportingPeers = this->selectReportingPeers();
        this->state.reportsChanged = true;
    }

    // Copies the existing record of an engine into `engines`, or adds a new one.
    void keepRecord(const TargetId &target, std::map<TargetId, EngineRecord> &engines)
    {
        const auto known = this->state.engines.find(target);
        if (known != this->state.engines.end()) {
            engines.insert(*known);
            return;
        }
        EngineRecord record;
        record.ownedSince = this->now;
        record.nextPollAt = this->now;
        engines.emplace(target, std::move(record));
        this->state.peerReports.erase(target);
    }

    void completeOrder(const TargetId &target, EngineRecord &record, bool succeeded)
    {
        record.phase = SwapPhase::Idle;
        record.phaseSince = this->now;
        record.answerLost = false;
        this->state.publishDue = true;
        record.nextPollAt = this->now;
        if (succeeded) {
            record.consecutiveFailures = 0;
            record.orderCompletedAt = this->now;
            record.report->version = std::max(record.report->version, record.orderedVersion);
            record.report->swapping = false;
            return;
        }
        record.retryAt =
                this->now + backoffDelay(minBackoff, maxBackoff, record.consecutiveFailures);
        ++record.consecutiveFailures;
        if (record.consecutiveFailures >= giveUpThreshold)
            this->actions.push_back(
                    EngineGivenUp{target, record.orderedVersion, record.consecutiveFailures});
    }

    // Fails the orders whose lost answer no report can resolve, because the engine is silent.
    void expireOrders()
    {
        for (auto &[target, record] : this->state.engines) {
            const bool isExpired = record.phase == SwapPhase::Ordered && record.answerLost
                                   && this->now - record.phaseSince > lostOrderTimeout
                                   && this->now - record.report->receivedAt > lostOrderTimeout;
            if (isExpired)
                this->completeOrder(target, record, false);
        }
    }

    // Drops this node's claim on the group of an engine.
    void dropClaimOn(const TargetId &target)
    {
        const EngineGroup *group = groupOf(this->state, target);
        const auto position = group == nullptr ? this->state.groupClaims.end()
                                               : this->state.groupClaims.find(group->key);
        if (position != this->state.groupClaims.end())
            dropClaim(this->state, position->second, this->now);
    }

    void learnDesired(const ServiceName &model, const DesiredWeights &update)
    {
        DesiredWeights &known = this->state.desiredWeights[model];
        known.version = std::max(known.version, update.version);
        known.rowVersion = std::max(known.rowVersion, update.rowVersion);
    }

    // Answers the pending updates that the known version decides, and commits the others. A version
    // received from a peer may be newer than the last read row; both versions are committed.
    void resolveUpdates(const ServiceName &model)
    {
        const DesiredWeights &known = this->state.desiredWeights[model];
        std::erase_if(this->state.pendingUpdates, [&](const PendingWeightsUpdate &pending) {
            if (pending.model != model)
                return false;
            if (known.version < pending.version) {
                this->actions.push_back(CommitWeights{model, pending.version, known.rowVersion});
                return false;
            }
            const auto verdict = known.version == pending.version ? WeightsVerdict::Accepted
                                                                  : WeightsVerdict::Lower;
            this->actions.push_back(AnswerWeights{pending.reply, verdict, known.version});
            return true;
        });
    }

    void expireUpdates()
    {
        std::set<ServiceName> models;
        std::erase_if(this->state.pendingUpdates, [&](const PendingWeightsUpdate &pending) {
            models.insert(pending.model);
            if (pending.deadline > this->now)
                return false;
            this->actions.push_back(
                    AnswerWeights{pending.reply, WeightsVerdict::Unknown,
                                  this->state.desiredWeights[pending.model].version});
            return true;
        });
        for (const ServiceName &model : models)
            this->actions.push_back(ReadWeights{model});
    }

    std::vector<Node> otherOwnersOf(const ServiceName &model)
    {
        std::set<NodeId> ids;
        for (const EngineGroup &group : this->state.groups) {
            if (group.model == model && group.owner != this->state.settings.self)
                ids.insert(group.owner);
        }
        std::vector<Node> owners;
        for (const NodeId &id : ids) {
            if (const Node *node = findNode(this->state, id))
                owners.push_back(*node);
        }
        return owners;
    }

    void pollEngines()
    {
        const Duration period = pollPeriod(this->state);
        for (const EngineGroup &group : this->state.groups) {
            if (group.owner != this->state.settings.self)
                continue;
            for (const Target &engine : group.engines) {
                EngineRecord &record = this->state.engines.at(engine.id);
                if (record.pollInFlight || record.nextPollAt > this->now)
                    continue;
                record.pollInFlight = true;
                // A draining engine is polled at every tick, because the first report without
                // requests in flight ends the drain.
                const bool isDraining = record.phase == SwapPhase::Draining;
                record.nextPollAt = isDraining ? this->now : this->now + period;
                this->actions.push_back(PollLoad{engine});
            }
        }
    }

    // Requests the reports of one owner at a time, in rotation over at most `maxReportingPeers`
    // owners, which bounds the network traffic.
    void requestPeerReports()
    {
        if (!this->state.view || this->now < this->state.nextReportsRequestAt)
            return;
        this->state.nextReportsRequestAt = this->now + this->state.settings.peerReportsPeriod;
        const std::vector<Node> &owners = this->state.reportingPeers;
        if (owners.empty())
            return;
        this->state.nextPeerIndex = (this->state.nextPeerIndex + 1) % owners.size();
        this->actions.push_back(RequestReports{owners[this->state.nextPeerIndex]});
    }

    // Selects other owners by rendezvous hashing of this node's id, so that every owner receives
    // requests from about the same number of nodes.
    std::vector<Node> selectReportingPeers()
    {
        std::set<NodeId> ids;
        for (const EngineGroup &group : this->state.groups) {
            if (group.owner != this->state.settings.self)
                ids.insert(group.owner);
        }
        std::vector<Node> candidates;
        for (const NodeId &id : ids) {
            if (const Node *node = findNode(this->state, id))
                candidates.push_back(*node);
        }
        std::vector<Node> selected;
        while (selected.size() < maxReportingPeers && !candidates.empty()) {
            const Node *best = ownerOf(this->state.settings.self.value, candidates);
            selected.push_back(*best);
            candidates.erase(candidates.begin() + (best - candidates.data()));
        }
        return selected;
    }

    void readDesiredWeights()
    {
        if (this->now < this->state.nextDesiredReadAt)
            return;
        this->state.nextDesiredReadAt = this->now + this->state.settings.desiredReadPeriod;
        std::set<ServiceName> models;
        for (const EngineGroup &group : this->state.groups) {
            if (group.owner == this->state.settings.self)
                models.insert(group.model);
        }
        for (const ServiceName &model : models)
            this->actions.push_back(ReadWeights{model});
    }

    void publish()
    {
        if (!this->state.publishDue)
            return;
        this->state.publishDue = false;
        this->state.reportsChanged = false;
        auto reports = std::make_shared<EngineReports>();
        reports->reports = ownReports(this->state);
        for (const auto &[target, report] : this->state.peerReports)
            reports->reports.push_back(report);
        this->actions.push_back(PublishReports{std::move(reports)});
    }
};

} // namespace

EnginesState makeEnginesState(EnginesSettings settings)
{
    EnginesState state;
    state.settings = std::move(settings);
    return state;
}

std::vector<EnginesAction> step(EnginesState &state, const EnginesEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    handler.publish();
    return std::move(handler.actions);
}

Duration reportTimeout(const EnginesState &state)
{
    constexpr int maxMissedPolls = 3;
    return std::max<Duration>(std::chrono::seconds(5), maxMissedPolls * pollPeriod(state));
}

std::vector<EngineReport> ownReports(const EnginesState &state)
{
    std::vector<EngineReport> reports;
    for (const auto &[target, record] : state.engines) {
        if (!record.report)
            continue;
        reports.push_back(*record.report);
        reports.back().swapping = record.report->swapping || record.phase != SwapPhase::Idle;
    }
    return reports;
}

} // namespace geraniumpulley::core
