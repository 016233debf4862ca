#include <geraniumpulley/core/calls/dispatch.hpp>

#include "crash_probe.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t maxAttempts = 3;
constexpr std::size_t targetSubsetSize = 32; // Targets of one service that a node uses.
constexpr std::uint32_t minServerErrorStatus = 500; // HTTP 5xx.

using Actions = std::vector<DispatchAction>;
using InFlightPosition = std::map<OperationId, InFlightCall>::iterator;

struct Handler
{
    DispatchState &state;
    Time now;
    Actions actions;

    void operator()(const CallReceived &event)
    {
        InFlightCall call;
        call.attempt = {event.reply, event.call, event.deadline, event.forwarded};
        this->route(std::move(call));
    }

    void operator()(const TargetAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        const InFlightCall call = this->removeInFlight(position);
        this->recordResult(call, event.status < minServerErrorStatus);
        if (!this->state.suspects.log.empty() || !this->state.suspects.checks.empty())
            clearRequest(this->state.suspects, digestOfCall(call.attempt.call));
        const CallAnswer answer{Outcome::Ran, Reason::Served, event.status, event.contentType,
                                event.body};
        if (!call.claim) {
            this->answer(call.attempt, answer);
        } else {
            ClaimActions claimActions;
            onClaimAnswered(this->state.claims, call.claim->shard, call.claim->identity, answer,
                            this->now, claimActions);
            this->perform(std::move(claimActions));
        }
        this->dispatchQueued(call.attempt.call.service);
    }

    void operator()(const AttemptFailed &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        InFlightCall call = this->removeInFlight(position);
        this->recordResult(call, false);
        const ServiceName service = call.attempt.call.service;
        const auto check =
                event.closedByTarget && call.target ? this->checkForCrash(call) : std::nullopt;
        if (event.failure == AttemptFailure::NotSent)
            this->retry(std::move(call), Reason::ConnectFailed);
        else if (call.target && !call.claim && this->consumeRetry(call))
            this->repeat(std::move(call), check); // Only repeatable calls are sent without a claim.
        else
            this->finishUnknown(call, call.target ? Reason::AnswerLost : Reason::PeerLost);
        this->dispatchQueued(service);
    }

    void operator()(const PeerAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        InFlightCall call = this->removeInFlight(position);
        const bool holderChanged = !call.target && event.answer.reason == Reason::OwnerChanged;
        if (holderChanged && this->holderFor(call.attempt.call) != call.forwardedTo)
            return this->retry(std::move(call), Reason::OwnerChanged);
        this->answer(call.attempt, event.answer);
    }

    void operator()(const DispatchConfigurationChanged &event)
    {
        this->state.configuration = event.configuration;
    }

    void operator()(const DispatchViewChanged &event)
    {
        this->state.view = event.view;
        const std::vector<Target> &targets = event.view->targets;
        std::erase_if(this->state.crashCounts, [&](const auto &entry) {
            return std::none_of(targets.begin(), targets.end(),
                                [&](const Target &target) { return target.id == entry.first; });
        });
    }

    void operator()(const DispatchLeasesChanged &event)
    {
        this->state.leases = event.leases;
        ClaimActions claimActions;
        onLeasesChanged(this->state.claims, event.leases, this->state.nextOperation, this->now,
                        claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const DispatchEnginesChanged &event) { this->state.engines = event.engines; }

    void operator()(const ClaimsCommitted &event)
    {
        ClaimActions claimActions;
        onClaimsCommitted(this->state.claims, event.operation, this->state.nextOperation, this->now,
                          claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsCommitRefused &event)
    {
        ClaimActions claimActions;
        onClaimsCommitRefused(this->state.claims, event.operation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsCommitUncertain &event)
    {
        onClaimsCommitUncertain(this->state.claims, event.operation);
    }

    void operator()(const ClaimRowRead &event)
    {
        ClaimActions claimActions;
        onClaimRowRead(this->state.claims, event.operation, event.row ? &*event.row : nullptr,
                       this->state.nextOperation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsLoaded &event)
    {
        ClaimActions claimActions;
        onClaimsLoaded(this->state.claims, event.shard, event.operation, event.rows,
                       this->state.nextOperation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsLoadFailed &event)
    {
        onClaimsLoadFailed(this->state.claims, event.shard, event.operation, this->now);
    }

    void operator()(const TargetsProbed &event)
    {
        const std::vector<CrashRecord> records = recordCrashProbe(
                this->state.suspects, event, this->now.time_since_epoch(), this->now);
        for (const CrashRecord &record : records)
            addRecord(this->state.suspects, record);
        if (!records.empty())
            ++this->state.crashCounts[records.front().crashed.target];
        while (auto waiting = this->state.awaitingChecks.extract(event.operation))
            this->sendOrQueue(std::move(waiting.mapped()));
    }

    void operator()(const DispatchTick &event)
    {
        sweepRecords(this->state.suspects, this->now.time_since_epoch());
        for (const OperationId check : dueCrashProbes(this->state.suspects, this->now))
            this->probe(check, this->state.suspects.checks.at(check).target.target);
        ClaimActions claimActions;
        tickClaims(this->state.claims, event.wallNow, this->state.nextOperation, this->now,
                   claimActions);
        this->perform(std::move(claimActions));
        this->expireQueued();
        for (const auto &[service, queue] : this->state.queues)
            this->dispatchQueued(service);
    }

    void operator()(const DispatchDraining &) { this->state.draining = true; }

    void perform(ClaimActions claimActions)
    {
        for (ClaimAction &action : claimActions)
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    void perform(CommitClaims &&action) { this->actions.push_back(std::move(action)); }
    void perform(ReadClaimRow &&action) { this->actions.push_back(std::move(action)); }
    void perform(LoadClaims &&action) { this->actions.emplace_back(action); }
    void perform(AnswerAttempt &&action) { this->answer(action.attempt, action.answer); }

    void perform(RerouteAttempt &&action)
    {
        InFlightCall call;
        call.attempt = std::move(action.attempt);
        call.attemptCount = 2; // The first attempt was made with the shard's previous holder.
        this->route(std::move(call));
    }

    void perform(SendClaimedCall &&action)
    {
        InFlightCall call;
        call.attempt.call = std::move(action.call);
        call.attempt.deadline = action.deadline;
        call.claim = {action.shard, std::move(action.identity)};
        this->sendOrQueue(std::move(call));
    }

    // Sends repeatable calls to a target and all others through a claim.
    void route(InFlightCall call)
    {
        const CallAttempt &attempt = call.attempt;
        // Other nodes forward calls to this node for as long as it holds shards of the claims.
        const bool isRefusing = attempt.forwarded ? this->state.drained : this->state.draining;
        if (isRefusing && call.attemptCount == 1)
            return this->refuse(attempt, Reason::Draining);
        if (!this->state.configuration || !this->state.view)
            return this->refuse(attempt, Reason::NotReady);
        if (attempt.deadline <= this->now)
            return this->refuse(attempt, Reason::DeadlinePassed);
        const Service *service = findService(*this->state.configuration, attempt.call.service);
        if (service == nullptr)
            return this->refuse(attempt, Reason::UnknownService);
        if (isRepeatable(*service, attempt.call.method, attempt.call.path))
            return this->sendOrQueue(std::move(call));
        if (attempt.call.idempotencyKey.empty()
            && service->missingKeyPolicy == MissingKeyPolicy::Refuse)
            return this->answer(attempt, makeNotRunAnswer(Reason::KeyRequired));
        const auto key = claimKeyOf(attempt.call);
        if (!key)
            return this->answer(attempt, makeNotRunAnswer(Reason::BadRequest));
        this->routeByClaim(std::move(call), *key);
    }

    void routeByClaim(InFlightCall call, const ClaimKey &key)
    {
        const CallAttempt &attempt = call.attempt;
        if (const CallAnswer *kept = keptAnswer(this->state.claims, key))
            return this->answer(attempt, *kept);
        const Shard shard = claimShardOf(key);
        const auto holder = this->holderFor(attempt.call);
        if (!holder)
            return this->refuse(attempt, Reason::NotReady);
        if (*holder != this->state.self)
            return this->forwardToHolder(std::move(call), *holder);
        // Without a valid lease, another node may have taken over the shard's claims.
        if (!heldFence(*this->state.leases, shard, this->now))
            return this->refuse(attempt, Reason::StoreUnavailable);
        ClaimActions claimActions;
        admit(this->state.claims, key, std::move(call.attempt), this->state.nextOperation,
              this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    std::optional<NodeId> holderFor(const Call &call) const
    {
        const auto key = claimKeyOf(call);
        if (!this->state.leases || !key)
            return std::nullopt;
        return holderOf(*this->state.leases, claimShardOf(*key));
    }

    void forwardToHolder(InFlightCall call, const NodeId &holder)
    {
        if (call.attempt.forwarded)
            return this->refuse(call.attempt, Reason::OwnerChanged);
        const auto &nodes = this->state.view->nodes;
        const auto node = std::find_if(nodes.begin(), nodes.end(), [&](const Node &candidate) {
            return candidate.id == holder;
        });
        if (node == nodes.end())
            return this->refuse(call.attempt, Reason::NotReady);
        call.forwardedTo = holder;
        const OperationId operation = this->allocateOperation();
        this->actions.push_back(
                ForwardCall{operation, *node, call.attempt.call, call.attempt.deadline});
        this->state.inFlight.emplace(operation, std::move(call));
    }

    void sendOrQueue(InFlightCall call)
    {
        if (call.attempt.deadline <= this->now)
            return this->finishNotRun(call, Reason::DeadlinePassed);
        const Service *service = findService(*this->state.configuration, call.attempt.call.service);
        if (service == nullptr)
            return this->finishNotRun(call, Reason::UnknownService);
        const CrashVerdict verdict = this->judgeCall(call);
        if (verdict == CrashVerdict::Quarantined || verdict == CrashVerdict::Paused)
            return this->finishQuarantined(call);
        std::vector<Candidate> candidates = this->candidatesOf(*service);
        if (candidates.empty())
            return this->finishNotRun(call, Reason::NoTarget);
        if (verdict == CrashVerdict::Suspected)
            preferIdle(candidates);
        if (const Target *target = this->chooseTarget(*service, candidates))
            return this->send(std::move(call), *target);
        this->queueCall(std::move(call), *service);
    }

    static RequestDigest digestOfCall(const Call &call)
    {
        return digestOf({call.customer, call.service.value, call.method, call.path, call.body});
    }

    CrashVerdict judgeCall(const InFlightCall &call) const
    {
        const CrashSuspects &suspects = this->state.suspects;
        if (suspects.log.empty())
            return CrashVerdict::Clear;
        return judge(suspects.log, digestOfCall(call.attempt.call), this->now.time_since_epoch(),
                     suspects.settings.judging)
                .verdict;
    }

    // A suspected call runs alone where it can, so that a further crash shows more.
    static void preferIdle(std::vector<Candidate> &candidates)
    {
        const auto isIdle = [](const Candidate &c) { return c.usable && c.ownInFlight == 0; };
        if (std::any_of(candidates.begin(), candidates.end(), isIdle))
            std::erase_if(candidates, [&](const Candidate &c) { return !isIdle(c); });
    }

    // \return the check of the call's target, or nothing if that leaves or has left.
    std::optional<OperationId> checkForCrash(const InFlightCall &call)
    {
        const auto &targets = this->state.view->targets;
        const auto lost = std::find_if(targets.begin(), targets.end(), [&](const Target &target) {
            return target.id == call.target && !target.leaving;
        });
        if (lost == targets.end())
            return std::nullopt;
        const OperationId newCheck = this->state.nextOperation;
        const OperationId check = addToCheck(this->state.suspects, newCheck,
                                             {lost->id, this->state.crashCounts[lost->id]},
                                             digestOfCall(call.attempt.call));
        if (check == newCheck) {
            this->state.nextOperation = next(newCheck);
            this->probe(check, lost->id);
        }
        return check;
    }

    void probe(OperationId check, const TargetId &id)
    {
        std::vector<const Target *> targets;
        const Target *probed = nullptr;
        for (const Target &target : this->state.view->targets) {
            targets.push_back(&target);
            if (target.id == id)
                probed = &target;
        }
        if (probed == nullptr)
            this->state.suspects.checks.erase(check);
        else
            this->actions.push_back(
                    makeControlledProbe(check, *probed, targets, this->state.random));
    }

    void repeat(InFlightCall call, std::optional<OperationId> check)
    {
        if (check)
            this->state.awaitingChecks.emplace(*check, std::move(call));
        else
            this->sendOrQueue(std::move(call));
    }

    void finishQuarantined(const InFlightCall &call)
    {
        const bool isRetry = call.attemptCount > 1 && !call.claim;
        if (isRetry)
            return this->finishUnknown(call, Reason::Quarantined);
        this->finishNotRun(call, Reason::Quarantined);
    }

    // Each node uses only a subset of the targets, so that its own counts are close to their load.
    std::vector<Candidate> candidatesOf(const Service &service)
    {
        std::vector<Candidate> candidates;
        for (const Target &target : this->state.view->targets) {
            if (target.service != service.name || target.leaving)
                continue;
            const bool usable = isUsable(this->state.health[target.id], this->now);
            candidates.push_back({&target, this->state.callsPerTarget[target.id], 0, usable});
        }
        const auto &nodes = this->state.view->nodes;
        const auto nodeIndex = std::count_if(nodes.begin(), nodes.end(), [this](const Node &node) {
            return node.id < this->state.self;
        });
        return subsetOf(candidates, static_cast<std::size_t>(nodeIndex), targetSubsetSize);
    }

    const Target *chooseTarget(const Service &service, const std::vector<Candidate> &candidates)
    {
        return chooseByOwnCount(candidates, this->inFlightLimitOf(service), this->state.random);
    }

    // This node's share of the calls that one target may have in flight from all nodes.
    std::uint32_t inFlightLimitOf(const Service &service) const
    {
        const auto &targets = this->state.view->targets;
        const auto count = static_cast<std::size_t>(
                std::count_if(targets.begin(), targets.end(), [&](const Target &target) {
                    return target.service == service.name;
                }));
        const std::size_t nodes = std::max<std::size_t>(this->state.view->nodes.size(), 1);
        const std::size_t nodesAtTarget = (nodes * std::min(targetSubsetSize, count) + count - 1)
                                          / std::max<std::size_t>(count, 1);
        const std::size_t sharingNodes = std::max<std::size_t>(nodesAtTarget, 1);
        return static_cast<std::uint32_t>((service.maxInFlight + sharingNodes - 1) / sharingNodes);
    }

    void send(InFlightCall call, const Target &target)
    {
        const OperationId operation = this->allocateOperation();
        call.target = target.id;
        ++this->state.callsPerTarget[target.id];
        recordSent(this->state.health[target.id], this->now);
        if (call.attemptCount == 1)
            recordCall(this->state.retryBudget);
        this->actions.push_back(
                SendToTarget{operation, target, call.attempt.call, call.attempt.deadline});
        this->state.inFlight.emplace(operation, std::move(call));
    }

    void recordResult(const InFlightCall &call, bool succeeded)
    {
        if (!call.target)
            return;
        TargetHealth &health = this->state.health[*call.target];
        // A failure caused by a caller's short deadline does not show that the target is faulty.
        if (succeeded)
            recordSuccess(health);
        else if (call.attempt.deadline <= this->now)
            recordInconclusive(health);
        else
            recordFailure(health, this->state.healthSettings, this->now);
    }

    void queueCall(InFlightCall call, const Service &service)
    {
        const OperationId operation = this->allocateOperation();
        const std::string customer = call.attempt.call.customer;
        const std::uint32_t priority =
                priorityOf(service, call.attempt.call.method, call.attempt.call.path);
        call.priority = priority;
        this->state.queuedCalls.emplace(operation, std::move(call));
        const auto shed = enqueue(this->state.queues[service.name], customer, priority, operation,
                                  service.maxQueued);
        if (shed)
            this->finishNotRun(this->extractQueued(*shed), Reason::QueueFull);
    }

    InFlightCall extractQueued(OperationId operation)
    {
        const auto position = this->state.queuedCalls.find(operation);
        InFlightCall call = std::move(position->second);
        this->state.queuedCalls.erase(position);
        return call;
    }

    // Sends queued calls while a target has capacity.
    void dispatchQueued(const ServiceName &name)
    {
        const auto queue = this->state.queues.find(name);
        if (queue == this->state.queues.end())
            return;
        const Service *service = findService(*this->state.configuration, name);
        while (queue->second.size > 0) {
            if (service != nullptr) {
                const std::vector<Candidate> candidates = this->candidatesOf(*service);
                if (!candidates.empty() && this->chooseTarget(*service, candidates) == nullptr)
                    return;
            }
            this->sendOrQueue(this->extractQueued(*dequeue(queue->second)));
        }
    }

    void expireQueued()
    {
        std::vector<OperationId> expired;
        for (const auto &[operation, call] : this->state.queuedCalls) {
            if (call.attempt.deadline <= this->now)
                expired.push_back(operation);
        }
        for (const OperationId operation : expired) {
            const InFlightCall call = this->extractQueued(operation);
            const Call &content = call.attempt.call;
            removeQueued(this->state.queues[content.service], content.customer, call.priority,
                         operation);
            this->finishNotRun(call, Reason::DeadlinePassed);
        }
    }

    // Takes a retry from the budget if the call may be retried. The budget limits retries to a
    // share of the calls, so that they do not multiply the load when targets are down.
    bool consumeRetry(InFlightCall &call)
    {
        if (call.attemptCount == maxAttempts || call.attempt.deadline <= this->now
            || !tryConsumeRetry(this->state.retryBudget))
            return false;
        ++call.attemptCount;
        return true;
    }

    // Retries after an attempt that provably did not run.
    void retry(InFlightCall call, Reason reason)
    {
        if (!this->consumeRetry(call))
            return this->finishNotRun(call, reason);
        if (call.target)
            this->sendOrQueue(std::move(call));
        else
            this->route(std::move(call));
    }

    // Ends a call of which no attempt ran. For a claimed call this holds for the whole request,
    // since no other process may send it.
    void finishNotRun(const InFlightCall &call, Reason reason)
    {
        if (!call.claim)
            return this->refuse(call.attempt, reason);
        ClaimActions claimActions;
        onClaimNotRun(this->state.claims, call.claim->shard, call.claim->identity, reason,
                      claimActions);
        this->perform(std::move(claimActions));
    }

    void finishUnknown(const InFlightCall &call, Reason reason)
    {
        if (!call.claim)
            return this->answer(call.attempt, makeUnknownAnswer(reason));
        ClaimActions claimActions;
        onClaimOutcomeUnknown(this->state.claims, call.claim->shard, call.claim->identity, reason,
                              claimActions);
        this->perform(std::move(claimActions));
    }

    CallAnswer refusalFor(const CallAttempt &attempt, Reason reason) const
    {
        return makeRefusalAnswer(attempt, this->isRepeatableCall(attempt.call), reason, this->now);
    }

    // Calls to an unknown service or without a required key count as repeatable, since they are
    // refused before they are sent to a target.
    bool isRepeatableCall(const Call &call) const
    {
        if (!this->state.configuration)
            return false;
        const Service *service = findService(*this->state.configuration, call.service);
        return service == nullptr || isRepeatable(*service, call.method, call.path)
               || (call.idempotencyKey.empty()
                   && service->missingKeyPolicy == MissingKeyPolicy::Refuse);
    }

    void refuse(const CallAttempt &attempt, Reason reason)
    {
        this->answer(attempt, this->refusalFor(attempt, reason));
    }

    void answer(const CallAttempt &attempt, const CallAnswer &answer)
    {
        this->actions.push_back(AnswerCall{attempt.reply, answer, attempt.forwarded});
    }

    OperationId allocateOperation()
    {
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        return operation;
    }

    InFlightCall removeInFlight(InFlightPosition position)
    {
        InFlightCall call = std::move(position->second);
        this->state.inFlight.erase(position);
        if (call.target) {
            std::uint32_t &load = this->state.callsPerTarget[*call.target];
            assert(load > 0);
            --load;
        }
        return call;
    }
};

} // namespace

DispatchState makeDispatchState(NodeId self, std::string writerId)
{
    DispatchState state;
    state.self = std::move(self);
    state.claims.writerId = std::move(writerId);
    return state;
}

std::vector<DispatchAction> step(DispatchState &state, const DispatchEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    if (state.draining && !state.drained && state.inFlight.empty() && state.queuedCalls.empty()
        && state.awaitingChecks.empty() && isIdle(state.claims)) {
        state.drained = true;
        handler.actions.push_back(DispatchDrained{});
    }
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
