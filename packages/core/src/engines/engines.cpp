#include <geraniumpulley/core/engines/engines.hpp>

#include <geraniumpulley/core/back_off.hpp>

#include "engine_holds.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<EnginesAction>;

constexpr Duration pendingLimit = std::chrono::seconds(4);
constexpr Duration lostOrderLimit = std::chrono::seconds(15);
constexpr Duration heardLimit = std::chrono::seconds(30);
constexpr Duration firstBackoff = std::chrono::seconds(1);
constexpr Duration longestBackoff = std::chrono::seconds(60);
constexpr std::uint32_t failuresToGiveUp = 3;
constexpr std::size_t ownersAsked = 8; // Bounds the reports that a node hears of others.

Duration pollPeriod(const EnginesState &state)
{
    const auto engines = static_cast<Duration::rep>(state.engines.size());
    return std::max(state.settings.pollPeriod, state.settings.pollSpacing * engines);
}

const EngineGroup *groupOf(const EnginesState &state, const TargetId &target)
{
    for (const EngineGroup &group : state.groups) {
        const bool holds = std::any_of(group.engines.begin(), group.engines.end(),
                                       [&](const Target &engine) { return engine.id == target; });
        if (holds)
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

// A report that was measured before the last order ended still shows the version before it.
void takeReport(EngineRecord &record, EngineReport report)
{
    if (record.report && !isNewer(report, *record.report))
        return;
    const bool lags = record.report && record.report->incarnation == report.incarnation
                      && measuredAt(report) < record.confirmedAt;
    if (lags) {
        report.version = std::max(report.version, record.report->version);
        report.swapping = record.report->swapping;
    }
    if (report.swapping && !(record.report && record.report->swapping))
        record.loadingSince = report.heardAt;
    record.report = std::move(report);
}

// The answer of an order was lost; the first report measured after that tells what became of it.
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

    void operator()(const LoadHeard &event)
    {
        const auto position = this->state.engines.find(event.report.target);
        if (position == this->state.engines.end())
            return;
        EngineRecord &record = position->second;
        record.polling = false;
        EngineReport report = event.report;
        report.heardAt = this->now;
        takeReport(record, std::move(report));
        this->state.changed = true;
        if (resolvesLostOrder(record)) {
            const bool done = record.report->version >= record.ordered;
            this->finishOrder(event.report.target, record, done);
        }
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const LoadPollFailed &event)
    {
        const auto position = this->state.engines.find(event.target);
        if (position != this->state.engines.end())
            position->second.polling = false;
    }

    void operator()(const WeightOrderAnswered &event)
    {
        const auto position = this->state.engines.find(event.target);
        if (position == this->state.engines.end())
            return;
        EngineRecord &record = position->second;
        if (record.phase != SwapPhase::Ordered || record.ordered != event.version)
            return;
        this->state.changed = true;
        if (event.result == WeightOrderResult::Lost) {
            record.answerLost = true;
            record.phaseSince = this->now;
            record.nextPoll = this->now;
            return;
        }
        if (event.result == WeightOrderResult::OldFence)
            this->loseGroupOf(event.target);
        this->finishOrder(event.target, record, event.result == WeightOrderResult::Done);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const ReportsAsked &event)
    {
        AnswerReports answer{event.reply, ownReports(this->state)};
        for (EngineReport &report : answer.reports)
            report.age = this->now - measuredAt(report);
        this->actions.push_back(std::move(answer));
    }

    void operator()(const PeerReportsHeard &event)
    {
        for (EngineReport report : event.reports) {
            if (this->state.engines.contains(report.target))
                continue;
            report.heardAt = this->now;
            const auto [position, isNew] = this->state.heard.try_emplace(report.target, report);
            // An equal sequence may carry another mark of its owner, such as a drain.
            if (!isNew && !isNewer(position->second, report))
                position->second = std::move(report);
        }
        this->state.changed = true;
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const WeightsPosted &event)
    {
        const bool known = this->state.configuration != nullptr
                           && findService(*this->state.configuration, event.model) != nullptr;
        if (!known) {
            this->actions.push_back(AnswerWeights{event.reply, WeightsVerdict::UnknownModel, {}});
            return;
        }
        this->state.pending.push_back(
                {event.reply, event.model, event.version, this->now + pendingLimit});
        this->actions.push_back(ReadWeights{event.model});
    }

    void operator()(const WeightsCommitted &event)
    {
        this->learnDesired(event.model, {event.version, event.rowVersion});
        for (const Node &owner : this->ownersOf(event.model))
            this->actions.push_back(SendDesiredWeights{owner, event.model, event.version});
        this->resolvePending(event.model);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const WeightsRead &event)
    {
        this->learnDesired(event.model, event.stored);
        this->resolvePending(event.model);
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const DesiredWeightsHeard &event)
    {
        this->learnDesired(event.model, {event.version, 0});
        reconcileWeights(this->state, this->now, this->actions);
    }

    void operator()(const GroupClaimRead &event)
    {
        takeClaimRead(this->state, event, this->now, this->actions);
    }

    void operator()(const GroupClaimUnread &event)
    {
        const auto position = this->state.holds.find(event.key);
        if (position != this->state.holds.end())
            position->second.reading = false;
    }

    void operator()(const EnginesTick &)
    {
        this->expireOrders();
        this->pollEngines();
        readClaims(this->state, this->now, this->actions);
        this->askPeers();
        this->readDesired();
        this->expirePending();
        std::erase_if(this->state.heard, [&](const auto &entry) {
            return this->now - entry.second.heardAt > heardLimit;
        });
        reconcileWeights(this->state, this->now, this->actions);
        this->state.publishNow = this->state.publishNow || this->state.changed;
    }

    void regroup()
    {
        if (!this->state.configuration || !this->state.view)
            return;
        this->state.groups = groupEngines(*this->state.configuration, *this->state.view);
        std::map<std::string, GroupHold> holds;
        std::map<TargetId, EngineRecord> engines;
        for (const EngineGroup &group : this->state.groups) {
            if (group.owner != this->state.settings.self)
                continue;
            keepHold(this->state, group.key, this->now, holds);
            for (const Target &engine : group.engines)
                this->keepRecord(engine.id, engines);
        }
        this->state.holds = std::move(holds);
        this->state.engines = std::move(engines);
        this->state.asked = this->sampleOwners();
        this->state.changed = true;
    }

    void keepRecord(const TargetId &target, std::map<TargetId, EngineRecord> &engines)
    {
        const auto known = this->state.engines.find(target);
        if (known != this->state.engines.end()) {
            engines.insert(*known);
            return;
        }
        EngineRecord record;
        record.firstSeen = this->now;
        record.nextPoll = this->now;
        engines.emplace(target, std::move(record));
        this->state.heard.erase(target);
    }

    void finishOrder(const TargetId &target, EngineRecord &record, bool done)
    {
        record.phase = SwapPhase::Idle;
        record.phaseSince = this->now;
        record.answerLost = false;
        this->state.publishNow = true;
        record.nextPoll = this->now;
        if (done) {
            record.failures = 0;
            record.confirmedAt = this->now;
            record.report->version = std::max(record.report->version, record.ordered);
            record.report->swapping = false;
            return;
        }
        record.retryAt = this->now + backOff(firstBackoff, longestBackoff, record.failures);
        ++record.failures;
        if (record.failures >= failuresToGiveUp)
            this->actions.push_back(EngineGivenUp{target, record.ordered, record.failures});
    }

    // A dead engine reports nothing that could resolve a lost answer.
    void expireOrders()
    {
        for (auto &[target, record] : this->state.engines) {
            const bool expired = record.phase == SwapPhase::Ordered && record.answerLost
                                 && this->now - record.phaseSince > lostOrderLimit
                                 && this->now - record.report->heardAt > lostOrderLimit;
            if (expired)
                this->finishOrder(target, record, false);
        }
    }

    void loseGroupOf(const TargetId &target)
    {
        const EngineGroup *group = groupOf(this->state, target);
        const auto position =
                group == nullptr ? this->state.holds.end() : this->state.holds.find(group->key);
        if (position != this->state.holds.end())
            loseHold(this->state, position->second, this->now);
    }

    void learnDesired(const ServiceName &model, const DesiredWeights &learned)
    {
        DesiredWeights &known = this->state.desired[model];
        known.version = std::max(known.version, learned.version);
        known.rowVersion = std::max(known.rowVersion, learned.rowVersion);
    }

    // A version heard from a peer may be newer than the row that was read; both are committed.
    void resolvePending(const ServiceName &model)
    {
        const DesiredWeights &known = this->state.desired[model];
        std::erase_if(this->state.pending, [&](const PendingWeights &pending) {
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

    void expirePending()
    {
        std::set<ServiceName> models;
        std::erase_if(this->state.pending, [&](const PendingWeights &pending) {
            models.insert(pending.model);
            if (pending.deadline > this->now)
                return false;
            this->actions.push_back(AnswerWeights{pending.reply, WeightsVerdict::Unknown,
                                                  this->state.desired[pending.model].version});
            return true;
        });
        for (const ServiceName &model : models)
            this->actions.push_back(ReadWeights{model});
    }

    std::vector<Node> ownersOf(const ServiceName &model)
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
                if (record.polling || record.nextPoll > this->now)
                    continue;
                record.polling = true;
                // A drain ends with the first report that shows the engine empty.
                const bool draining = record.phase == SwapPhase::Draining;
                record.nextPoll = draining ? this->now : this->now + period;
                this->actions.push_back(PollLoad{engine});
            }
        }
    }

    // One owner at a time, in rotation over at most `ownersAsked`, which bounds the bytes.
    void askPeers()
    {
        if (!this->state.view || this->now < this->state.nextPeers)
            return;
        this->state.nextPeers = this->now + this->state.settings.peerPeriod;
        const std::vector<Node> &owners = this->state.asked;
        if (owners.empty())
            return;
        this->state.nextAsked = (this->state.nextAsked + 1) % owners.size();
        this->actions.push_back(AskReports{owners[this->state.nextAsked]});
    }

    // Each node samples other owners, so that each owner is asked by about as many nodes.
    std::vector<Node> sampleOwners()
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
        std::vector<Node> sample;
        while (sample.size() < ownersAsked && !candidates.empty()) {
            const Node *best = ownerOf(this->state.settings.self.value, candidates);
            sample.push_back(*best);
            candidates.erase(candidates.begin() + (best - candidates.data()));
        }
        return sample;
    }

    void readDesired()
    {
        if (this->now < this->state.nextDesired)
            return;
        this->state.nextDesired = this->now + this->state.settings.desiredPeriod;
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
        if (!this->state.publishNow)
            return;
        this->state.publishNow = false;
        this->state.changed = false;
        auto reports = std::make_shared<EngineReports>();
        reports->reports = ownReports(this->state);
        for (const auto &[target, report] : this->state.heard)
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

Duration reportLimit(const EnginesState &state)
{
    constexpr int missedPolls = 3;
    return std::max<Duration>(std::chrono::seconds(5), missedPolls * pollPeriod(state));
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
