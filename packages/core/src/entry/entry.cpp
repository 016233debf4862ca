#include <geraniumpulley/core/entry/entry.hpp>

#include "../calls/crash_probe.hpp"
#include "target_choice.hpp"

#include <geraniumpulley/core/event_sequence.hpp>
#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/core/silence_limit.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Requests of batches have no client connection; their tokens start far above those of clients, so
// that the two do not collide.
constexpr std::uint64_t firstScoreToken = std::uint64_t{1} << 62U;

// Pauses that the smoothed pause between events follows.
constexpr int smoothedPauses = 5;

bool isSuccess(std::uint32_t status)
{
    return status >= status::ok && status < status::firstRedirection;
}

// Returns whether a status tells a client that its request did not run.
bool impliesNotRun(std::uint32_t status)
{
    return status == status::tooManyRequests || status == status::unavailable
           || status == status::requestTimeout || status == status::misdirected;
}

bool hasResumableRoute(const Directory &directory)
{
    if (!directory.routing)
        return false;
    const auto &routes = directory.routing->routes;
    return std::any_of(routes.begin(), routes.end(),
                       [](const Route &route) { return route.resumable; });
}

using Requests = std::map<ReplyToken, EntryRequest>;

struct Handler
{
    EntryState &state;
    Time now;
    std::vector<EntryAction> actions;

    void operator()(const EntryCallReceived &event)
    {
        EntryRequest request;
        request.call = event.call;
        this->acceptRequest(event.reply, std::move(request));
    }

    void operator()(const ScoreRequested &event)
    {
        auto call = std::make_shared<EntryCall>();
        call->method = "POST";
        call->target = event.request.path;
        call->host = event.request.host;
        call->requestId = event.request.id;
        call->body = event.request.body;
        const Directory *directory = this->state.directory.get();
        if (directory != nullptr && directory->routing && directory->routing->accounts)
            call->account = accountOf(event.batch);
        EntryRequest request;
        request.call = std::move(call);
        request.scoreRequest = event;
        request.repeatable = true;
        const auto token = static_cast<ReplyToken>(firstScoreToken + this->state.nextScoreNumber++);
        this->acceptRequest(token, std::move(request));
    }

    void operator()(const CallerDisconnected &event)
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
        if (!attempt->isRelayed)
            recordReached(this->state.reachability, this->now);
        if (event.load)
            this->state.reportedWaiting[attempt->target] = event.load->waiting;
        if (event.answer.status != status::misdirected)
            this->noteRateLimit(attempt->target, event.rateLimit);
        this->recordTargetResult(*attempt,
                                 event.answer.status < status::serverError || event.notExecuted);
        const auto position = this->state.requests.find(attempt->reply);
        if (attempt->cancelled || position == this->state.requests.end())
            return;
        EntryRequest &request = position->second;
        if (event.notExecuted || event.answer.status == status::misdirected)
            return this->retryAfterRefusal(position);
        request.mayHaveRun = true;
        this->reportBegin(request, attempt->sentAt);
        if (event.hasSignature)
            this->clearOfCrashes(request);
        // A stream that has begun takes nothing but events of a stream.
        if (request.headSent)
            return this->retryAfterLoss(position);
        const bool isAuthentic = event.hasSignature && !event.encoded;
        if (!isAuthentic && isSuccess(event.answer.status))
            return this->retryAfterLoss(position);
        const bool failed = event.answer.status >= status::serverError;
        if (failed && request.repeatable && this->mayAttempt(request)) {
            request.targetFailure = event.answer;
            return this->retryAfterLoss(position);
        }
        this->forwardAnswer(position, event);
    }

    void operator()(const StreamHeadReceived &event)
    {
        const auto attempt = this->state.attempts.find(event.operation);
        if (attempt == this->state.attempts.end() || attempt->second.cancelled)
            return;
        recordReached(this->state.reachability, this->now);
        this->noteRateLimit(attempt->second.target, event.rateLimit);
        const auto position = this->state.requests.find(attempt->second.reply);
        EntryRequest &request = position->second;
        request.mayHaveRun = true;
        if (!event.hasSignature)
            return this->abandonStream(position, attempt->second, event.operation);
        // A stream that was resumed at another target keeps the head of the first one.
        if (!std::exchange(request.headSent, true))
            this->actions.emplace_back(SendStreamHead{attempt->second.reply, event.head});
    }

    void operator()(const StreamEventReceived &event)
    {
        const auto attempt = this->state.attempts.find(event.operation);
        if (attempt == this->state.attempts.end() || attempt->second.cancelled)
            return;
        const auto position = this->state.requests.find(attempt->second.reply);
        EntryRequest &request = position->second;
        if (event.isComment) {
            this->actions.emplace_back(SendStreamEvent{attempt->second.reply, event.bytes});
            return;
        }
        if (!this->isUncheckedStart(request, event)) {
            const EventPlace place = placeOf(event.eventId, request.lastEventId);
            if (place == EventPlace::Repeated)
                return;
            if (place == EventPlace::AfterGap)
                return this->abandonStream(position, attempt->second, event.operation);
        }
        if (request.lastEventId == 0)
            this->beginStream(request, attempt->second.software);
        // No other target can go on behind an event without a number.
        if (event.eventId == 0)
            request.repeatable = false;
        request.lastEventId = event.eventId;
        this->reportBegin(request, this->now);
        this->recordEventPause(attempt->second);
        this->actions.emplace_back(SendStreamEvent{attempt->second.reply, event.bytes});
    }

    void operator()(const StreamOriginFound &event)
    {
        const auto position = this->state.requests.find(event.reply);
        if (position == this->state.requests.end())
            return;
        if (!event.software)
            return this->finishUnserved(position, EntryVerdict::SoftwareUnknown);
        position->second.software = *event.software;
        this->sendNextAttempt(position);
    }

    void operator()(const StreamOriginsStored &event)
    {
        recordOriginWrite(this->state.streamOrigins, event.succeeded);
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
        this->noteSilence(position->second, *attempt);
        if (event.closedByTarget)
            this->checkForCrash(position->second, *attempt);
        // Whether a target that closes without an end marker sent all events is shown by a further
        // attempt, which then ends without an event.
        const EntryRequest &request = position->second;
        const bool isProved = event.hasEndMarker || !request.repeatable
                              || (!attempt->hasEvents && request.lastEventId > 0);
        if (!event.complete || !isProved)
            return this->retryAfterLoss(position);
        this->clearOfCrashes(position->second);
        this->endStream(position, true);
    }

    void operator()(const EntryAttemptFailed &event)
    {
        const auto attempt = this->removeAttempt(event.operation);
        if (!attempt)
            return;
        const auto position = this->state.requests.find(attempt->reply);
        const bool isPending = position != this->state.requests.end();
        if (!attempt->cancelled && !attempt->isRelayed)
            recordUnreached(this->state.reachability, attempt->target);
        // A failure caused by a caller's short deadline does not show that the target is faulty,
        // and one of a relayed attempt may be the peer's.
        if (!attempt->cancelled && !attempt->isRelayed
            && !(isPending && position->second.deadline <= this->now))
            this->recordTargetResult(*attempt, false);
        if (attempt->cancelled || !isPending)
            return;
        if (event.failure == EntryFailure::NotSent)
            return this->retryAfterRefusal(position);
        position->second.mayHaveRun = true;
        this->reportBegin(position->second, attempt->sentAt);
        this->noteSilence(position->second, *attempt);
        if (event.closedByTarget)
            this->checkForCrash(position->second, *attempt);
        this->retryAfterLoss(position);
    }

    void operator()(const EngineUnreached &event)
    {
        recordUnreached(this->state.reachability, event.target);
    }

    void operator()(const TargetsProbed &event)
    {
        if (this->state.reachability.probe == event.operation)
            return this->completeReachProbe(event);
        const auto check = this->state.suspects.checks.find(event.operation);
        if (check == this->state.suspects.checks.end() || event.outcomes.empty())
            return;
        this->actions.emplace_back(CrashCheckCompleted{check->second.target, event.outcomes.front(),
                                                       showsCrash(event)});
        for (const CrashRecord &record :
             recordCrashProbe(this->state.suspects, event, this->storeTime(), this->now))
            this->recordCrash(record);
        std::vector<ReplyToken> awaiting;
        for (auto &[reply, request] : this->state.requests) {
            if (request.awaitedCheck != event.operation)
                continue;
            request.awaitedCheck.reset();
            awaiting.push_back(reply);
        }
        for (const ReplyToken reply : awaiting)
            this->retryAfterLoss(this->state.requests.find(reply));
    }

    void operator()(const CrashRecordsStored &event)
    {
        recordCrashWrite(this->state.suspects, event.succeeded, this->now);
    }

    void operator()(const CrashRecordsReceived &event)
    {
        for (const CrashRecord &record : event.records)
            addRecord(this->state.suspects, record);
    }

    void operator()(const EntryDirectoryChanged &event)
    {
        this->state.directory = event.directory;
        if (replaceStored(this->state.suspects, event.directory->crashes))
            this->reportStoredCrashes();
        const TargetMap &targets = *event.directory->targets;
        std::erase_if(this->state.health,
                      [&](const auto &entry) { return targets.count(entry.first) == 0; });
        std::erase_if(this->state.eventPauses,
                      [&](const auto &entry) { return targets.count(entry.first) == 0; });
        if (event.directory->routing)
            std::erase_if(this->state.answerTimes.slowAnswers, [&](const auto &entry) {
                return findService(*event.directory->routing, entry.first) == nullptr;
            });
        std::erase_if(this->state.reportedWaiting,
                      [&](const auto &entry) { return targets.count(entry.first) == 0; });
        retainTargets(this->state.permits,
                      [&](const TargetId &target) { return targets.count(target) != 0; });
        this->retryAwaitingPermits();
    }

    // Requests that wait for targets beyond the stop get their final answer while it can still be
    // written.
    void operator()(const EntryDraining &event)
    {
        this->state.answersDueAt = event.answersDueAt;
        for (auto &[reply, request] : this->state.requests)
            request.deadline = std::min(request.deadline, event.answersDueAt);
    }

    void operator()(const PermitsReceived &event)
    {
        recordGrant(this->state.permits, event, this->now);
        this->retryAwaitingPermits();
    }

    void operator()(const EntryTick &)
    {
        std::vector<ReplyToken> due;
        for (const auto &[reply, request] : this->state.requests) {
            if (request.deadline <= this->now
                || (request.nextAttemptAt && *request.nextAttemptAt <= this->now))
                due.push_back(reply);
        }
        for (const ReplyToken reply : due) {
            const auto position = this->state.requests.find(reply);
            if (position->second.deadline <= this->now) {
                this->expireRequest(position);
                continue;
            }
            this->noteUnansweredAttempts(position->second);
            this->sendNextAttempt(position);
        }
    }

    // A hedged attempt is due because the others are not answered as soon as usual.
    void noteUnansweredAttempts(const EntryRequest &request)
    {
        for (const OperationId operation : request.openAttempts) {
            const EntryAttempt &attempt = this->state.attempts.at(operation);
            if (!attempt.isRelayed)
                recordUnreached(this->state.reachability, attempt.target);
        }
    }

    // What this node has observed of targets before a change says nothing about them any more.
    void completeReachProbe(const TargetsProbed &event)
    {
        if (!recordProbe(this->state.reachability, event, this->now))
            return;
        this->state.health.clear();
        const bool isCutOff = this->state.reachability.isCutOff;
        this->actions.emplace_back(ReachChanged{!isCutOff});
        if (isCutOff)
            this->repeatUnansweredAttempts();
    }

    // Attempts that were sent into a cut do not count.
    void repeatUnansweredAttempts()
    {
        std::vector<ReplyToken> repeated;
        for (auto &[reply, request] : this->state.requests) {
            if (!request.repeatable || request.kind == RouteKind::Stream
                || request.openAttempts.empty())
                continue;
            for (const OperationId operation : request.openAttempts) {
                this->state.attempts.at(operation).cancelled = true;
                this->actions.emplace_back(CancelAttempt{operation});
                --request.attemptCount;
            }
            request.openAttempts.clear();
            repeated.push_back(reply);
        }
        for (const ReplyToken reply : repeated)
            this->sendNextAttempt(this->state.requests.find(reply));
    }

    // Runs after each event.
    void probeReachability()
    {
        Reachability &reachability = this->state.reachability;
        const Directory *directory = this->state.directory.get();
        if (directory == nullptr || directory->targets->empty()
            || !isProbeDue(reachability, this->now))
            return;
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        reachability.probe = operation;
        const auto first = std::next(
                directory->targets->begin(),
                static_cast<std::ptrdiff_t>(draw(this->state.random, directory->targets->size())));
        this->probe(operation, first->second.target);
    }

    void acceptRequest(ReplyToken reply, EntryRequest request)
    {
        const Directory *directory = this->state.directory.get();
        const auto position = this->state.requests.emplace(reply, std::move(request)).first;
        EntryRequest &entry = position->second;
        entry.receivedAt = this->now;
        entry.deadline =
                this->now + entry.call->timeout.value_or(this->state.settings.defaultTimeout);
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
        // The table has changed since the request was authorized; the client's next try is
        // authorized by the new one.
        const bool lacksAccount = routing.accounts && !entry.scoreRequest && !entry.call->account;
        if (lacksAccount && (!route->isPublic || !entry.call->credentials.empty()))
            return this->refuse(position, EntryVerdict::AccountUnknown, status::unavailable);
        entry.kind = route->kind;
        entry.resumable = route->kind == RouteKind::Stream && route->resumable;
        entry.repeatable =
                entry.repeatable || route->kind == RouteKind::Repeatable || entry.resumable;
        entry.maxAttempts = std::max(route->maxAttempts, 1U);
        entry.service = *service;
        entry.lastEventId = entry.call->lastEventId;
        if (route->timeout > Duration{})
            entry.deadline = std::min(entry.deadline, this->now + route->timeout);
        if (this->state.answersDueAt) {
            if (!this->isFinishable(entry))
                return this->refuse(position, EntryVerdict::Stopping, status::unavailable);
            entry.deadline = std::min(entry.deadline, *this->state.answersDueAt);
        }
        entry.minSilenceLimit =
                std::max(this->state.settings.minSilenceLimit,
                         route->latencyObjective * this->state.settings.silenceLimitObjectives);
        entry.objectiveAt = entry.deadline;
        if (!entry.scoreRequest && route->latencyObjective > Duration{})
            entry.objectiveAt = std::min(entry.deadline, this->now + route->latencyObjective);
        if (entry.resumable && entry.lastEventId > 0)
            return this->takeUpStream(position);
        this->sendNextAttempt(position);
    }

    // A scoring request has no client; the next owner of its batch repeats it.
    bool isFinishable(const EntryRequest &request) const
    {
        return request.scoreRequest.has_value()
               || isFinishableBy(this->state.answerTimes,
                                 {request.service, request.kind == RouteKind::Stream,
                                  request.repeatable, request.deadline},
                                 *this->state.answersDueAt, this->now);
    }

    // Usage counts each client request once, when it is known to have run.
    void reportBegin(EntryRequest &request, Time begunAt)
    {
        if (!request.call->account || request.scoreRequest
            || std::exchange(request.isBeginReported, true))
            return;
        this->actions.emplace_back(RequestBegan{*request.call->account, this->now - begunAt});
    }

    void recordEventPause(EntryAttempt &attempt)
    {
        const Duration pause = this->now - std::exchange(attempt.lastEventAt, this->now);
        // The time to the first event includes the wait for a slot and the prompt.
        if (!std::exchange(attempt.hasEvents, true))
            return;
        Duration &usual = this->state.eventPauses.try_emplace(attempt.target, pause).first->second;
        usual += (pause - usual) / smoothedPauses;
    }

    void noteSilence(EntryRequest &request, const EntryAttempt &attempt) const
    {
        if (request.kind == RouteKind::Stream
            && this->now - attempt.lastEventAt >= attempt.silenceLimit)
            ++request.silentAttempts;
    }

    // Events may go without numbers, and the numbers of a stream that cannot be resumed may start
    // anywhere.
    static bool isUncheckedStart(const EntryRequest &request, const StreamEventReceived &event)
    {
        return request.lastEventId == 0 && (event.eventId == 0 || !request.repeatable);
    }

    void beginStream(EntryRequest &request, const SoftwareVersion &software)
    {
        request.software = software;
        if (request.resumable)
            recordStreamOrigin(this->state.streamOrigins, {request.call->requestId, software},
                               this->now);
    }

    // A stream goes on only at the software that began it. A client that does not name the attempt
    // that began it is served if all targets run the same software.
    void takeUpStream(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        const std::string &origin = request.call->resumedRequestId;
        if (origin.empty()) {
            this->actions.emplace_back(FindOnlySoftware{position->first, request.service});
            return;
        }
        const auto software = findStreamOrigin(this->state.streamOrigins, origin);
        if (!software) {
            this->actions.emplace_back(FindStreamOrigin{position->first, origin});
            return;
        }
        request.software = *software;
        this->sendNextAttempt(position);
    }

    void noteRateLimit(const TargetId &target, const std::optional<RequestRate> &limit)
    {
        if (!recordRateLimit(this->state.permits, target, limit))
            return;
        this->actions.emplace_back(RateLimitChanged{target, limit});
        if (!limit)
            this->retryAwaitingPermits();
    }

    // Considers all requests that wait for a permit again, clients' requests before those of
    // batches and older ones first.
    void retryAwaitingPermits()
    {
        clearAwaiting(this->state.permits);
        std::vector<ReplyToken> awaiting;
        for (const auto &[reply, request] : this->state.requests) {
            if (request.awaitsPermit)
                awaiting.push_back(reply);
        }
        for (const ReplyToken reply : awaiting)
            this->sendNextAttempt(this->state.requests.find(reply));
    }

    bool mayAttempt(const EntryRequest &request) const
    {
        return request.attemptCount < request.maxAttempts && request.deadline > this->now;
    }

    // Sends the request to the least loaded target that it was not sent to before.
    void sendNextAttempt(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        request.nextAttemptAt.reset();
        request.awaitsPermit = false;
        if (!this->mayAttempt(request) || (!request.repeatable && !request.openAttempts.empty()))
            return;
        // Every request may have one attempt, so that those of many callers cannot take the
        // connections that the first attempts of others need.
        if (!request.openAttempts.empty()
            && this->state.attempts.size()
                       >= this->state.requests.size() + this->state.settings.maxHedges) {
            request.nextAttemptAt = this->now + this->state.settings.hedgeDelay;
            return;
        }
        const CrashJudgement judgement = this->judgeRequest(request);
        if (judgement.verdict != CrashVerdict::Clear) {
            if (!request.openAttempts.empty())
                return;
            if (judgement.verdict == CrashVerdict::Quarantined)
                return this->finishUnserved(position, EntryVerdict::Quarantined);
            if (judgement.verdict == CrashVerdict::Paused)
                return this->finishUnserved(position, EntryVerdict::PausedAfterCrashes,
                                            judgement.pauseLeft);
            if (!request.runsAloneUntil)
                request.runsAloneUntil = this->now + (request.deadline - this->now) / 2;
        }
        const TargetChoice choice = chooseTarget(this->state, request, this->now);
        if (choice.target != nullptr)
            return this->sendTo(position, *choice.target);
        if (!request.openAttempts.empty())
            return;
        if (choice.awaitsIdleTarget) {
            request.nextAttemptAt = this->now + this->state.settings.refusalBackoff;
            return;
        }
        if (choice.rateLimited != nullptr && this->awaitTarget(position, *choice.rateLimited))
            return;
        if (choice.alreadyTried != nullptr)
            return this->sendTo(position, *choice.alreadyTried);
        if (choice.rateLimited == nullptr)
            return this->finishUnserved(position, EntryVerdict::NoTarget);
        wantPermit(this->state.permits, choice.rateLimited->id, this->now);
        this->finishUnserved(
                position, EntryVerdict::RateLimited,
                expectedTargetDelay(this->state.permits, choice.rateLimited->id, this->now));
    }

    void sendTo(Requests::iterator position, const Target &target)
    {
        EntryRequest &request = position->second;
        usePermit(this->state.permits, target.id, this->now);
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        ++request.attemptCount;
        request.openAttempts.insert(operation);
        request.triedTargets.insert(target.id);
        request.lastTarget = target.id;
        ++this->state.attemptsPerTarget[target.id];
        recordSent(this->state.health[target.id], this->now);
        const auto pause = this->state.eventPauses.find(target.id);
        EntryAttempt attempt;
        attempt.target = target.id;
        attempt.reply = position->first;
        attempt.software = softwareOf(*this->state.directory, target.id);
        attempt.targetStartedAt = startTimeOf(*this->state.directory, target.id);
        attempt.runsAlone = request.runsAloneUntil.has_value();
        if (attempt.runsAlone)
            ++this->state.suspectsPerTarget[target.id];
        attempt.sentAt = this->now;
        attempt.lastEventAt = this->now;
        attempt.silenceLimit =
                silenceLimit(request.minSilenceLimit,
                             pause == this->state.eventPauses.end() ? Duration{} : pause->second,
                             request.silentAttempts);
        attempt.isRelayed = this->state.reachability.isCutOff && request.kind != RouteKind::Stream;
        this->actions.emplace_back(SendAttempt{operation, target, request.call, request.deadline,
                                               request.kind == RouteKind::Stream,
                                               request.repeatable, request.lastEventId,
                                               attempt.silenceLimit, attempt.isRelayed});
        const bool mayHedge = !attempt.runsAlone;
        this->state.attempts.emplace(operation, std::move(attempt));
        if (mayHedge && request.repeatable && request.kind != RouteKind::Stream
            && this->mayAttempt(request))
            request.nextAttemptAt = this->now + this->state.settings.hedgeDelay;
    }

    // Lets the request wait for a permit of the target. Returns false if that takes too long: a
    // request that cannot be sent within its latency objective is better off at another node,
    // unless it may have run already, so that it cannot be refused any more.
    bool awaitTarget(Requests::iterator position, const Target &target)
    {
        EntryRequest &request = position->second;
        Permits &permits = this->state.permits;
        const Time latest = request.mayHaveRun ? request.deadline : request.objectiveAt;
        const auto expectedAt = expectedPermitAt(permits, target.id, this->now);
        if (expectedAt && *expectedAt >= latest)
            return false;
        request.awaitsPermit = true;
        request.nextAttemptAt = awaitPermit(permits, target.id, latest, this->now);
        return true;
    }

    // Retries after an attempt that did not run and therefore does not count.
    void retryAfterRefusal(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        --request.attemptCount;
        ++request.refusals;
        if (!request.openAttempts.empty())
            return;
        if (request.refusals > this->state.settings.maxRefusals || !this->mayAttempt(request))
            return this->finishUnserved(position, EntryVerdict::TargetsFull);
        if (hasUntriedTarget(this->state, request, this->now))
            return this->sendNextAttempt(position);
        request.nextAttemptAt = this->now + this->state.settings.refusalBackoff * request.refusals;
    }

    void retryAfterLoss(Requests::iterator position)
    {
        EntryRequest &request = position->second;
        if (!request.openAttempts.empty())
            return;
        if (request.repeatable && this->mayAttempt(request)) {
            request.nextAttemptAt.reset();
            if (!request.awaitedCheck)
                this->sendNextAttempt(position);
            return;
        }
        this->finishUnserved(position, EntryVerdict::Failed);
    }

    RequestDigest &digestOfRequest(EntryRequest &request) const
    {
        const EntryCall &call = *request.call;
        if (!request.digest)
            request.digest = digestOf(
                    {call.credentials, call.host, call.method, call.target, call.body.str()});
        return *request.digest;
    }

    // Requests of batches are owed whatever happens, so they are never suspected.
    CrashJudgement judgeRequest(EntryRequest &request) const
    {
        const CrashSuspects &suspects = this->state.suspects;
        if (request.scoreRequest || suspects.log.empty())
            return {};
        return judge(suspects.log, this->digestOfRequest(request), this->storeTime(),
                     suspects.settings.judging);
    }

    // Finds out whether a target that has closed a connection has crashed. A target that leaves is
    // expected to close connections.
    void checkForCrash(EntryRequest &request, const EntryAttempt &attempt)
    {
        const TargetMap &targets = *this->state.directory->targets;
        const auto target = targets.find(attempt.target);
        if (request.scoreRequest || target == targets.end() || target->second.target.leaving)
            return;
        const OperationId newCheck = this->state.nextOperation;
        const OperationId check = addToCheck(this->state.suspects, newCheck,
                                             {attempt.target, attempt.targetStartedAt},
                                             this->digestOfRequest(request));
        // Before a repeated probe, the first one has not shown a crash.
        if (!this->state.suspects.checks.at(check).repeatAt)
            request.awaitedCheck = check;
        if (check != newCheck)
            return;
        this->state.nextOperation = next(newCheck);
        this->probe(check, target->second.target);
    }

    void probe(OperationId operation, const Target &target)
    {
        std::vector<const Target *> targets;
        for (const auto &[id, known] : *this->state.directory->targets)
            targets.push_back(&known.target);
        this->actions.emplace_back(
                makeControlledProbe(operation, target, targets, this->state.random));
    }

    void recordCrash(const CrashRecord &record)
    {
        CrashSuspects &suspects = this->state.suspects;
        addRecord(suspects, record);
        const CrashJudgement judgement =
                judge(suspects.log, record.request, this->storeTime(), suspects.settings.judging);
        this->actions.emplace_back(CrashRecorded{record, judgement});
        // A request that is still tried elsewhere may prove to be sound.
        const bool isInProgress = std::any_of(
                this->state.requests.begin(), this->state.requests.end(),
                [&](const auto &entry) { return entry.second.digest == record.request; });
        if (!isInProgress || judgement.crashes > 1)
            shareRecords(suspects, record.request);
    }

    void reportStoredCrashes()
    {
        CrashRecordsChanged changed;
        for (const auto &[request, crashes] : *this->state.suspects.stored) {
            ++changed.requests;
            changed.records += crashes.size();
        }
        this->actions.emplace_back(changed);
    }

    void clearOfCrashes(EntryRequest &request)
    {
        CrashSuspects &suspects = this->state.suspects;
        if (request.scoreRequest || (suspects.log.empty() && suspects.checks.empty()))
            return;
        clearRequest(suspects, this->digestOfRequest(request));
    }

    Duration storeTime() const
    {
        const Directory *directory = this->state.directory.get();
        if (directory == nullptr || !directory->storeClockOffset)
            return {};
        return this->now.time_since_epoch() + *directory->storeClockOffset;
    }

    void expireRequest(Requests::iterator position)
    {
        this->finishUnserved(position, EntryVerdict::TimedOut);
    }

    // Ends a request that no target answered successfully.
    // \param retryDelay the time after which a target is expected to accept the request.
    void finishUnserved(Requests::iterator position, EntryVerdict verdict, Duration retryDelay = {})
    {
        EntryRequest &request = position->second;
        if (request.targetFailure) {
            const EntryAnswer failure = std::move(*request.targetFailure);
            return this->finish(position, failure, EntryVerdict::Served);
        }
        const bool mayHaveRun = request.mayHaveRun || !request.openAttempts.empty();
        // Equal requests have run, so that "not run" would be misleading, and a retry is useless.
        if (verdict == EntryVerdict::Quarantined)
            return this->finish(position, {status::badGateway}, verdict);
        if (verdict == EntryVerdict::TimedOut && mayHaveRun)
            return this->finish(position, {status::gatewayTimeout}, verdict);
        if (mayHaveRun)
            return this->finish(position, {status::badGateway}, EntryVerdict::Failed);
        this->refuse(position, verdict, status::unavailable, retryDelay);
    }

    void refuse(Requests::iterator position, EntryVerdict verdict, std::uint32_t status,
                Duration retryDelay = {})
    {
        EntryAnswer answer{status};
        if (status == status::unavailable)
            answer.retryAfter = std::max(this->state.settings.retryAfter, retryDelay);
        this->finish(position, answer, verdict);
    }

    // Forwards a target's answer. A status that implies "not run" is replaced by 502, since the
    // target has not stated that it did not execute the request.
    void forwardAnswer(Requests::iterator position, const AttemptAnswered &event)
    {
        EntryAnswer answer = event.answer;
        if (impliesNotRun(answer.status))
            answer = {status::badGateway};
        this->finish(position, std::move(answer), EntryVerdict::Served, event.signature);
    }

    // Ends a request with an answer. All requests but complete streams end here, so that no answer
    // can follow the head of a stream: the stream ends as broken instead.
    void finish(Requests::iterator position, EntryAnswer answer, EntryVerdict verdict,
                const std::string &signature = {})
    {
        const EntryRequest &request = position->second;
        if (verdict != EntryVerdict::Served && request.digest)
            shareRecords(this->state.suspects, *request.digest);
        if (verdict == EntryVerdict::Served && !request.scoreRequest)
            recordAnswerTime(this->state.answerTimes, request.service,
                             this->now - request.receivedAt);
        if (request.headSent)
            return this->endStream(position, false);
        if (request.scoreRequest) {
            this->finishScore(request, answer, verdict, signature);
        } else {
            const ConfigurationVersion routing =
                    this->state.directory && this->state.directory->routing
                            ? this->state.directory->routing->version
                            : ConfigurationVersion{};
            this->actions.emplace_back(
                    AnswerEntryCall{position->first, std::move(answer), verdict,
                                    request.call->requestId, request.attemptCount, routing,
                                    request.lastTarget, this->now - request.receivedAt});
        }
        this->closeRequest(position);
    }

    void endStream(Requests::iterator position, bool isComplete)
    {
        this->actions.emplace_back(EndStream{position->first, isComplete});
        this->closeRequest(position);
    }

    // Gives up an attempt whose stream cannot be passed on, and goes on elsewhere if possible.
    void abandonStream(Requests::iterator position, EntryAttempt &attempt, OperationId operation)
    {
        recordFailure(this->state.health[attempt.target], {}, this->now);
        attempt.cancelled = true;
        position->second.openAttempts.erase(operation);
        this->actions.emplace_back(CancelAttempt{operation});
        this->retryAfterLoss(position);
    }

    void finishScore(const EntryRequest &request, const EntryAnswer &answer, EntryVerdict verdict,
                     const std::string &signature)
    {
        ScoreCompleted completed;
        completed.batch = request.scoreRequest->batch;
        completed.item = request.scoreRequest->item;
        completed.maxFailures = request.maxAttempts;
        completed.requestId = request.call->requestId;
        completed.attempts = request.attemptCount;
        completed.target = request.lastTarget;
        completed.latency = this->now - request.receivedAt;
        if (verdict == EntryVerdict::Served && isSuccess(answer.status) && !signature.empty()) {
            completed.outcome = ScoreCompleted::Outcome::Scored;
            completed.score = signature;
        } else if (verdict == EntryVerdict::Served && answer.status == status::serverError) {
            completed.outcome = ScoreCompleted::Outcome::Failed;
        }
        this->actions.emplace_back(std::move(completed));
    }

    // Removes a request and cancels its attempts that are still in flight.
    void closeRequest(Requests::iterator position)
    {
        for (const OperationId operation : position->second.openAttempts) {
            EntryAttempt &attempt = this->state.attempts.at(operation);
            attempt.cancelled = true;
            this->reportBegin(position->second, attempt.sentAt);
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
        const auto load = this->state.attemptsPerTarget.find(attempt.target);
        if (--load->second == 0)
            this->state.attemptsPerTarget.erase(load);
        if (attempt.runsAlone) {
            const auto suspects = this->state.suspectsPerTarget.find(attempt.target);
            if (--suspects->second == 0)
                this->state.suspectsPerTarget.erase(suspects);
        }
        const auto request = this->state.requests.find(attempt.reply);
        if (request != this->state.requests.end())
            request->second.openAttempts.erase(operation);
        return attempt;
    }

    void recordTargetResult(const EntryAttempt &attempt, bool succeeded)
    {
        TargetHealth &health = this->state.health[attempt.target];
        if (attempt.cancelled)
            recordInconclusive(health);
        else if (succeeded)
            recordSuccess(health);
        else
            recordFailure(health, {}, this->now);
    }

    // Runs after each event.
    void maintainCrashRecords()
    {
        CrashSuspects &suspects = this->state.suspects;
        if (!suspects.log.empty() && this->now >= suspects.nextSweepAt) {
            sweepRecords(suspects, this->storeTime());
            // Without the jitter all nodes would remove the same records from the store.
            const auto jitter = draw(this->state.random, suspects.settings.sweepPeriod.count());
            suspects.nextSweepAt = this->now + suspects.settings.sweepPeriod + Duration(jitter);
        }
        for (const OperationId operation : dueCrashProbes(suspects, this->now)) {
            const auto target = this->state.directory->targets->find(
                    suspects.checks.at(operation).target.target);
            if (target == this->state.directory->targets->end())
                suspects.checks.erase(operation);
            else
                this->probe(operation, target->second.target);
        }
        if (auto write = dueCrashWrite(suspects, this->now))
            this->actions.emplace_back(std::move(*write));
    }

    // Runs after each event.
    void maintainStreamOrigins()
    {
        const Directory *directory = this->state.directory.get();
        if (directory == nullptr)
            return;
        auto write = dueOriginWrite(this->state.streamOrigins, directory->presence.nodes.size(),
                                    this->now);
        if (write)
            this->actions.emplace_back(std::move(*write));
        if (this->now < this->state.nextSweepAt || !hasResumableRoute(*directory))
            return;
        this->state.nextSweepAt = this->now + this->state.streamOrigins.settings.sweepPeriod;
        this->actions.emplace_back(SweepStreamOrigins{});
    }
};

} // namespace

EntryState makeEntryState(EntrySettings settings, std::uint64_t seed)
{
    EntryState state;
    state.settings = settings;
    state.random.state = seed;
    CrashSuspectSettings &suspects = state.suspects.settings;
    suspects.judging.retryPause +=
            Duration(draw(state.random, static_cast<std::size_t>(suspects.maxExtraPause.count())));
    return state;
}

std::vector<EntryAction> step(EntryState &state, const EntryEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    for (const RequestPermits &request : duePermitRequests(state.permits, now))
        handler.actions.emplace_back(request);
    handler.maintainCrashRecords();
    handler.probeReachability();
    handler.maintainStreamOrigins();
    return std::move(handler.actions);
}

std::optional<Time> dueAt(const EntryState &state)
{
    std::optional<Time> due = dueAt(state.permits);
    for (const auto partDueAt :
         {dueAt(state.streamOrigins), dueAt(state.suspects), dueAt(state.reachability)}) {
        if (partDueAt)
            due = std::min(due.value_or(*partDueAt), *partDueAt);
    }
    if (state.directory && hasResumableRoute(*state.directory))
        due = std::min(due.value_or(state.nextSweepAt), state.nextSweepAt);
    for (const auto &[reply, request] : state.requests) {
        const Time requestDue =
                std::min(request.deadline, request.nextAttemptAt.value_or(request.deadline));
        due = std::min(due.value_or(requestDue), requestDue);
    }
    return due;
}

} // namespace geraniumpulley::core
