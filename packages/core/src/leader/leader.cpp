#include <geraniumpulley/core/leader/leader.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Returns the right of this node to act as the leader now, if it has it.
std::optional<LeadershipProof> proofOf(const LeaderState &state, Time now)
{
    if (!state.directory || state.draining)
        return std::nullopt;
    const Leadership &leadership = state.directory->leadership;
    if (state.supersededFence == leadership.fence
        || leadership.provenUntil <= state.voidProofsUntil)
        return std::nullopt;
    return proofOf(leadership, now);
}

bool reportsUsage(const LeaderState &state)
{
    return state.directory && state.directory->routing && state.directory->routing->accounts;
}

struct Handler
{
    LeaderState &state;
    Time now;
    WallTime wallNow;
    std::vector<LeaderAction> actions;

    void operator()(const UsageRecorded &event)
    {
        recordUsage(this->state.counter, event.account, event.begunAt, this->now, this->wallNow);
        if (this->state.draining)
            this->writeAllCounts();
    }

    void operator()(const LeaderDirectoryChanged &event)
    {
        this->state.directory = event.directory;
    }

    void operator()(const DemandReceived &event)
    {
        recordDemand(this->state.orders, event.report, this->now);
    }

    void operator()(const UsageCountsStored &event)
    {
        recordUsageWrite(this->state.counter, event.window, event.succeeded, this->now);
    }

    void operator()(const UsageReportFound &event)
    {
        onReportFound(this->state.reporter, event.window, event.succeeded, event.counts, this->now);
    }

    void operator()(const UsageCountsRead &event)
    {
        onCountsRead(this->state.reporter, event.window, event.succeeded, event.counts, this->now);
    }

    void operator()(const UsageReportDecided &event)
    {
        onReportDecided(this->state.reporter, event.window, event.outcome, this->now);
    }

    void operator()(const UsageReportSent &event)
    {
        // Usage reports are refused for no other reason.
        if (event.reply == ProviderReply::Conflict)
            this->state.supersededFence = event.fence;
        onReportSent(this->state.reporter, event.window, event.reply, this->now);
    }

    void operator()(const TargetsOrdered &event)
    {
        onTargetsOrdered(this->state.orders, event.group, event.reply, this->now);
    }

    // The directory still carries the proof from before the suspension.
    void operator()(const LeaderSuspended &)
    {
        if (this->state.directory)
            this->state.voidProofsUntil = this->state.directory->leadership.provenUntil;
    }

    void operator()(const LeaderDraining &)
    {
        this->state.draining = true;
        this->writeAllCounts();
    }

    void operator()(const LeaderTick &) { }

    void writeAllCounts()
    {
        for (auto &[window, counted] : this->state.counter.windows) {
            if (counted.writeAt)
                counted.writeAt = this->now;
        }
    }

    // Runs after each event and performs all actions that have become due.
    void advance()
    {
        for (StoreUsageCounts &write :
             dueUsageWrites(this->state.counter, this->now, this->wallNow))
            this->actions.emplace_back(std::move(write));
        const auto proof = proofOf(this->state, this->now);
        this->updateTurn(proof.has_value());
        if (!proof)
            return;
        if (reportsUsage(this->state)) {
            for (UsageAction &action :
                 advanceReports(this->state.reporter, *proof, this->now, this->wallNow))
                std::visit(
                        [this](auto &content) { this->actions.emplace_back(std::move(content)); },
                        action);
        }
        for (OrderTargets &order :
             planTargetOrders(this->state.orders, *this->state.directory, *proof, this->now))
            this->actions.emplace_back(std::move(order));
    }

    // A turn lasts as long as the lease, also while nothing proves it for a moment.
    void updateTurn(bool acts)
    {
        const Leadership leadership =
                this->state.directory ? this->state.directory->leadership : Leadership{};
        const bool isOtherTurn =
                !leadership.isHeldHere || leadership.fence != this->state.actingFence;
        if (isOtherTurn) {
            abandonReports(this->state.reporter);
            abandonOrders(this->state.orders);
            this->state.actingFence = leadership.fence;
        }
        if (acts != this->state.isActing)
            this->actions.emplace_back(LeaderTurnChanged{acts, leadership.fence});
        this->state.isActing = acts;
    }
};

} // namespace

LeaderState makeLeaderState(const LeaderSettings &settings)
{
    LeaderState state;
    state.counter.settings.window = settings.usageWindow;
    state.reporter.settings.window = settings.usageWindow;
    state.reporter.settings.dueAfter = settings.usageDueAfter;
    // Half of the time is left for sending, also where reports are due early.
    state.reporter.settings.decideDelay =
            std::min(state.reporter.settings.decideDelay, settings.usageDueAfter / 2);
    return state;
}

std::vector<LeaderAction> step(LeaderState &state, const LeaderEvent &event, Time now,
                               WallTime wallNow)
{
    Handler handler{state, now, wallNow, {}};
    std::visit(handler, event);
    handler.advance();
    return std::move(handler.actions);
}

std::optional<Time> dueAt(const LeaderState &state, Time now, WallTime wallNow)
{
    std::optional<Time> due = dueAt(state.counter);
    const auto add = [&](Time time) { due = std::min(due.value_or(time), time); };
    const Directory *directory = state.directory.get();
    if (directory != nullptr && directory->leadership.isHeldHere
        && directory->leadership.actsFrom > now)
        add(directory->leadership.actsFrom);
    if (!proofOf(state, now))
        return due;
    if (reportsUsage(state))
        add(*dueAt(state.reporter, now, wallNow));
    if (directory->routing && scalesTargets(*directory->routing))
        add(std::max(state.orders.nextPlanAt, now + Duration{1}));
    return due;
}

} // namespace geraniumpulley::core
