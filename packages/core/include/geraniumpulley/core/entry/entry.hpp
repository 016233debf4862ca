#pragma once

#include <geraniumpulley/core/accounts/client_accounts.hpp>
#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/calls/crash_suspects.hpp>
#include <geraniumpulley/core/calls/load_balancing.hpp>
#include <geraniumpulley/core/calls/reachability.hpp>
#include <geraniumpulley/core/calls/target_health.hpp>
#include <geraniumpulley/core/calls/target_probe.hpp>
#include <geraniumpulley/core/entry/stop_admission.hpp>
#include <geraniumpulley/core/entry/stream_origins.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/limits/permits.hpp>
#include <geraniumpulley/core/limits/request_rate.hpp>
#include <geraniumpulley/core/shared_bytes.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the entry duty: which target serves a client's request, and how failed attempts are
/// retried.
namespace geraniumpulley::core {

/// A client's request, forwarded unchanged.
struct EntryCall
{
    std::string method;
    std::string target; ///< Request target: path and query.
    std::string host;
    /// The client's account, or the credentials that it has sent; they tell callers apart.
    std::string credentials;
    std::optional<AccountName> account; ///< Set if the routing table has accounts.
    std::string requestId; ///< Identifies this attempt of the client.
    std::vector<HttpHeader> headers; ///< End-to-end headers, without hop-by-hop ones.
    SharedBytes body;
    std::optional<Duration> timeout; ///< How long the client waits, if it states a limit.
    std::uint64_t lastEventId = 0; ///< The last stream event that the client received.
    /// The attempt of the client that brought the first event of a stream that it takes up.
    std::string resumedRequestId;
};

/// An answer from a target or from this node.
struct EntryAnswer
{
    std::uint32_t status = 0;
    std::vector<HttpHeader> headers = {};
    std::string body = {};
    std::optional<Duration> retryAfter = {}; ///< Sent with a refusal.
};

/// The load that a target reports in an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// How far an attempt without a complete answer got.
enum class EntryFailure {
    NotSent, ///< No byte was sent; the attempt did not run.
    AnswerLost, ///< Bytes were sent and no complete answer arrived; the attempt may have run.
};

// Events

struct EntryCallReceived
{
    ReplyToken reply{};
    std::shared_ptr<const EntryCall> call;
};
struct CallerDisconnected
{
    ReplyToken reply{};
};
struct AttemptAnswered
{
    OperationId operation{};
    EntryAnswer answer;
    bool notExecuted = false; ///< The target states that it did not execute the request.
    bool hasSignature = false; ///< The answer carries the target's signature.
    std::string signature; ///< The target's signature.
    bool encoded = false; ///< The body has a content encoding, so the target did not write it.
    std::optional<ReportedLoad> load;
    std::optional<RequestRate> rateLimit = {}; ///< The limit that the target states, if any.
};
/// The head of a stream arrived.
struct StreamHeadReceived
{
    OperationId operation{};
    EntryAnswer head;
    bool hasSignature = false; ///< The head carries the target's signature.
    std::optional<RequestRate> rateLimit = {}; ///< The limit that the target states, if any.
};
/// One complete event of a stream arrived, or a comment between two events.
struct StreamEventReceived
{
    OperationId operation{};
    std::uint64_t eventId = 0; ///< 0 if the event carries no number.
    std::string bytes;
    bool isComment = false;
};
struct StreamEnded
{
    OperationId operation{};
    bool complete = false; ///< The end of the stream arrived, and no event before it is cut off.
    /// The end was marked; otherwise the target just closed the connection.
    bool hasEndMarker = true;
    bool closedByTarget = false; ///< The target closed the connection before the end.
};
struct EntryAttemptFailed
{
    OperationId operation{};
    EntryFailure failure = EntryFailure::AnswerLost;
    bool closedByTarget = false; ///< The target closed the connection, as it also does in a crash.
};
/// A batch requests the score of a finished item.
struct ScoreRequested
{
    BatchId batch;
    ItemId item;
    ScoringRequest request;
};
/// A `FindStreamOrigin` or `FindOnlySoftware` has completed.
struct StreamOriginFound
{
    ReplyToken reply{};
    std::optional<SoftwareVersion> software; ///< Null if it is unknown or the store did not answer.
};
/// A run of a batch was not sent, or its connection failed.
struct EngineUnreached
{
    TargetId target;
};
struct EntryDirectoryChanged
{
    DirectoryPointer directory;
};
/// The node has started a planned stop.
struct EntryDraining
{
    Time answersDueAt{}; ///< When every request must have its final answer.
};
struct EntryTick
{
};

using EntryEvent =
        std::variant<EntryCallReceived, CallerDisconnected, AttemptAnswered, StreamHeadReceived,
                     StreamEventReceived, StreamEnded, EntryAttemptFailed, ScoreRequested,
                     PermitsReceived, StreamOriginFound, StreamOriginsStored, TargetsProbed,
                     CrashRecordsStored, CrashRecordsReceived, EngineUnreached,
                     EntryDirectoryChanged, EntryDraining, EntryTick>;

// Actions

/// Sends a request to a target.
struct SendAttempt
{
    OperationId operation{};
    Target target;
    std::shared_ptr<const EntryCall> call;
    Time deadline{};
    bool isStream = false; ///< The answer is a stream of events.
    bool reuseConnection =
            false; ///< A keep-alive connection may be used, since the request may run twice.
    std::uint64_t lastEventId = 0; ///< The last stream event that the caller received.
    Duration silenceLimit{}; ///< Time without an event after which a stream is given up.
    /// The request goes through a node that reaches targets, if there is one.
    bool isRelayed = false;
};
/// Looks up in the store which software began a stream that a client takes up.
struct FindStreamOrigin
{
    ReplyToken reply{};
    std::string requestId; ///< The client's attempt that brought the first event.
};
/// Looks up the software of a service for a stream that a client takes up without naming the
/// attempt that began it. Completes with a `StreamOriginFound`.
struct FindOnlySoftware
{
    ReplyToken reply{};
    ServiceName service;
};
/// Looks for expired origins in the store that other nodes have left behind. One node does it.
struct SweepStreamOrigins
{
};
/// Cancels an attempt in flight.
struct CancelAttempt
{
    OperationId operation{};
};
/// The reason for the final answer of a request.
enum class EntryVerdict {
    Served, ///< The answer is a target's own.
    NoRoutingTable,
    NoRoute,
    AccountUnknown, ///< The routing table has changed since the request was authorized.
    NoTarget, ///< The service has no target that accepts requests.
    TargetsFull, ///< Every target that was tried refused the request.
    RateLimited, ///< The rate limits of the targets allow the request too late.
    Quarantined, ///< Targets have crashed while they ran the request.
    /// Targets have crashed while they ran the request, which therefore pauses.
    PausedAfterCrashes,
    SoftwareUnknown, ///< The software that began the stream which a client takes up is unknown.
    Stopping, ///< This node stops before the request would have its answer.
    Failed, ///< Attempts failed, and the request may have run.
    TimedOut,
};

/// Sends the final answer of a request, with the details for its log line. Never follows
/// `SendStreamHead` of the same request.
struct AnswerEntryCall
{
    ReplyToken reply{};
    EntryAnswer answer;
    EntryVerdict verdict = EntryVerdict::Served;
    std::string requestId;
    std::uint32_t attempts = 0;
    ConfigurationVersion routingVersion{};
    std::optional<TargetId> target; ///< The target that answered or was tried last.
    Duration latency{}; ///< Time since the request arrived.
};
/// Reports that a client's request has begun to run at a target.
struct RequestBegan
{
    AccountName account;
    Duration age{}; ///< Time since the request was sent to that target.
};
/// Sends the head of a stream to the caller.
struct SendStreamHead
{
    ReplyToken reply{};
    EntryAnswer head;
};
/// Sends one event of a stream to the caller.
struct SendStreamEvent
{
    ReplyToken reply{};
    std::string bytes;
};
/// Ends a stream to the caller.
struct EndStream
{
    ReplyToken reply{};
    bool complete = false; ///< Otherwise the connection is closed abruptly.
};
/// Reports the result of a scoring request.
struct ScoreCompleted
{
    BatchId batch;
    ItemId item;
    enum class Outcome {
        Scored,
        Failed, ///< The scorer ran and failed.
        Unavailable, ///< Whether the scorer ran is unknown; the request should be repeated.
    } outcome = Outcome::Unavailable;
    std::string score;
    std::uint32_t maxFailures = 1; ///< Failures after which the item may be abandoned.
    // For the log.
    std::string requestId;
    std::uint32_t attempts = 0; ///< Attempts that may have run.
    std::optional<TargetId> target; ///< The target that answered or was tried last.
    Duration latency{}; ///< Time since the scoring request was accepted.
};

/// Reports the end of the check of a target that has closed connections, for the log.
struct CrashCheckCompleted
{
    TargetIncarnation target;
    ProbeOutcome outcome = ProbeOutcome::Silent; ///< Of the probe of that target.
    bool hasCrashed = false;
};
/// Reports that a request was running when a target crashed, for the log.
struct CrashRecorded
{
    CrashRecord record;
    CrashJudgement judgement;
};
/// Reports that this node can no longer open connections to targets, or can again.
struct ReachChanged
{
    bool reachesTargets = true;
};
/// Reports that the crash records in the store have changed, for the log.
struct CrashRecordsChanged
{
    std::size_t requests = 0;
    std::size_t records = 0;
};

using EntryAction =
        std::variant<SendAttempt, CancelAttempt, AnswerEntryCall, SendStreamHead, SendStreamEvent,
                     EndStream, ScoreCompleted, RateLimitChanged, RequestPermits, FindStreamOrigin,
                     FindOnlySoftware, StoreStreamOrigins, SweepStreamOrigins, ProbeTargets,
                     CrashCheckCompleted, CrashRecorded, CrashRecordsChanged, StoreCrashRecords,
                     ReachChanged, RequestBegan>;

struct EntrySettings
{
    /// Time without an answer after which a repeatable request is hedged, that is, also sent to
    /// another target. Above the usual latency of plain services, so that few requests run twice.
    Duration hedgeDelay = std::chrono::milliseconds(300);
    std::size_t maxHedges = 256; ///< Attempts beyond one for each request, of all requests.
    /// Delay before a retry after all targets refused, multiplied by the refusals so far.
    Duration refusalBackoff = std::chrono::milliseconds(20);
    Duration retryAfter = std::chrono::milliseconds(100); ///< Sent to clients with a refusal.
    std::uint32_t maxRefusals = 6; ///< Attempts of a request that may end without running.
    Duration defaultTimeout = std::chrono::seconds(10); ///< For clients that send no timeout.
    /// Least time without an event after which a stream is given up; clients do not wait longer.
    Duration minSilenceLimit = std::chrono::milliseconds(2000);
    /// The same as a multiple of the route's latency objective.
    std::int64_t silenceLimitObjectives = 4;
};

/// An attempt in flight.
struct EntryAttempt
{
    TargetId target;
    ReplyToken reply{}; ///< The request's key in `EntryState::requests`.
    bool cancelled = false;
    bool isRelayed = false; ///< Sent through another node.
    bool runsAlone = false; ///< The request is suspected of crashing targets.
    SoftwareVersion software; ///< The target's software.
    std::uint64_t targetStartedAt = 0; ///< As in `FleetTarget`.
    bool hasEvents = false; ///< Events of its stream were sent to the caller.
    Time sentAt{};
    Time lastEventAt{}; ///< Time of the last event of its stream, or when it was sent.
    Duration silenceLimit{}; ///< Time without an event after which its stream is given up.
};

/// A request that has no final answer yet.
struct EntryRequest
{
    std::shared_ptr<const EntryCall> call;
    /// Set for a request of a batch, which has no client.
    std::optional<ScoreRequested> scoreRequest;
    RouteKind kind = RouteKind::AtMostOnce;
    bool repeatable = false;
    bool resumable = false; ///< A stream that may go on at another target.
    std::uint32_t maxAttempts = 1;
    ServiceName service;
    Time deadline{};
    Time receivedAt{};
    /// Until this time an answer meets the route's latency objective.
    Time objectiveAt{};
    std::set<OperationId> openAttempts; ///< Attempts in flight.
    std::set<TargetId> triedTargets; ///< Targets that the request was sent to.
    std::optional<TargetId> lastTarget;
    std::uint32_t attemptCount = 0; ///< Attempts that may have run.
    std::uint32_t refusals = 0; ///< Attempts that did not run.
    bool mayHaveRun = false;
    bool isBeginReported = false; ///< A `RequestBegan` was emitted.
    /// A target's error answer, forwarded if no attempt succeeds.
    std::optional<EntryAnswer> targetFailure;
    std::optional<Time> nextAttemptAt; ///< When a retry or a hedged attempt is due.
    bool awaitsPermit = false; ///< The next attempt waits for a permit of a target.
    /// The next attempt waits for the check whether the last target has crashed.
    std::optional<OperationId> awaitedCheck;
    std::optional<RequestDigest> digest; ///< Set once it was needed.
    /// A request that is suspected of crashing targets waits until then for a target that runs no
    /// other request of this node.
    std::optional<Time> runsAloneUntil;
    bool headSent = false; ///< The head of a stream has been sent to the caller.
    std::uint64_t lastEventId = 0; ///< The last stream event that was sent to the caller.
    SoftwareVersion software; ///< The software that generated the events of the stream.
    Duration minSilenceLimit{}; ///< Of a stream, by its route.
    std::uint32_t silentAttempts = 0; ///< Attempts that were given up for their silence.
};

/// The state of the entry duty.
struct EntryState
{
    EntrySettings settings;
    DirectoryPointer directory;
    std::map<ReplyToken, EntryRequest> requests;
    std::map<OperationId, EntryAttempt> attempts;
    std::map<TargetId, std::uint32_t>
            attemptsPerTarget; ///< This node's attempts in flight at each target.
    std::map<TargetId, std::uint32_t>
            reportedWaiting; ///< Requests queued at each target, as it last reported.
    std::map<TargetId, Duration> eventPauses; ///< Smoothed time between events at each target.
    Permits permits;
    StreamOrigins streamOrigins;
    Time nextSweepAt{}; ///< Of the store's expired origins.
    std::map<TargetId, TargetHealth> health;
    /// This node's attempts in flight whose requests are suspected of crashing targets.
    std::map<TargetId, std::uint32_t> suspectsPerTarget;
    CrashSuspects suspects;
    Reachability reachability;
    AnswerTimes answerTimes;
    /// In a planned stop, when every request must have its final answer.
    std::optional<Time> answersDueAt;
    RandomSource random;
    OperationId nextOperation{1};
    std::uint64_t nextScoreNumber = 0;
};

/// \param seed seeds the random choice of targets and services; differs between nodes.
EntryState makeEntryState(EntrySettings settings, std::uint64_t seed);

/// Handles one event and returns the actions to perform.
/// Invariants: a request that must not be repeated is never in flight at two targets, and is not
/// retried after an attempt that may have run; a request is refused only if no attempt has run; a
/// stream whose head was sent ends with `EndStream`, as complete only after its last event; in a
/// planned stop each request ends by `EntryDraining::answersDueAt`.
/// Complexity: linear in targets.
std::vector<EntryAction> step(EntryState &state, const EntryEvent &event, Time now);

/// \return when the next tick is due, or nothing if nothing is pending.
std::optional<Time> dueAt(const EntryState &state);

/// \return the software of a service whose targets all run the same, or null if they do not, or if
/// they were not read from the store within the last 3 s: others may have joined since.
std::optional<SoftwareVersion> onlySoftwareOf(const Directory &directory,
                                              const ServiceName &service, Time now);

} // namespace geraniumpulley::core
