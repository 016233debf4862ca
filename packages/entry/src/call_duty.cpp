#include "crash_store.hpp"
#include "duties.hpp"
#include "origin_store.hpp"
#include "permit_link.hpp"

#include <geraniumpulley/net/target_probe.hpp>
#include <geraniumpulley/platform/client_messages.hpp>
#include <geraniumpulley/platform/target_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

// A target on the same network accepts a connection in a few milliseconds; one that is powered off
// never does.
constexpr core::Duration connectTimeout = std::chrono::milliseconds(300);

const char *nameOf(core::EntryVerdict verdict)
{
    switch (verdict) {
    case core::EntryVerdict::Served:
        return "served";
    case core::EntryVerdict::NoRoutingTable:
        return "no_routing_table";
    case core::EntryVerdict::NoRoute:
        return "no_route";
    case core::EntryVerdict::AccountUnknown:
        return "account_unknown";
    case core::EntryVerdict::NoTarget:
        return "no_target";
    case core::EntryVerdict::TargetsFull:
        return "targets_full";
    case core::EntryVerdict::RateLimited:
        return "rate_limited";
    case core::EntryVerdict::Quarantined:
        return "quarantined";
    case core::EntryVerdict::PausedAfterCrashes:
        return "paused_after_crashes";
    case core::EntryVerdict::SoftwareUnknown:
        return "software_unknown";
    case core::EntryVerdict::Stopping:
        return "stopping";
    case core::EntryVerdict::Failed:
        return "failed";
    case core::EntryVerdict::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

const char *nameOf(core::ProbeOutcome outcome)
{
    switch (outcome) {
    case core::ProbeOutcome::Accepted:
        return "accepted";
    case core::ProbeOutcome::Refused:
        return "refused";
    case core::ProbeOutcome::Silent:
        break;
    }
    return "silent";
}

const char *nameOf(core::CrashVerdict verdict)
{
    switch (verdict) {
    case core::CrashVerdict::Clear:
        return "clear";
    case core::CrashVerdict::Suspected:
        return "suspected";
    case core::CrashVerdict::Paused:
        return "paused";
    case core::CrashVerdict::Quarantined:
        break;
    }
    return "quarantined";
}

struct CallDuty
{
    Parts &parts;
    core::EntryState state;
    TickTimer wakeup;
    /// Where the sweep of stream origins has stopped. Changed by one read at a time.
    std::shared_ptr<std::string> sweptUpTo = std::make_shared<std::string>();

    std::optional<core::Time> due() const { return core::dueAt(this->state); }

    void push(core::EntryEvent event) { this->parts.calls.deliver(std::move(event)); }

    void perform(core::SendAttempt &&attempt)
    {
        net::HttpRequest request = platform::encodeAttempt(attempt, runtime::now());
        request.deadline = attempt.deadline;
        request.connectTimeout = connectTimeout;
        request.cancelKey = cancelKeyOf(attempt.operation);
        if (attempt.isStream)
            return this->sendStream(attempt, std::move(request));
        request.done = [this, attempt, sentAt = runtime::now()](net::HttpResult &&result) {
            this->logAttempt(attempt, result, runtime::now() - sentAt);
            noteLeaving(this->parts, attempt.target.id, result.status, result.headers);
            this->push(toEvent(attempt.operation, std::move(result)));
        };
        const core::DirectoryPointer directory = this->parts.directory.get();
        const auto peer = attempt.isRelayed && directory
                                  ? chooseRelayPeer(directory->presence,
                                                    core::number(attempt.operation), runtime::now())
                                  : std::nullopt;
        if (peer)
            return this->parts.attemptRelay->send(*peer, core::number(attempt.operation),
                                                  std::move(request));
        this->parts.targetClient->send(std::move(request));
    }

    // Logs failed attempts only; a successful one is covered by the log line of the response.
    void logAttempt(const core::SendAttempt &attempt, const net::HttpResult &result,
                    core::Duration elapsed)
    {
        this->parts.metrics.observe("call_attempt", elapsed);
        constexpr std::uint32_t minErrorStatus = 400;
        if (result.failure == net::SendFailure::None && result.status < minErrorStatus)
            return;
        this->parts.logger.write(
                "attempt_failed", field("request", attempt.call->requestId),
                field("target", attempt.target.id.value), field("status", result.status),
                field("failure", static_cast<int>(result.failure)),
                field("closed_by_target", result.closedByServer),
                field("oversized", result.exceedsMemory), field("relayed", attempt.isRelayed),
                field("after_ms", elapsed.count() / 1000));
    }

    static core::EntryEvent toEvent(core::OperationId operation, net::HttpResult &&result)
    {
        if (result.failure == net::SendFailure::None)
            return platform::decodeAttemptAnswer(operation, std::move(result));
        return core::EntryAttemptFailed{operation,
                                        result.failure == net::SendFailure::NotSent
                                                ? core::EntryFailure::NotSent
                                                : core::EntryFailure::AnswerLost,
                                        result.closedByServer};
    }

    void sendStream(const core::SendAttempt &attempt, net::HttpRequest &&request)
    {
        const core::OperationId operation = attempt.operation;
        const auto buffer = std::make_shared<platform::EventStreamBuffer>();
        request.readTimeout = attempt.silenceLimit;
        request.onResponseHead = [this, operation,
                                  target = attempt.target.id](net::HttpResponseHead &&head) {
            noteLeaving(this->parts, target, head.status, head.headers);
            this->push(platform::decodeStreamHead(operation, std::move(head)));
        };
        request.onBodyPart = [this, operation, buffer](std::string &&piece) {
            bool hasEvent = false;
            for (platform::StreamEvent &event : platform::decodeEvents(*buffer, piece)) {
                hasEvent = hasEvent || !event.isComment;
                this->push(core::StreamEventReceived{operation, event.eventId,
                                                     std::move(event.rawBytes), event.isComment});
            }
            if (buffer->isOverlong)
                cancelOverlong(this->parts, *this->parts.targetClient, operation);
            return hasEvent;
        };
        request.done = [this, attempt, buffer, sentAt = runtime::now()](net::HttpResult &&result) {
            this->logAttempt(attempt, result, runtime::now() - sentAt);
            if (!result.isDeliveredInParts) {
                noteLeaving(this->parts, attempt.target.id, result.status, result.headers);
                return this->push(toEvent(attempt.operation, std::move(result)));
            }
            this->push(platform::decodeStreamEnd(attempt.operation, result, *buffer));
        };
        this->parts.targetClient->send(std::move(request));
    }

    void perform(core::CancelAttempt &&cancel)
    {
        if (this->parts.attemptRelay->cancel(core::number(cancel.operation)))
            return;
        if (!this->parts.targetClient->cancel(cancelKeyOf(cancel.operation)))
            this->parts.metrics.count("cancels_dropped");
    }

    void perform(core::ReachChanged &&changed)
    {
        this->parts.logger.write(changed.reachesTargets ? "targets_regained" : "targets_lost");
        this->parts.fleet.deliver(core::TargetReachChanged{changed.reachesTargets});
    }

    void perform(core::AnswerEntryCall &&answer)
    {
        this->parts.metrics.count(std::string("calls_") + nameOf(answer.verdict));
        this->parts.logger.write("call_answered", field("request", answer.requestId),
                                 field("status", answer.answer.status),
                                 field("verdict", nameOf(answer.verdict)),
                                 field("attempts", answer.attempts),
                                 field("routing", core::number(answer.routingVersion)),
                                 field("target", answer.target ? answer.target->value : "-"),
                                 field("after_ms", answer.latency.count() / 1000));
        this->parts.callerServer->respond(platform::encodeAnswer(std::move(answer)));
    }

    void perform(core::SendStreamHead &&head)
    {
        this->parts.callerServer->respond(platform::encodeAnswer(std::move(head)));
    }

    void perform(core::SendStreamEvent &&event)
    {
        this->parts.callerServer->respond(platform::encodeAnswer(std::move(event)));
    }

    void perform(core::EndStream &&end)
    {
        this->parts.metrics.count(end.complete ? "streams_complete" : "streams_broken");
        this->parts.callerServer->respond(platform::encodeAnswer(end));
    }

    void perform(core::RateLimitChanged &&change) { logRateLimit(this->parts, change); }

    void perform(core::FindStreamOrigin &&action) { findStreamOrigin(this->parts, action); }
    // The directory of the process is newer than that of the last event.
    void perform(core::FindOnlySoftware &&action)
    {
        const core::DirectoryPointer directory = this->parts.directory.get();
        this->push(core::StreamOriginFound{
                action.reply,
                directory ? core::onlySoftwareOf(*directory, action.service, runtime::now())
                          : std::nullopt});
    }
    void perform(core::StoreStreamOrigins &&action) { storeStreamOrigins(this->parts, action); }
    void perform(core::SweepStreamOrigins &&) { sweepStreamOrigins(this->parts, this->sweptUpTo); }

    void perform(core::ProbeTargets &&probe)
    {
        net::probeTargets(*this->parts.targetClient, probe, connectTimeout,
                          [this](core::TargetsProbed &&probed) { this->push(std::move(probed)); });
    }

    void perform(core::CrashCheckCompleted &&check)
    {
        this->parts.metrics.count(check.hasCrashed ? "target_crashes" : "target_crashes_excluded");
        this->parts.logger.write("crash_checked", field("target", check.target.target.value),
                                 field("started_at", check.target.startedAt),
                                 field("probe", nameOf(check.outcome)),
                                 field("crashed", check.hasCrashed));
    }

    void perform(core::CrashRecorded &&recorded)
    {
        this->parts.logger.write("crash_recorded", field("digest", recorded.record.request.value),
                                 field("target", recorded.record.crashed.target.value),
                                 field("crashes", recorded.judgement.crashes),
                                 field("verdict", nameOf(recorded.judgement.verdict)));
    }

    void perform(core::CrashRecordsChanged &&changed)
    {
        this->parts.logger.write("crash_records_read", field("requests", changed.requests),
                                 field("records", changed.records));
    }

    void perform(core::StoreCrashRecords &&action) { storeCrashRecords(this->parts, action); }

    void perform(core::RequestPermits &&request)
    {
        requestPermits(this->parts, request, "calls", [this](core::PermitsReceived &&received) {
            this->push(std::move(received));
        });
    }

    // A full ring loses the count of this request.
    void perform(core::RequestBegan &&began)
    {
        if (this->parts.hasLeaderDuty
            && !this->parts.leader.inbox().tryPush(
                    core::UsageRecorded{std::move(began.account), runtime::wallNow() - began.age}))
            this->parts.metrics.count("usage_counts_dropped");
    }

    void perform(core::ScoreCompleted &&completion)
    {
        this->parts.logger.write(
                "score_completed", field("request", completion.requestId),
                field("item", completion.item.value),
                field("outcome", static_cast<int>(completion.outcome)),
                field("attempts", completion.attempts),
                field("target", completion.target ? completion.target->value : "-"),
                field("after_ms", completion.latency.count() / 1000));
        static_cast<void>(this->parts.batches.inbox().push(std::move(completion)));
    }
};

} // namespace

void startCallDuty(Parts &parts, std::uint64_t seed)
{
    auto duty = std::make_shared<CallDuty>(CallDuty{
            parts, core::makeEntryState({}, seed),
            TickTimer(*parts.timer,
                      [&parts] {
                          static_cast<void>(parts.calls.inbox().tryPush(core::EntryTick{}));
                      }),
            std::make_shared<std::string>()});
    parts.calls.start("calls", [duty](core::EntryEvent &&event) {
        decideAndArm<core::EntryTick>(*duty, event);
    });
}

} // namespace geraniumpulley::entry
