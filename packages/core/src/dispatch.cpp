#include <geraniumpulley/core/dispatch.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t maxAttempts = 3;

constexpr std::uint32_t statusNotFound = 404;
constexpr std::uint32_t statusBadGateway = 502;
constexpr std::uint32_t statusUnavailable = 503;
constexpr std::uint32_t statusGatewayTimeout = 504;

using Actions = std::vector<DispatchAction>;

CallAnswer refuse(Reason reason, std::uint32_t status)
{
    return CallAnswer{Outcome::NotRun, reason, status, {}, {}};
}

struct Handler
{
    DispatchState &state;
    Time now;
    Actions actions;

    void operator()(const CallReceived &event)
    {
        CallInFlight call{event.reply, event.call, event.deadline, {}, event.forwarded};
        this->place(std::move(call));
    }

    void operator()(const TargetAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        const CallAnswer answer{Outcome::Ran, Reason::Served, event.status, event.contentType,
                                event.body};
        this->answer(position->second, answer);
        this->release(position);
    }

    void operator()(const AttemptFailed &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        CallInFlight call = position->second;
        this->release(position);
        if (event.failure == AttemptFailure::Lost) {
            const CallAnswer answer{Outcome::Unknown, Reason::AnswerLost, statusBadGateway, {}, {}};
            this->answer(call, answer);
            return;
        }
        if (call.attempts == maxAttempts) {
            this->answer(call, refuse(Reason::ConnectFailed, statusBadGateway));
            return;
        }
        ++call.attempts;
        this->place(std::move(call));
    }

    void operator()(const PeerAnswered &event)
    {
        const auto position = this->state.inFlight.find(event.operation);
        if (position == this->state.inFlight.end())
            return;
        this->answer(position->second, event.answer);
        this->release(position);
    }

    void operator()(const DispatchConfigurationChanged &event)
    {
        this->state.configuration = event.configuration;
    }

    void operator()(const DispatchViewChanged &event) { this->state.view = event.view; }

    void operator()(const DispatchLeasesChanged &event) { this->state.leases = event.leases; }

    void operator()(const DispatchEnginesChanged &event) { this->state.engines = event.engines; }

    void place(CallInFlight call)
    {
        if (!this->state.configuration || !this->state.view)
            return this->answer(call, refuse(Reason::NotReady, statusUnavailable));
        if (call.deadline <= this->now)
            return this->answer(call, refuse(Reason::DeadlinePassed, statusGatewayTimeout));
        const Service *service = findService(*this->state.configuration, call.call.service);
        if (service == nullptr)
            return this->answer(call, refuse(Reason::UnknownService, statusNotFound));
        const Target *target = this->chooseTarget(*service);
        if (target == nullptr)
            return this->answer(call, refuse(Reason::NoTarget, statusUnavailable));
        this->send(std::move(call), *target);
    }

    // The least loaded target by this node's own count, which does not lag as reports do.
    const Target *chooseTarget(const Service &service)
    {
        const Target *best = nullptr;
        std::uint32_t bestLoad = service.maxInFlight;
        for (const Target &target : this->state.view->targets) {
            if (target.service != service.name || target.leaving)
                continue;
            const std::uint32_t load = this->state.load[target.id];
            if (load < bestLoad) {
                best = &target;
                bestLoad = load;
            }
        }
        return best;
    }

    void send(CallInFlight call, const Target &target)
    {
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        call.target = target.id;
        ++this->state.load[target.id];
        const Node *owner = ownerOf(target, this->state.view->nodes);
        const bool isLocal = call.forwarded || call.attempts > 1 || owner == nullptr
                             || owner->id == this->state.self;
        if (isLocal)
            this->actions.push_back(SendToTarget{operation, target, call.call, call.deadline});
        else
            this->actions.push_back(ForwardCall{operation, *owner, call.call, call.deadline});
        this->state.inFlight.emplace(operation, std::move(call));
    }

    void answer(const CallInFlight &call, const CallAnswer &answer)
    {
        this->actions.push_back(AnswerCall{call.reply, answer, call.forwarded});
    }

    void release(std::map<OperationId, CallInFlight>::iterator position)
    {
        std::uint32_t &load = this->state.load[position->second.target];
        assert(load > 0);
        --load;
        this->state.inFlight.erase(position);
    }
};

} // namespace

DispatchState makeDispatchState(NodeId self)
{
    DispatchState state;
    state.self = std::move(self);
    return state;
}

std::vector<DispatchAction> step(DispatchState &state, const DispatchEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
