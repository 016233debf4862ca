#include <geraniumpulley/core/calls/dispatch.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t maxTries = 3;
constexpr std::size_t subsetSize = 32; // targets of a service that one node uses
constexpr std::uint32_t firstServerError = 500; // HTTP status

using Actions = std::vector<DispatchAction>;
using InFlight = std::map<OperationId, CallInFlight>::iterator;

struct Handler
{
    DispatchState &state;
    Time now;
    Actions actions;

    void operator()(const CallReceived &event)
    {
        CallInFlight call;
        call.attempt = {event.reply, event.call, event.deadline, event.forwarded};
        this->route(std::move(call));
    }

    void operator()(const TargetAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        const CallInFlight call = this->release(position);
        this->noteResult(call, event.status < firstServerError);
        const CallAnswer answer{Outcome::Ran, Reason::Served, event.status, event.contentType,
                                event.body};
        if (!call.claim) {
            this->answer(call.attempt, answer);
        } else {
            ClaimActions claimActions;
            claimAnswered(this->state.claims, call.claim->shard, call.claim->identity, answer,
                          this->now, claimActions);
            this->perform(std::move(claimActions));
        }
        this->serveQueue(call.attempt.call.service);
    }

    void operator()(const AttemptFailed &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        CallInFlight call = this->release(position);
        this->noteResult(call, false);
        const ServiceName service = call.attempt.call.service;
        if (event.failure == AttemptFailure::NotSent)
            this->tryAgain(std::move(call), Reason::ConnectFailed);
        else if (call.target && !call.claim && this->canTryAgain(call))
            this->place(std::move(call)); // Only repeatable calls reach a target without a claim.
        else
            this->answerLostCall(call, call.target ? Reason::AnswerLost : Reason::PeerLost);
        this->serveQueue(service);
    }

    void operator()(const PeerAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        CallInFlight call = this->release(position);
        const bool holderMoved = !call.target && event.answer.reason == Reason::OwnerChanged;
        if (holderMoved && this->holderFor(call.attempt.call) != call.holder)
            return this->tryAgain(std::move(call), Reason::OwnerChanged);
        this->answer(call.attempt, event.answer);
    }

    void operator()(const DispatchConfigurationChanged &event)
    {
        this->state.configuration = event.configuration;
    }

    void operator()(const DispatchViewChanged &event) { this->state.view = event.view; }

    void operator()(const DispatchLeasesChanged &event)
    {
        this->state.leases = event.leases;
        ClaimActions claimActions;
        takeLeases(this->state.claims, event.leases, this->state.nextOperation, this->now,
                   claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const DispatchEnginesChanged &event) { this->state.engines = event.engines; }

    void operator()(const ClaimsCommitted &event)
    {
        ClaimActions claimActions;
        commitSucceeded(this->state.claims, event.operation, this->state.nextOperation, this->now,
                        claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsRefused &event)
    {
        ClaimActions claimActions;
        commitRefused(this->state.claims, event.operation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsUncertain &event)
    {
        commitUncertain(this->state.claims, event.operation);
    }

    void operator()(const ClaimRowRead &event)
    {
        ClaimActions claimActions;
        rowReadBack(this->state.claims, event.operation, event.row ? &*event.row : nullptr,
                    this->state.nextOperation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsLoaded &event)
    {
        ClaimActions claimActions;
        shardLoaded(this->state.claims, event.shard, event.operation, event.rows,
                    this->state.nextOperation, this->now, claimActions);
        this->perform(std::move(claimActions));
    }

    void operator()(const ClaimsLoadFailed &event)
    {
        shardLoadFailed(this->state.claims, event.shard, event.operation, this->now);
    }

    void operator()(const DispatchTick &event)
    {
        ClaimActions claimActions;
        tickClaims(this->state.claims, event.wallNow, this->state.nextOperation, this->now,
                   claimActions);
        this->perform(std::move(claimActions));
        this->expireQueued();
        for (const auto &[service, queue] : this->state.queues)
            this->serveQueue(service);
    }

    void operator()(const DispatchDraining &) { this->state.draining = true; }

    void perform(ClaimActions claimActions)
    {
        for (ClaimAction &action : claimActions)
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    void perform(CommitClaims &&order) { this->actions.push_back(std::move(order)); }
    void perform(ReadClaimRow &&order) { this->actions.push_back(std::move(order)); }
    void perform(LoadClaims &&order) { this->actions.emplace_back(order); }
    void perform(AnswerAttempt &&order) { this->answer(order.attempt, order.answer); }

    void perform(RouteAgain &&order)
    {
        CallInFlight call;
        call.attempt = std::move(order.attempt);
        call.tries = 2; // The first was with the shard's holder of then.
        this->route(std::move(call));
    }

    void perform(RunClaimed &&order)
    {
        CallInFlight call;
        call.attempt.call = std::move(order.call);
        call.attempt.deadline = order.deadline;
        call.claim = {order.shard, std::move(order.identity)};
        this->place(std::move(call));
    }

    // Decides between the claims of calls that may not be repeated and the targets.
    void route(CallInFlight call)
    {
        const CallAttempt &attempt = call.attempt;
        // As long as it holds shards, other nodes' claims still come here.
        const bool refuses = attempt.forwarded ? this->state.drained : this->state.draining;
        if (refuses && call.tries == 1)
            return this->refuse(attempt, Reason::Draining);
        if (!this->state.configuration || !this->state.view)
            return this->refuse(attempt, Reason::NotReady);
        if (attempt.deadline <= this->now)
            return this->refuse(attempt, Reason::DeadlinePassed);
        const Service *service = findService(*this->state.configuration, attempt.call.service);
        if (service == nullptr)
            return this->refuse(attempt, Reason::UnknownService);
        if (isRepeatable(*service, attempt.call.method, attempt.call.path))
            return this->place(std::move(call));
        if (attempt.call.idempotencyKey.empty() && service->withoutKey == WithoutKey::Refuse)
            return this->answer(attempt, answerNotRun(Reason::KeyRequired));
        const auto key = claimKeyOf(attempt.call);
        if (!key)
            return this->answer(attempt, answerNotRun(Reason::BadRequest));
        this->claim(std::move(call), *key);
    }

    void claim(CallInFlight call, const ClaimKey &key)
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
        // Without a valid lease another node may have taken the shard's claims over.
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

    void forwardToHolder(CallInFlight call, const NodeId &holder)
    {
        if (call.attempt.forwarded)
            return this->refuse(call.attempt, Reason::OwnerChanged);
        const auto &nodes = this->state.view->nodes;
        const auto node = std::find_if(nodes.begin(), nodes.end(), [&](const Node &candidate) {
            return candidate.id == holder;
        });
        if (node == nodes.end())
            return this->refuse(call.attempt, Reason::NotReady);
        call.holder = holder;
        const OperationId operation = this->takeOperation();
        this->actions.push_back(
                ForwardCall{operation, *node, call.attempt.call, call.attempt.deadline});
        this->state.inFlight.emplace(operation, std::move(call));
    }

    void place(CallInFlight call)
    {
        if (call.attempt.deadline <= this->now)
            return this->giveUp(call, Reason::DeadlinePassed);
        const Service *service = findService(*this->state.configuration, call.attempt.call.service);
        if (service == nullptr)
            return this->giveUp(call, Reason::UnknownService);
        const std::vector<Candidate> candidates = this->candidatesOf(*service);
        if (candidates.empty())
            return this->giveUp(call, Reason::NoTarget);
        if (const Target *target = this->chooseTarget(*service, candidates))
            return this->send(std::move(call), *target);
        this->wait(std::move(call), *service);
    }

    // Each node uses a subset of many targets, which it then knows well by its own counts.
    std::vector<Candidate> candidatesOf(const Service &service)
    {
        std::vector<Candidate> candidates;
        for (const Target &target : this->state.view->targets) {
            if (target.service != service.name || target.leaving)
                continue;
            const bool usable = isUsable(this->state.health[target.id], this->now);
            candidates.push_back({&target, this->state.load[target.id], 0, usable});
        }
        const auto &nodes = this->state.view->nodes;
        const auto seat = std::count_if(nodes.begin(), nodes.end(), [this](const Node &node) {
            return node.id < this->state.self;
        });
        return subsetOf(candidates, static_cast<std::size_t>(seat), subsetSize);
    }

    const Target *chooseTarget(const Service &service, const std::vector<Candidate> &candidates)
    {
        return chooseByOwnCount(candidates, this->limitOf(service), this->state.random);
    }

    // This node's share of what one target may have in flight from all nodes.
    std::uint32_t limitOf(const Service &service) const
    {
        const auto &targets = this->state.view->targets;
        const auto count = static_cast<std::size_t>(
                std::count_if(targets.begin(), targets.end(), [&](const Target &target) {
                    return target.service == service.name;
                }));
        const std::size_t nodes = std::max<std::size_t>(this->state.view->nodes.size(), 1);
        const std::size_t nodesAtTarget =
                (nodes * std::min(subsetSize, count) + count - 1) / std::max<std::size_t>(count, 1);
        const std::size_t sharers = std::max<std::size_t>(nodesAtTarget, 1);
        return static_cast<std::uint32_t>((service.maxInFlight + sharers - 1) / sharers);
    }

    void send(CallInFlight call, const Target &target)
    {
        const OperationId operation = this->takeOperation();
        call.target = target.id;
        ++this->state.load[target.id];
        noteSent(this->state.health[target.id], this->now);
        if (call.tries == 1)
            noteCall(this->state.retryBudget);
        this->actions.push_back(
                SendToTarget{operation, target, call.attempt.call, call.attempt.deadline});
        this->state.inFlight.emplace(operation, std::move(call));
    }

    void noteResult(const CallInFlight &call, bool succeeded)
    {
        if (!call.target)
            return;
        TargetHealth &health = this->state.health[*call.target];
        // A caller's short deadline tells nothing about the target.
        if (succeeded)
            noteSuccess(health);
        else if (call.attempt.deadline <= this->now)
            noteAbandoned(health);
        else
            noteFailure(health, this->state.healthSettings, this->now);
    }

    void wait(CallInFlight call, const Service &service)
    {
        const OperationId operation = this->takeOperation();
        const std::string customer = call.attempt.call.customer;
        const std::uint32_t priority =
                priorityOf(service, call.attempt.call.method, call.attempt.call.path);
        call.priority = priority;
        this->state.queued.emplace(operation, std::move(call));
        const auto shed = enqueue(this->state.queues[service.name], customer, priority, operation,
                                  service.maxQueued);
        if (shed)
            this->giveUp(this->takeQueued(*shed), Reason::QueueFull);
    }

    CallInFlight takeQueued(OperationId operation)
    {
        const auto position = this->state.queued.find(operation);
        CallInFlight call = std::move(position->second);
        this->state.queued.erase(position);
        return call;
    }

    // Sends waiting calls for as long as a target has room.
    void serveQueue(const ServiceName &name)
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
            this->place(this->takeQueued(*dequeue(queue->second)));
        }
    }

    void expireQueued()
    {
        std::vector<OperationId> late;
        for (const auto &[operation, call] : this->state.queued) {
            if (call.attempt.deadline <= this->now)
                late.push_back(operation);
        }
        for (const OperationId operation : late) {
            const CallInFlight call = this->takeQueued(operation);
            const Call &content = call.attempt.call;
            removeQueued(this->state.queues[content.service], content.customer, call.priority,
                         operation);
            this->giveUp(call, Reason::DeadlinePassed);
        }
    }

    // Retries are a share of the calls, so that an outage of targets is not multiplied.
    bool canTryAgain(CallInFlight &call)
    {
        if (call.tries == maxTries || call.attempt.deadline <= this->now
            || !takeRetry(this->state.retryBudget))
            return false;
        ++call.tries;
        return true;
    }

    // Only after an attempt that provably did not run.
    void tryAgain(CallInFlight call, Reason reason)
    {
        if (!this->canTryAgain(call))
            return this->giveUp(call, reason);
        if (call.target)
            this->place(std::move(call));
        else
            this->route(std::move(call));
    }

    // No attempt of this call ran. For a claimed call that is known of the request as well, since
    // nobody else may send it.
    void giveUp(const CallInFlight &call, Reason reason)
    {
        if (!call.claim)
            return this->refuse(call.attempt, reason);
        ClaimActions claimActions;
        claimNotRun(this->state.claims, call.claim->shard, call.claim->identity, reason,
                    claimActions);
        this->perform(std::move(claimActions));
    }

    void answerLostCall(const CallInFlight &call, Reason reason)
    {
        if (!call.claim)
            return this->answer(call.attempt, answerUnknown(reason));
        ClaimActions claimActions;
        claimLost(this->state.claims, call.claim->shard, call.claim->identity, reason,
                  claimActions);
        this->perform(std::move(claimActions));
    }

    CallAnswer refusal(const CallAttempt &attempt, Reason reason) const
    {
        return refuseAttempt(attempt, this->mayBeRepeated(attempt.call), reason, this->now);
    }

    bool mayBeRepeated(const Call &call) const
    {
        if (!this->state.configuration)
            return false;
        const Service *service = findService(*this->state.configuration, call.service);
        return service == nullptr || isRepeatable(*service, call.method, call.path)
               || (call.idempotencyKey.empty() && service->withoutKey == WithoutKey::Refuse);
    }

    void refuse(const CallAttempt &attempt, Reason reason)
    {
        this->answer(attempt, this->refusal(attempt, reason));
    }

    void answer(const CallAttempt &attempt, const CallAnswer &answer)
    {
        this->actions.push_back(AnswerCall{attempt.reply, answer, attempt.forwarded});
    }

    OperationId takeOperation()
    {
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        return operation;
    }

    CallInFlight release(InFlight position)
    {
        CallInFlight call = std::move(position->second);
        this->state.inFlight.erase(position);
        if (call.target) {
            std::uint32_t &load = this->state.load[*call.target];
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
    if (state.draining && !state.drained && state.inFlight.empty() && state.queued.empty()
        && isIdle(state.claims)) {
        state.drained = true;
        handler.actions.push_back(DispatchDrained{});
    }
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
