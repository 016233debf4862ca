#include <geraniumpulley/core/entry/entry.hpp>

#include <geraniumpulley/core/http_status.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Requests of batches have no client connection; their tokens start far above those of clients.
constexpr std::uint64_t firstScoreToken = std::uint64_t{1} << 62U;

bool isSuccess(std::uint32_t status)
{
    return status >= status::ok && status < status::firstRedirection;
}

// \return whether a status tells a client that its request did not run.
bool impliesNotRun(std::uint32_t status)
{
    return status == status::tooManyRequests || status == status::unavailable
           || status == status::requestTimeout || status == status::misdirected;
}

std::uint32_t countOf(const std::map<TargetId, std::uint32_t> &counts, const TargetId &id)
{
    const auto position = counts.find(id);
    return position == counts.end() ? 0 : position->second;
}

using Requests = std::map<ReplyToken, EntryRequest>;

struct Handler
{
    EntryState &state;
    Time now;
    std::vector<EntryAction> actions;

    void operator()(const CallArrived &event)
    {
        EntryRequest request;
        request.call = event.call;
        this->acceptRequest(event.reply, std::move(request));
    }

    void operator()(const ScoreAsked &event)
    {
        auto call = std::make_shared<EntryCall>();
        call->method = "POST";
        call->target = event.request.path;
        call->host = event.request.host;
        call->requestId = event.request.id;
        call->body = event.request.body;
        EntryRequest request;
        request.call = std::move(call);
        request.score = event;
        request.mayRepeat = true;
        const auto token = static_cast<ReplyToken>(firstScoreToken + this->state.nextScore++);
        this->acceptRequest(token, std::move(request));
    }

    void operator()(const CallerLeft &event)
    {
        const auto position = this->state.requests.find(event.reply);
        if (position != this->state.requests.end())
            this->closeRequest(position);
    }

    void operator()(const AttemptAnswered &event)
    {
        const auto attempt = this->removeAttempt(event.operation);
        if (!attempt)
            return;
        if (event.load)
            this->state.reported[attempt->target] = event.load->waiting;
        this->recordTargetResult(*attempt,
                                 event.answer.status < status::serverError || event.notExecuted);
        const auto position = this->state.requests.find(attempt->reply);
        if (attempt->cancelled || position == this->state.requests.end())
            return;
        EntryRequest &request = position->second;
        if (event.notExecuted || event.answer.status == status::misdirected)
            return this->retryAfterRefusal(position);
        request.mayHaveRun = true;
        const bool isAuthentic = event.stamped && !event.encoded;
        if (!isAuthentic && isSuccess(event.answer.status))
            return this->retryAfterLoss(position);
        const bool failed = event.answer.status >= status::serverError;
        if (failed && request.mayRepeat && this->mayAttempt(request)) {
            request.failure = event.answer;
            return this->retryAfterLoss(position);
        }
        this->forwardAnswer(position, event);
    }

    void operator()(const StreamOpened &event)
    {
        const auto attempt = this->state.attempts.find(event.operation);
        if (attempt == this->state.attempts.end() || attempt->second.cancelled)
            return;
        EntryRequest &request = this->state.requests.at(attempt->second.reply);
        request.mayHaveRun = true;
        // A stream that was resumed at another target keeps the head of the first one.
        if (!std::exchange(request.streaming, true))
            this->actions.emplace_back(StreamHead{attempt->second.reply, event.head});
    }

    void operator()(const StreamProgressed &event)
    {
        const auto attempt = this->state.attempts.find(event.operation);
        if (attempt == this->state.attempts.end() || attempt->second.cancelled)
            return;
        EntryRequest &request = this->state.requests.at(attempt->second.reply);
        if (event.number != 0 && event.number <= request.lastEvent)
            return;
        request.lastEvent = std::max(request.lastEvent, event.number);
        this->actions.emplace_back(StreamPiece{attempt->second.reply, event.bytes});
    }

    void operator()(const StreamEnded &event)
    {
        const auto attempt = this->removeAttempt(event.operation);
        if (!attempt || attempt->cancelled)
            return;
        this->recordTargetResult(*attempt, event.complete);
        const auto position = this->state.requests.find(attempt->reply);
        if (position == this->state.requests.end())
            return;
        if (!event.complete)
            return this->retryAfterLoss(position);
        this->actions.emplace_back(StreamTail{position->first, true});
        this->closeRequest(position);
    }

    void operator()(const EntryAttemptFailed &event)
    {
        const auto attempt = this->removeAttempt(event.operation);
        if (!attempt)
            return;
        const auto position = this->state.requests.find(attempt->reply);
        const bool isPending = position != this->state.requests.end();
        // A failure caused by a caller's short deadline does not show that the target is faulty.
        if (!attempt->cancelled && !(isPending && position->second.deadline <= this->now))
            this->recordTargetResult(*attempt, false);
        if (attempt->cancelled || !isPending)
            return;
        if (event.failure == EntryFailure::NotSent)
            return this->retryAfterRefusal(position);
        position->second.mayHaveRun = true;
        this->retryAfterLoss(position);
    }

    void operator()(const EntryDirectoryChanged &event)
    {
        this->state.directory = event.directory;
        const TargetMap &targets = *event.directory->targets;
        std::erase_if(this->state.health,
                      [&](const auto &entry) { return targets.count(entry.first) == 0; });
        std::erase_if(this->state.reported,
                      [&](const auto &entry) { return targets.count(entry.first) == 0; });
    }

    void operator()(const EntryTick &)
    {
        std::vector<ReplyToken> due;
        for (const auto &[reply, request] : this->state.requests) {
            if (request.deadline <= this->now || (request.nextTry && *request.nextTry <= this->now))
                due.push_back(reply);
        }
        for (const ReplyToken reply : due) {
            const auto position = this->state.requests.find(reply);
            if (position->second.deadline <= this->now)
                this->expireRequest(position);
            else
                this->sendNextAttempt(position);
        }
    }

    void acceptRequest(ReplyToken reply, EntryRequest request)
    {
        const Directory *directory = this->state.directory.get();
        const auto position = this->state.requests.emplace(reply, std::move(request)).first;
        EntryRequest &entry = position->second;
        entry.askedAt = this->now;
        entry.deadline =
                this->now + entry.call->patience.value_or(this->state.settings.defaultPatience);
        if (directory == nullptr || !directory->routing)
            return this->refuse(position, EntryVerdict::NoRoutingTable, status::unavailable);
        const RoutingTable &routing = *directory->routing;
        const Route *route = findRoute(routing, entry.call->host, entry.call->target);
        const ServiceName *service =
                route == nullptr ? nullptr
                                 : pickService(*route, draw(this->state.random,
                                                            std::numeric_limits<int>::max()));
        if (service == nullptr)
            return this->refuse(position, EntryVerdict::NoRoute, status::notFound);
        entry.kind = route->kind;
        entry.mayRepeat = entry.mayRepeat || route->kind == RouteKind::Repeatable
                          || (route->kind == RouteKind::Stream && route->resumable);
        entry.maxAttempts = std::max(route->maxAttempts, 1U);
        entry.service = *service;
        entry.lastEvent = entry.call->resumeAfter;
        if (route->timeout > Duration{})
            entry.deadline = std::min(entry.deadline, this->now + route->timeout);
        this->sendNextAttempt(position);
    }

    bool mayAttempt(const EntryRequest &request) const
    {
        return request.attempts < request.maxAttempts && request.deadline > this->now;
    }

    // Sends the request to the least loaded target that it was not sent to before.
    void sendNextAttempt(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        request.nextTry.reset();
        if (!this->mayAttempt(request) || (!request.mayRepeat && !request.open.empty()))
            return;
        const Target *target = this->chooseTarget(request);
        if (target == nullptr) {
            if (request.open.empty())
                this->finishUnserved(position, EntryVerdict::NoTarget);
            return;
        }
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        ++request.attempts;
        request.open.insert(operation);
        request.tried.insert(target->id);
        request.lastTarget = target->id;
        ++this->state.load[target->id];
        noteSent(this->state.health[target->id], this->now);
        this->state.attempts.emplace(operation,
                                     EntryAttempt{target->id, this->now, position->first, false});
        this->actions.emplace_back(SendAttempt{operation, *target, request.call, request.deadline,
                                               request.kind == RouteKind::Stream, request.mayRepeat,
                                               request.lastEvent});
        if (request.mayRepeat && request.kind != RouteKind::Stream && this->mayAttempt(request))
            request.nextTry = this->now + this->state.settings.secondTryAfter;
    }

    // Targets that the request was already sent to are chosen only if there is no other.
    const Target *chooseTarget(const EntryRequest &request)
    {
        std::vector<Candidate> untried;
        std::vector<Candidate> alreadyTried;
        for (const FleetTarget *fleetTarget :
             servingTargets(*this->state.directory->targets, request.service)) {
            const TargetId &id = fleetTarget->target.id;
            const Candidate candidate{&fleetTarget->target,
                                      countOf(this->state.load, id)
                                              + countOf(this->state.reported, id),
                                      0, isUsable(this->state.health[id], this->now)};
            (request.tried.count(id) == 0 ? untried : alreadyTried).push_back(candidate);
        }
        constexpr auto noLimit = std::numeric_limits<std::uint32_t>::max();
        if (!untried.empty())
            return chooseByOwnCount(untried, noLimit, this->state.random);
        if (alreadyTried.empty() || !request.open.empty())
            return nullptr;
        return chooseByOwnCount(alreadyTried, noLimit, this->state.random);
    }

    // Retries after an attempt that did not run and therefore does not count.
    void retryAfterRefusal(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        --request.attempts;
        ++request.refusals;
        if (!request.open.empty())
            return;
        if (request.refusals > this->state.settings.refusalsAllowed || !this->mayAttempt(request))
            return this->finishUnserved(position, EntryVerdict::TargetsFull);
        const bool hasUntried =
                request.tried.size()
                < servingTargets(*this->state.directory->targets, request.service).size();
        if (hasUntried)
            return this->sendNextAttempt(position);
        request.nextTry = this->now + this->state.settings.refusalPause * request.refusals;
    }

    void retryAfterLoss(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        if (!request.open.empty())
            return;
        if (request.mayRepeat && this->mayAttempt(request))
            return this->sendNextAttempt(position);
        this->finishUnserved(position, EntryVerdict::Failed);
    }

    void expireRequest(Requests::iterator position)
    {
        this->finishUnserved(position, EntryVerdict::TimedOut);
    }

    // Ends a request that no target answered successfully.
    void finishUnserved(Requests::iterator position, EntryVerdict verdict)
    {
        EntryRequest &request = position->second;
        if (request.streaming) {
            this->actions.emplace_back(StreamTail{position->first, false});
            return this->closeRequest(position);
        }
        if (request.failure) {
            const EntryAnswer failure = std::move(*request.failure);
            return this->finish(position, failure, EntryVerdict::Served);
        }
        const bool mayHaveRun = request.mayHaveRun || !request.open.empty();
        if (verdict == EntryVerdict::TimedOut && mayHaveRun)
            return this->finish(position, {status::gatewayTimeout}, verdict);
        if (mayHaveRun)
            return this->finish(position, {status::badGateway}, EntryVerdict::Failed);
        this->refuse(position, verdict, status::unavailable);
    }

    void refuse(Requests::iterator position, EntryVerdict verdict, std::uint32_t status)
    {
        EntryAnswer answer{status};
        if (status == status::unavailable)
            answer.retryAfter = this->state.settings.retryAfter;
        this->finish(position, answer, verdict);
    }

    // Forwards a target's answer. A status that implies "not run" must not reach the client unless
    // the target states that it did not execute the request.
    void forwardAnswer(Requests::iterator position, const AttemptAnswered &event)
    {
        EntryAnswer answer = event.answer;
        if (impliesNotRun(answer.status))
            answer = {status::badGateway};
        this->finish(position, std::move(answer), EntryVerdict::Served, event.stamp);
    }

    void finish(Requests::iterator position, EntryAnswer answer, EntryVerdict verdict,
                const std::string &stamp = {})
    {
        const EntryRequest &request = position->second;
        if (request.score) {
            this->finishScore(request, answer, verdict, stamp);
        } else {
            const ConfigurationVersion routing =
                    this->state.directory && this->state.directory->routing
                            ? this->state.directory->routing->version
                            : ConfigurationVersion{};
            this->actions.emplace_back(AnswerEntry{
                    position->first, std::move(answer), verdict, request.call->requestId,
                    request.attempts, routing, request.lastTarget, this->now - request.askedAt});
        }
        this->closeRequest(position);
    }

    void finishScore(const EntryRequest &request, const EntryAnswer &answer, EntryVerdict verdict,
                     const std::string &stamp)
    {
        ScoreEnded completed;
        completed.batch = request.score->batch;
        completed.item = request.score->item;
        completed.failuresAllowed = request.maxAttempts;
        if (verdict == EntryVerdict::Served && isSuccess(answer.status) && !stamp.empty()) {
            completed.outcome = ScoreEnded::Outcome::Scored;
            completed.score = stamp;
        } else if (verdict == EntryVerdict::Served && answer.status == status::serverError) {
            completed.outcome = ScoreEnded::Outcome::Failed;
        }
        this->actions.emplace_back(std::move(completed));
    }

    // Removes a request and cancels its attempts that are still in flight.
    void closeRequest(Requests::iterator position)
    {
        for (const OperationId operation : position->second.open) {
            this->state.attempts.at(operation).cancelled = true;
            this->actions.emplace_back(CancelAttempt{operation});
        }
        this->state.requests.erase(position);
    }

    std::optional<EntryAttempt> removeAttempt(OperationId operation)
    {
        const auto entry = this->state.attempts.extract(operation);
        if (entry.empty())
            return std::nullopt;
        const EntryAttempt &attempt = entry.mapped();
        const auto load = this->state.load.find(attempt.target);
        if (--load->second == 0)
            this->state.load.erase(load);
        const auto request = this->state.requests.find(attempt.reply);
        if (request != this->state.requests.end())
            request->second.open.erase(operation);
        return attempt;
    }

    void recordTargetResult(const EntryAttempt &attempt, bool succeeded)
    {
        TargetHealth &health = this->state.health[attempt.target];
        if (attempt.cancelled)
            noteAbandoned(health);
        else if (succeeded)
            noteSuccess(health);
        else
            noteFailure(health, {}, this->now);
    }
};

} // namespace

EntryState makeEntryState(EntrySettings settings, std::uint64_t seed)
{
    EntryState state;
    state.settings = settings;
    state.random.state = seed;
    return state;
}

std::vector<EntryAction> step(EntryState &state, const EntryEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

std::optional<Time> dueAt(const EntryState &state)
{
    std::optional<Time> due;
    for (const auto &[reply, request] : state.requests) {
        const Time own = std::min(request.deadline, request.nextTry.value_or(request.deadline));
        due = std::min(due.value_or(own), own);
    }
    return due;
}

} // namespace geraniumpulley::core
