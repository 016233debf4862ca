#include <geraniumpulley/core/engines/engines.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

// The owner of a group compares what its engines report with the desired version, and drains and
// orders those behind. It keeps no plan: what it would do next follows from the reports alone, so
// a new owner, a lost answer or a version raised in between need no special case.
namespace geraniumpulley::core {
namespace {

using Actions = std::vector<EnginesAction>;

constexpr Duration lostAfter = std::chrono::seconds(15); // Without a report.
constexpr Duration loadingLimit = std::chrono::seconds(60);
constexpr Duration feedingPatience = std::chrono::seconds(10);
constexpr Duration feederAskPeriod = std::chrono::milliseconds(500);
constexpr Duration feederReportLimit = std::chrono::seconds(10);
constexpr std::size_t fedAtOnce = 2; // Copies that one loaded engine gives at a time.

bool isHeard(const EnginesState &state, const EngineRecord &record, Time now)
{
    return record.report && now - record.report->heardAt <= reportLimit(state);
}

// An engine that is silent, or loads without an end, does not count towards the share any more.
bool isLost(const EngineRecord &record, Time now)
{
    const Time lastHeard =
            record.report ? std::max(record.report->heardAt, record.firstSeen) : record.firstSeen;
    if (now - lastHeard > lostAfter)
        return true;
    return record.report && record.report->swapping && record.phase == SwapPhase::Idle
           && now - record.loadingSince > loadingLimit;
}

struct Wave
{
    EnginesState &state;
    const EngineGroup &group;
    const Service &service;
    GroupHold &hold;
    WeightVersion desired;
    Time now;
    Actions &actions;

    EngineRecord &record(const Target &engine) { return this->state.engines.at(engine.id); }

    bool serves(const Target &engine)
    {
        const EngineRecord &known = this->record(engine);
        return isHeard(this->state, known, this->now) && known.phase == SwapPhase::Idle
               && !known.report->swapping;
    }

    // Orders the engines that have drained, then drains more while the share allows it.
    void advance()
    {
        if (this->isSettled())
            return;
        for (const Target &engine : this->group.engines)
            this->advanceDraining(engine);
        std::vector<Target> behind = this->enginesBehind();
        std::size_t room = this->room();
        for (const Target &engine : behind) {
            if (room == 0)
                return;
            std::optional<std::string> source = this->findSource();
            if (!source)
                return this->waitForSource();
            this->hold.starvedSince.reset();
            this->drain(this->record(engine), std::move(*source));
            --room;
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

    std::size_t room()
    {
        std::size_t counted = 0;
        std::size_t out = 0;
        for (const Target &engine : this->group.engines) {
            const EngineRecord &known = this->record(engine);
            const bool underWay = known.phase != SwapPhase::Idle;
            if (!underWay && isLost(known, this->now))
                continue;
            ++counted;
            if (!this->serves(engine))
                ++out;
        }
        const std::size_t allowance = swapAllowance(this->service, counted);
        return allowance - std::min(allowance, out);
    }

    // Engines that failed before come last, then those with the least to drain come first.
    std::vector<Target> enginesBehind()
    {
        std::vector<Target> behind;
        for (const Target &engine : this->group.engines) {
            const EngineRecord &known = this->record(engine);
            if (this->serves(engine) && known.report->version < this->desired
                && known.retryAt <= this->now)
                behind.push_back(engine);
        }
        std::stable_sort(behind.begin(), behind.end(), [&](const Target &a, const Target &b) {
            const EngineRecord &left = this->record(a);
            const EngineRecord &right = this->record(b);
            return std::pair(left.failures, left.report->inFlight)
                   < std::pair(right.failures, right.report->inFlight);
        });
        return behind;
    }

    void drain(EngineRecord &known, std::string source)
    {
        known.phase = SwapPhase::Draining;
        known.phaseSince = this->now;
        known.source = std::move(source);
        known.nextPoll = this->now; // A fresh count of requests in flight ends the drain early.
        this->state.publishNow = true;
    }

    void advanceDraining(const Target &engine)
    {
        EngineRecord &known = this->record(engine);
        if (known.phase != SwapPhase::Draining)
            return;
        const EngineReport &report = *known.report;
        if (report.version >= this->desired || report.swapping) {
            known.phase = SwapPhase::Idle;
            this->state.publishNow = true;
            return;
        }
        const bool empty = report.inFlight == 0 && measuredAt(report) > known.phaseSince;
        if (empty || this->now - known.phaseSince >= this->state.settings.drainLimit)
            this->order(engine, known);
    }

    void order(const Target &engine, EngineRecord &known)
    {
        assert(known.report->version < this->desired);
        known.phase = SwapPhase::Ordered;
        known.phaseSince = this->now;
        known.ordered = this->desired;
        known.answerLost = false;
        this->actions.push_back(
                OrderWeights{engine, this->desired, this->hold.fence, known.source});
    }

    std::size_t swapsFrom(const std::string &source)
    {
        return static_cast<std::size_t>(std::count_if(
                this->group.engines.begin(), this->group.engines.end(), [&](const Target &engine) {
                    const EngineRecord &known = this->record(engine);
                    return known.phase != SwapPhase::Idle && known.source == source;
                }));
    }

    // The weight store while it has loads left for this group, else an engine that is loaded.
    std::optional<std::string> findSource()
    {
        const auto groups = static_cast<std::uint32_t>(
                std::count_if(this->state.groups.begin(), this->state.groups.end(),
                              [&](const auto &other) { return other.model == this->group.model; }));
        if (this->swapsFrom("") < storeLoadsOf(this->service, this->group.index, groups))
            return "";
        if (!this->state.settings.relays)
            return std::nullopt;
        for (const Target &engine : this->group.engines) {
            if (this->serves(engine) && this->record(engine).report->version >= this->desired
                && this->swapsFrom(engine.address) < fedAtOnce)
                return engine.address;
        }
        if (this->swapsFrom("") > 0 || this->hasLoaded())
            return std::nullopt;
        return this->findFeeder();
    }

    bool hasLoaded()
    {
        return std::any_of(this->group.engines.begin(), this->group.engines.end(),
                           [&](const Target &engine) {
                               const EngineRecord &known = this->record(engine);
                               return known.report && known.report->version >= this->desired;
                           });
    }

    // An engine of another group, as its owner told; only while this group has none of its own.
    std::optional<std::string> findFeeder()
    {
        const bool patient =
                !this->hold.starvedSince || this->now - *this->hold.starvedSince < feedingPatience;
        if (!patient && this->swapsFrom("") == 0)
            return "";
        for (const Target &engine : this->feeders()) {
            const auto heard = this->state.heard.find(engine.id);
            const bool loaded = heard != this->state.heard.end()
                                && heard->second.version >= this->desired && !heard->second.swapping
                                && this->now - heard->second.heardAt < feederReportLimit;
            if (loaded && this->swapsFrom(engine.address) < fedAtOnce)
                return engine.address;
            // The same node may own both groups.
            const auto own = this->state.engines.find(engine.id);
            if (own != this->state.engines.end() && this->serves(engine)
                && own->second.report->version >= this->desired
                && this->swapsFrom(engine.address) < fedAtOnce)
                return engine.address;
        }
        return std::nullopt;
    }

    const EngineGroup *feeding()
    {
        const std::uint32_t index = feedingGroup(this->service, this->group.index);
        for (const EngineGroup &other : this->state.groups) {
            if (other.model == this->group.model && other.index == index)
                return &other;
        }
        return nullptr;
    }

    // The groups fed by one start at different engines of it.
    std::vector<Target> feeders()
    {
        const EngineGroup *other = this->feeding();
        if (other == nullptr || other == &this->group)
            return {};
        std::vector<Target> engines = other->engines;
        if (engines.empty())
            return engines;
        const auto first = static_cast<std::ptrdiff_t>(this->group.index % engines.size());
        std::rotate(engines.begin(), engines.begin() + first, engines.end());
        return engines;
    }

    void waitForSource()
    {
        if (!this->hold.starvedSince)
            this->hold.starvedSince = this->now;
        const EngineGroup *other = this->feeding();
        if (other == nullptr || other->owner == this->state.settings.self || this->hasLoaded())
            return;
        const auto &nodes = this->state.view->nodes;
        const auto owner = std::find_if(nodes.begin(), nodes.end(),
                                        [&](const Node &node) { return node.id == other->owner; });
        if (owner == nodes.end() || this->now < this->hold.nextFeederAsk)
            return;
        this->hold.nextFeederAsk = this->now + feederAskPeriod;
        this->actions.push_back(AskReports{*owner});
    }
};

// Without a hold nothing is ordered, and engines that were draining serve again.
void stopDraining(EnginesState &state, const EngineGroup &group)
{
    for (const Target &engine : group.engines) {
        EngineRecord &record = state.engines.at(engine.id);
        if (record.phase != SwapPhase::Draining)
            continue;
        record.phase = SwapPhase::Idle;
        state.publishNow = true;
    }
}

} // namespace

void reconcileWeights(EnginesState &state, Time now, std::vector<EnginesAction> &actions)
{
    for (const EngineGroup &group : state.groups) {
        if (group.owner != state.settings.self)
            continue;
        const Service *service = findService(*state.configuration, group.model);
        const auto desired = state.desired.find(group.model);
        if (service == nullptr || desired == state.desired.end())
            continue;
        if (!isUsable(state, group, now)) {
            stopDraining(state, group);
            continue;
        }
        GroupHold &hold = state.holds.at(group.key);
        Wave{state, group, *service, hold, desired->second.version, now, actions}.advance();
    }
}

} // namespace geraniumpulley::core
