#include <geraniumpulley/core/engines/engines.hpp>

#include "group_claims.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

// Rolling weight swaps. The owner of a group compares the reported versions of its engines with the
// desired version; it drains the outdated engines and orders them to load new weights. No plan is
// stored: every decision follows from the current reports and records, so a change of owner, a lost
// answer or a higher desired version during a swap needs no special handling.
namespace geraniumpulley::core {
namespace {

using Actions = std::vector<EnginesAction>;

constexpr Duration reportLossTimeout = std::chrono::seconds(15);
constexpr Duration loadTimeout = std::chrono::seconds(60);
// Time without a weight source after which a group loads from the weight store.
constexpr Duration sourceTimeout = std::chrono::seconds(10);
constexpr Duration sourceReportsPeriod = std::chrono::milliseconds(500);
constexpr Duration maxSourceReportAge = std::chrono::seconds(10);
constexpr std::size_t maxCopiesPerSource = 2; // Concurrent copies from one loaded engine.

bool isReporting(const EnginesState &state, const EngineRecord &record, Time now)
{
    return record.report && now - record.report->receivedAt <= reportTimeout(state);
}

// Returns whether an engine is silent or its load has timed out. Such an engine no longer counts
// when the number of concurrent swaps is limited.
bool isUnavailable(const EngineRecord &record, Time now)
{
    const Time lastSeenAt = record.report ? std::max(record.report->receivedAt, record.ownedSince)
                                          : record.ownedSince;
    if (now - lastSeenAt > reportLossTimeout)
        return true;
    return record.report && record.report->swapping && record.phase == SwapPhase::Idle
           && now - record.loadingSince > loadTimeout;
}

// Decides the swaps of one group during one event.
struct GroupSwap
{
    EnginesState &state;
    const EngineGroup &group;
    const Service &service;
    GroupClaim &claim;
    WeightVersion desired;
    Time now;
    Actions &actions;

    EngineRecord &record(const Target &engine) { return this->state.engines.at(engine.id); }

    bool isServing(const Target &engine)
    {
        const EngineRecord &known = this->record(engine);
        return isReporting(this->state, known, this->now) && known.phase == SwapPhase::Idle
               && !known.report->swapping;
    }

    // Orders the drained engines to load, then drains further ones up to the limit of concurrent
    // swaps.
    void advance()
    {
        if (this->isSettled())
            return;
        for (const Target &engine : this->group.engines)
            this->advanceDraining(engine);
        std::vector<Target> outdated = this->outdatedEngines();
        std::size_t allowedSwaps = this->allowedSwaps();
        for (const Target &engine : outdated) {
            if (allowedSwaps == 0)
                return;
            std::optional<std::string> source = this->findSource();
            if (!source)
                return this->waitForSource();
            this->claim.noSourceSince.reset();
            this->drain(this->record(engine), std::move(*source));
            --allowedSwaps;
        }
    }

    [[nodiscard]] bool isSettled()
    {
        return std::all_of(this->group.engines.begin(), this->group.engines.end(),
                           [&](const Target &engine) {
                               const EngineRecord &known = this->record(engine);
                               return known.phase != SwapPhase::Draining
                                      && (!known.report || known.report->version >= this->desired);
                           });
    }

    // Returns how many further engines may be taken out of service.
    std::size_t allowedSwaps()
    {
        std::size_t available = 0;
        std::size_t notServing = 0;
        for (const Target &engine : this->group.engines) {
            const EngineRecord &known = this->record(engine);
            const bool isSwapping = known.phase != SwapPhase::Idle;
            if (!isSwapping && isUnavailable(known, this->now))
                continue;
            ++available;
            if (!this->isServing(engine))
                ++notServing;
        }
        const std::size_t maxSwaps = maxConcurrentSwaps(this->service, available);
        return maxSwaps - std::min(maxSwaps, notServing);
    }

    // Returns the serving engines below the desired version, ordered by failures and then by
    // requests in flight, so that engines that failed come last and those with the least to drain
    // come first.
    std::vector<Target> outdatedEngines()
    {
        std::vector<Target> outdated;
        for (const Target &engine : this->group.engines) {
            const EngineRecord &known = this->record(engine);
            if (this->isServing(engine) && known.report->version < this->desired
                && known.retryAt <= this->now)
                outdated.push_back(engine);
        }
        std::stable_sort(outdated.begin(), outdated.end(), [&](const Target &a, const Target &b) {
            const EngineRecord &left = this->record(a);
            const EngineRecord &right = this->record(b);
            return std::pair(left.consecutiveFailures, left.report->inFlight)
                   < std::pair(right.consecutiveFailures, right.report->inFlight);
        });
        return outdated;
    }

    void drain(EngineRecord &known, std::string source)
    {
        known.phase = SwapPhase::Draining;
        known.phaseSince = this->now;
        known.source = std::move(source);
        known.nextPollAt = this->now; // A new count of requests in flight can end the drain early.
        this->state.publishDue = true;
    }

    void advanceDraining(const Target &engine)
    {
        EngineRecord &known = this->record(engine);
        if (known.phase != SwapPhase::Draining)
            return;
        const EngineReport &report = *known.report;
        if (report.version >= this->desired || report.swapping) {
            known.phase = SwapPhase::Idle;
            this->state.publishDue = true;
            return;
        }
        const bool isDrained = report.inFlight == 0 && measuredAt(report) > known.phaseSince;
        if (isDrained || this->now - known.phaseSince >= this->state.settings.drainTimeout)
            this->order(engine, known);
    }

    void order(const Target &engine, EngineRecord &known)
    {
        assert(known.report->version < this->desired);
        known.phase = SwapPhase::Ordered;
        known.phaseSince = this->now;
        known.orderedVersion = this->desired;
        known.answerLost = false;
        this->actions.push_back(
                OrderWeights{engine, this->desired, this->claim.fence, known.source,
                             ordersValidUntil(this->state, this->group, this->claim)});
    }

    // Returns the number of the group's current swaps that load from a source.
    std::size_t swapsFrom(const std::string &source)
    {
        return static_cast<std::size_t>(std::count_if(
                this->group.engines.begin(), this->group.engines.end(), [&](const Target &engine) {
                    const EngineRecord &known = this->record(engine);
                    return known.phase != SwapPhase::Idle && known.source == source;
                }));
    }

    // Returns the weight store (an empty address) while this group may start a load there,
    // otherwise the address of an engine that has loaded the desired version, if there is one.
    std::optional<std::string> findSource()
    {
        const auto groups = static_cast<std::uint32_t>(
                std::count_if(this->state.groups.begin(), this->state.groups.end(),
                              [&](const auto &other) { return other.model == this->group.model; }));
        if (this->swapsFrom("") < groupStoreLoads(this->service, this->group.index, groups))
            return "";
        if (!this->state.settings.peerCopyEnabled)
            return std::nullopt;
        for (const Target &engine : this->group.engines) {
            if (this->isServing(engine) && this->record(engine).report->version >= this->desired
                && this->swapsFrom(engine.address) < maxCopiesPerSource)
                return engine.address;
        }
        if (this->swapsFrom("") > 0 || this->hasLoadedEngine())
            return std::nullopt;
        return this->findExternalSource();
    }

    bool hasLoadedEngine()
    {
        return std::any_of(this->group.engines.begin(), this->group.engines.end(),
                           [&](const Target &engine) {
                               const EngineRecord &known = this->record(engine);
                               return known.report && known.report->version >= this->desired;
                           });
    }

    // Returns a loaded engine of the source group according to its owner's reports. Used only while
    // no engine of this group has the desired version; after `sourceTimeout`, the weight store is
    // used.
    std::optional<std::string> findExternalSource()
    {
        const bool shouldWait = !this->claim.noSourceSince
                                || this->now - *this->claim.noSourceSince < sourceTimeout;
        if (!shouldWait && this->swapsFrom("") == 0)
            return "";
        for (const Target &engine : this->sourceEngines()) {
            const auto peerReport = this->state.peerReports.find(engine.id);
            const bool isLoaded = peerReport != this->state.peerReports.end()
                                  && peerReport->second.version >= this->desired
                                  && !peerReport->second.swapping
                                  && this->now - peerReport->second.receivedAt < maxSourceReportAge;
            if (isLoaded && this->swapsFrom(engine.address) < maxCopiesPerSource)
                return engine.address;
            // This node may own the source group as well.
            const auto own = this->state.engines.find(engine.id);
            if (own != this->state.engines.end() && this->isServing(engine)
                && own->second.report->version >= this->desired
                && this->swapsFrom(engine.address) < maxCopiesPerSource)
                return engine.address;
        }
        return std::nullopt;
    }

    const EngineGroup *findSourceGroup()
    {
        const std::uint32_t index = sourceGroupIndex(this->service, this->group.index);
        for (const EngineGroup &other : this->state.groups) {
            if (other.model == this->group.model && other.index == index)
                return &other;
        }
        return nullptr;
    }

    // Returns the engines of the source group. The order is rotated by the group's index, so that
    // groups with the same source group start at different engines.
    std::vector<Target> sourceEngines()
    {
        const EngineGroup *sourceGroup = this->findSourceGroup();
        if (sourceGroup == nullptr || sourceGroup == &this->group)
            return {};
        std::vector<Target> engines = sourceGroup->engines;
        if (engines.empty())
            return engines;
        const auto first = static_cast<std::ptrdiff_t>(this->group.index % engines.size());
        std::rotate(engines.begin(), engines.begin() + first, engines.end());
        return engines;
    }

    // Records that no source is available and requests the reports of the source group's owner.
    void waitForSource()
    {
        if (!this->claim.noSourceSince)
            this->claim.noSourceSince = this->now;
        const EngineGroup *sourceGroup = this->findSourceGroup();
        if (sourceGroup == nullptr || sourceGroup->owner == this->state.settings.self
            || this->hasLoadedEngine())
            return;
        const auto &nodes = this->state.view->nodes;
        const auto owner = std::find_if(nodes.begin(), nodes.end(), [&](const Node &node) {
            return node.id == sourceGroup->owner;
        });
        if (owner == nodes.end() || this->now < this->claim.nextReportsRequestAt)
            return;
        this->claim.nextReportsRequestAt = this->now + sourceReportsPeriod;
        this->actions.push_back(RequestReports{*owner});
    }
};

// Without a usable claim no orders are sent, and draining engines return to service.
void cancelDrains(EnginesState &state, const EngineGroup &group)
{
    for (const Target &engine : group.engines) {
        EngineRecord &record = state.engines.at(engine.id);
        if (record.phase != SwapPhase::Draining)
            continue;
        record.phase = SwapPhase::Idle;
        state.publishDue = true;
    }
}

} // namespace

void reconcileWeights(EnginesState &state, Time now, std::vector<EnginesAction> &actions)
{
    for (const EngineGroup &group : state.groups) {
        if (group.owner != state.settings.self)
            continue;
        const Service *service = findService(*state.configuration, group.model);
        const auto desired = state.desiredWeights.find(group.model);
        if (service == nullptr || desired == state.desiredWeights.end())
            continue;
        if (!isUsable(state, group, now)) {
            cancelDrains(state, group);
            continue;
        }
        GroupClaim &claim = state.groupClaims.at(group.key);
        GroupSwap{state, group, *service, claim, desired->second.version, now, actions}.advance();
    }
}

} // namespace geraniumpulley::core
