#include <geraniumpulley/core/entry/entry.hpp>

#include <geraniumpulley/core/http_status.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Requests of batches have no client; their tokens stay clear of those of the door.
constexpr std::uint64_t firstScoreToken = std::uint64_t{1} << 62U;

bool isSuccess(std::uint32_t status)
{
    return status >= status::ok && status < status::firstRedirection;
}

// Statuses that tell a client that its request did not run.
bool promisesNotRun(std::uint32_t status)
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
        this->admit(event.reply, std::move(request));
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
        this->admit(token, std::move(request));
    }

    void operator()(const CallerLeft &event)
    {
        const auto position = this->state.requests.find(event.reply);
        if (position != this->state.requests.end())
            this->close(position);
    }

    void operator()(const AttemptAnswered &event)
    {
        const auto attempt = this->endAttempt(event.operation);
        if (!attempt)
            return;
        if (event.load)
            this->state.reported[attempt->target] = event.load->waiting;
        this->noteHealth(*attempt, event.answer.status < status::serverError || event.notExecuted);
        const auto position = this->state.requests.find(attempt->reply);
        if (attempt->cancelled || position == this->state.requests.end())
            return;
        EntryRequest &request = position->second;
        if (event.notExecuted || event.answer.status == status::misdirected)
            return this->tryAfterRefusal(position);
        request.mayHaveRun = true;
        const bool isOwn = event.stamped && !event.encoded;
        if (!isOwn && isSuccess(event.answer.status))
            return this->tryAfterLoss(position);
        const bool failed = event.answer.status >= status::serverError;
        if (failed && request.mayRepeat && this->mayTry(request)) {
            request.failure = event.answer;
            return this->tryAfterLoss(position);
        }
        this->pass(position, event);
    }

    void operator()(const StreamOpened &event)
    {
        const auto attempt = this->state.attempts.find(event.operation);
        if (attempt == this->state.attempts.end() || attempt->second.cancelled)
            return;
        EntryRequest &request = this->state.requests.at(attempt->second.reply);
        request.mayHaveRun = true;
        // A stream that goes on elsewhere keeps the head of its first target.
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
        const auto attempt = this->endAttempt(event.operation);
        if (!attempt || attempt->cancelled)
            return;
        this->noteHealth(*attempt, event.complete);
        const auto position = this->state.requests.find(attempt->reply);
        if (position == this->state.requests.end())
            return;
        if (!event.complete)
            return this->tryAfterLoss(position);
        this->actions.emplace_back(StreamTail{position->first, true});
        this->close(position);
    }

    void operator()(const EntryAttemptFailed &event)
    {
        const auto attempt = this->endAttempt(event.operation);
        if (!attempt)
            return;
        const auto position = this->state.requests.find(attempt->reply);
        const bool isOpen = position != this->state.requests.end();
        // A short deadline of the caller tells nothing about the target.
        if (!attempt->cancelled && !(isOpen && position->second.deadline <= this->now))
            this->noteHealth(*attempt, false);
        if (attempt->cancelled || !isOpen)
            return;
        if (event.failure == EntryFailure::NotSent)
            return this->tryAfterRefusal(position);
        position->second.mayHaveRun = true;
        this->tryAfterLoss(position);
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
                this->timeOut(position);
            else
                this->tryNext(position);
        }
    }

    void admit(ReplyToken reply, EntryRequest request)
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
        this->tryNext(position);
    }

    bool mayTry(const EntryRequest &request) const
    {
        return request.attempts < request.maxAttempts && request.deadline > this->now;
    }

    // Sends the request to the best target that has not had it yet.
    void tryNext(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        request.nextTry.reset();
        if (!this->mayTry(request) || (!request.mayRepeat && !request.open.empty()))
            return;
        const Target *target = this->choose(request);
        if (target == nullptr) {
            if (request.open.empty())
                this->giveUp(position, EntryVerdict::NoTarget);
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
        if (request.mayRepeat && request.kind != RouteKind::Stream && this->mayTry(request))
            request.nextTry = this->now + this->state.settings.secondTryAfter;
    }

    // Targets that had the request already are tried again only when there is no other.
    const Target *choose(const EntryRequest &request)
    {
        std::vector<Candidate> fresh;
        std::vector<Candidate> again;
        for (const FleetTarget *known :
             servingTargets(*this->state.directory->targets, request.service)) {
            const TargetId &id = known->target.id;
            const Candidate candidate{&known->target,
                                      countOf(this->state.load, id)
                                              + countOf(this->state.reported, id),
                                      0, isUsable(this->state.health[id], this->now)};
            (request.tried.count(id) == 0 ? fresh : again).push_back(candidate);
        }
        constexpr auto noLimit = std::numeric_limits<std::uint32_t>::max();
        if (!fresh.empty())
            return chooseByOwnCount(fresh, noLimit, this->state.random);
        if (again.empty() || !request.open.empty())
            return nullptr;
        return chooseByOwnCount(again, noLimit, this->state.random);
    }

    // The attempt did not run, so it does not count.
    void tryAfterRefusal(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        --request.attempts;
        ++request.refusals;
        if (!request.open.empty())
            return;
        if (request.refusals > this->state.settings.refusalsAllowed || !this->mayTry(request))
            return this->giveUp(position, EntryVerdict::TargetsFull);
        const bool hasFresh =
                request.tried.size()
                < servingTargets(*this->state.directory->targets, request.service).size();
        if (hasFresh)
            return this->tryNext(position);
        request.nextTry = this->now + this->state.settings.refusalPause * request.refusals;
    }

    void tryAfterLoss(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        if (!request.open.empty())
            return;
        if (request.mayRepeat && this->mayTry(request))
            return this->tryNext(position);
        this->giveUp(position, EntryVerdict::Failed);
    }

    void timeOut(Requests::iterator position) { this->giveUp(position, EntryVerdict::TimedOut); }

    // The final answer of a request that no target answered.
    void giveUp(Requests::iterator position, EntryVerdict verdict)
    {
        EntryRequest &request = position->second;
        if (request.streaming) {
            this->actions.emplace_back(StreamTail{position->first, false});
            return this->close(position);
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

    // A target's own answer. A failure that promises "not run" without the target's word for it
    // must not reach the client as such a promise.
    void pass(Requests::iterator position, const AttemptAnswered &event)
    {
        EntryAnswer answer = event.answer;
        if (promisesNotRun(answer.status))
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
        this->close(position);
    }

    void finishScore(const EntryRequest &request, const EntryAnswer &answer, EntryVerdict verdict,
                     const std::string &stamp)
    {
        ScoreEnded ended;
        ended.batch = request.score->batch;
        ended.item = request.score->item;
        ended.failuresAllowed = request.maxAttempts;
        if (verdict == EntryVerdict::Served && isSuccess(answer.status) && !stamp.empty()) {
            ended.outcome = ScoreEnded::Outcome::Scored;
            ended.score = stamp;
        } else if (verdict == EntryVerdict::Served && answer.status == status::serverError) {
            ended.outcome = ScoreEnded::Outcome::Failed;
        }
        this->actions.emplace_back(std::move(ended));
    }

    // Forgets a request and breaks off what is still under way for it.
    void close(Requests::iterator position)
    {
        for (const OperationId operation : position->second.open) {
            this->state.attempts.at(operation).cancelled = true;
            this->actions.emplace_back(CancelAttempt{operation});
        }
        this->state.requests.erase(position);
    }

    std::optional<EntryAttempt> endAttempt(OperationId operation)
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

    void noteHealth(const EntryAttempt &attempt, bool succeeded)
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
