#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/calls/routing.hpp>
#include <geraniumpulley/core/calls/target_health.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the entry duty: which target answers a client's request, and what is tried when one
/// fails.
namespace geraniumpulley::core {

/// A request as it came, passed on unchanged.
struct EntryCall
{
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string requestId; ///< Of this attempt of the client.
    std::vector<HttpHeader> headers; ///< Without those that concern one connection only.
    std::string body;
    std::optional<Duration> patience; ///< How long the client waits, if it tells.
    std::uint64_t resumeAfter = 0; ///< The last event that the client has of a stream.
};

/// A target's answer, or one of this node's own.
struct EntryAnswer
{
    std::uint32_t status = 0;
    std::vector<HttpHeader> headers = {};
    std::string body = {};
    std::optional<Duration> retryAfter = {}; ///< Told with a refusal.
};

/// What a target says of its load in an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

enum class EntryFailure {
    NotSent, ///< No byte left; the attempt did not run.
    Lost, ///< Bytes left and no whole answer came; it may have run.
};

// Events

struct CallArrived
{
    ReplyToken reply{};
    std::shared_ptr<const EntryCall> call;
};
struct CallerLeft
{
    ReplyToken reply{};
};
struct AttemptAnswered
{
    OperationId operation{};
    EntryAnswer answer;
    bool notExecuted = false; ///< The target states that it did not run the request.
    bool stamped = false; ///< It carries the target's signature.
    std::string stamp;
    bool encoded = false; ///< The body has an encoding, so it is not the target's own.
    std::optional<ReportedLoad> load;
};
/// The head of a stream has come.
struct StreamOpened
{
    OperationId operation{};
    EntryAnswer head;
};
/// One whole event of a stream, with its number.
struct StreamProgressed
{
    OperationId operation{};
    std::uint64_t number = 0;
    std::string bytes;
};
struct StreamEnded
{
    OperationId operation{};
    bool complete = false;
};
struct EntryAttemptFailed
{
    OperationId operation{};
    EntryFailure failure = EntryFailure::Lost;
};
/// A batch asks for the score of a finished item.
struct ScoreAsked
{
    BatchId batch;
    ItemId item;
    ScoringRequest request;
};
struct EntryDirectoryChanged
{
    DirectoryPointer directory;
};
struct EntryTick
{
};

using EntryEvent =
        std::variant<CallArrived, CallerLeft, AttemptAnswered, StreamOpened, StreamProgressed,
                     StreamEnded, EntryAttemptFailed, ScoreAsked, EntryDirectoryChanged, EntryTick>;

// Actions

struct SendAttempt
{
    OperationId operation{};
    Target target;
    std::shared_ptr<const EntryCall> call;
    Time deadline{};
    bool streams = false;
    bool reuse = false; ///< A kept connection may be used: the request may run twice.
    std::uint64_t resumeAfter = 0; ///< The last event that the caller has got.
};
struct CancelAttempt
{
    OperationId operation{};
};
/// Why a request was answered as it was.
enum class EntryVerdict {
    Served, ///< A target's own answer.
    NoRoutingTable,
    NoRoute,
    NoTarget, ///< The service has no target that takes work.
    TargetsFull, ///< Every target that was tried refused it.
    Failed, ///< Attempts failed, and it may have run.
    TimedOut,
};

struct AnswerEntry
{
    ReplyToken reply{};
    EntryAnswer answer;
    EntryVerdict verdict = EntryVerdict::Served;
    std::string requestId;
    std::uint32_t attempts = 0;
    ConfigurationVersion routing{};
    std::optional<TargetId> target; ///< That answered, or was tried last.
    Duration after{}; ///< Since the request arrived.
};
struct StreamHead
{
    ReplyToken reply{};
    EntryAnswer head;
};
struct StreamPiece
{
    ReplyToken reply{};
    std::string bytes;
};
struct StreamTail
{
    ReplyToken reply{};
    bool complete = false; ///< Else the connection is cut.
};
/// What became of a scoring request.
struct ScoreEnded
{
    BatchId batch;
    ItemId item;
    enum class Outcome {
        Scored,
        Failed, ///< The scorer ran and failed.
        Unavailable, ///< Nothing is known of a run; ask again.
    } outcome = Outcome::Unavailable;
    std::string score;
    std::uint32_t failuresAllowed = 1; ///< After so many the item may be given up.
};

using EntryAction = std::variant<SendAttempt, CancelAttempt, AnswerEntry, StreamHead, StreamPiece,
                                 StreamTail, ScoreEnded>;

struct EntrySettings
{
    /// Silence after which a repeatable request is also sent to another target. Above the usual
    /// times of plain services, so that few requests run twice.
    Duration secondTryAfter = std::chrono::milliseconds(300);
    Duration refusalPause = std::chrono::milliseconds(20); ///< Before a refused request goes on.
    Duration retryAfter = std::chrono::milliseconds(100); ///< Told with a refusal.
    std::uint32_t refusalsAllowed = 6; ///< Of targets that did not run the request.
    Duration defaultPatience = std::chrono::seconds(10); ///< Of a client that tells none.
};

struct EntryAttempt
{
    TargetId target;
    Time sentAt{};
    ReplyToken reply{}; ///< The request's key in `requests`.
    bool cancelled = false;
};

struct EntryRequest
{
    std::shared_ptr<const EntryCall> call;
    std::optional<ScoreAsked> score; ///< Set where a batch asked; then nobody waits at the door.
    RouteKind kind = RouteKind::OnceOnly;
    bool mayRepeat = false;
    std::uint32_t maxAttempts = 1;
    ServiceName service;
    Time deadline{};
    Time askedAt{};
    std::set<OperationId> open; ///< Attempts under way.
    std::set<TargetId> tried;
    std::optional<TargetId> lastTarget;
    std::uint32_t attempts = 0; ///< That may have run.
    std::uint32_t refusals = 0;
    bool mayHaveRun = false;
    std::optional<EntryAnswer> failure; ///< A target's own failure, passed on if all else fails.
    std::optional<Time> nextTry;
    bool streaming = false; ///< The head of a stream has been passed on.
    std::uint64_t lastEvent = 0;
};

struct EntryState
{
    EntrySettings settings;
    DirectoryPointer directory;
    std::map<ReplyToken, EntryRequest> requests;
    std::map<OperationId, EntryAttempt> attempts;
    std::map<TargetId, std::uint32_t> load; ///< Attempts of this node at each target.
    std::map<TargetId, std::uint32_t> reported; ///< Waiting requests, as last told.
    std::map<TargetId, TargetHealth> health;
    RandomSource random;
    OperationId nextOperation{1};
    std::uint64_t nextScore = 0;
};

/// \param seed makes the choices of nodes differ.
EntryState makeEntryState(EntrySettings settings, std::uint64_t seed);

/// Takes one event and returns what has to be done about it.
/// Invariants: a request that may not be repeated is never under way at two targets, and is not
/// tried again after an attempt that may have run; a refusal is only given when nothing has run.
/// Complexity: linear in targets.
std::vector<EntryAction> step(EntryState &state, const EntryEvent &event, Time now);

/// \return when the next tick is needed; nothing while no request waits.
std::optional<Time> dueAt(const EntryState &state);

} // namespace geraniumpulley::core
