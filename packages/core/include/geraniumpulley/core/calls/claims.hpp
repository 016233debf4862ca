#pragma once

#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/calls/claim_key.hpp>
#include <geraniumpulley/core/control/lease.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// At-most-once execution: a claim is stored before a call is sent, and the call's answer is stored
/// with it.
///
/// A claim belongs to the shard that its identity hashes to. The holder of the shard's lease
/// commits claims in groups, sends a call only after its claim is committed, and never sends a call
/// whose claim was stored by another process.
namespace geraniumpulley::core {

/// A stored record that gives one process the exclusive right to send a request.
struct ClaimRecord
{
    std::string identity;
    std::uint64_t digest = 0;
    WallTime expiresAt{}; ///< When the record may be deleted; the key has expired by then.

    auto operator<=>(const ClaimRecord &) const = default;
};

/// The stored answer of a claimed request.
struct AnswerRecord
{
    std::string identity;
    CallAnswer answer;

    auto operator<=>(const AnswerRecord &) const = default;
};

/// One table row: claims and answers that were committed together.
struct ClaimRow
{
    std::string key;
    std::string writeId; ///< Unique; shows whether a commit whose reply was lost took effect.
    std::vector<ClaimRecord> claims;
    std::vector<AnswerRecord> answers;
    WallTime expiresAt{}; ///< When all records of the row have expired.

    auto operator<=>(const ClaimRow &) const = default;
};

// Actions

/// Writes `row` and deletes `expiredRows` in one transaction that is conditional on the fence.
struct CommitClaims
{
    OperationId operation{};
    Shard shard;
    FencingToken fence{};
    ClaimRow row;
    std::vector<std::string> expiredRows;
};
/// Reads one row by its key after a commit was refused.
struct ReadClaimRow
{
    OperationId operation{};
    std::string key;
};
/// Reads all claim rows of a shard.
struct LoadClaims
{
    OperationId operation{};
    Shard shard;
};
/// Sends a call whose claim is committed. Issued again only if the call provably did not run.
struct SendClaimedCall
{
    std::string identity;
    Shard shard;
    Call call;
    Time deadline{};
};
/// Routes an attempt again, because its shard may have another holder.
struct RerouteAttempt
{
    CallAttempt attempt;
};
/// Answers one attempt.
struct AnswerAttempt
{
    CallAttempt attempt;
    CallAnswer answer;
};

using ClaimAction = std::variant<CommitClaims, ReadClaimRow, LoadClaims, SendClaimedCall,
                                 RerouteAttempt, AnswerAttempt>;
using ClaimActions = std::vector<ClaimAction>;

// State

/// The progress of a claim and its call.
enum class ClaimPhase {
    Queued, ///< The claim waits for the next commit.
    Committing, ///< The claim is part of the commit in flight.
    Committed, ///< Committed by this process, call not sent; only this process may send it.
    Running, ///< The call has been sent.
    Answered, ///< The call ran, and its answer is kept.
    OutcomeUnknown, ///< The call may have run and is never sent again.
};

/// A claim in memory.
struct Claim
{
    ClaimRecord record;
    ClaimPhase phase = ClaimPhase::Queued;
    std::vector<CallAttempt> waitingAttempts; ///< Attempts of the request that wait for its answer.
    CallAnswer answer;
};

/// A commit that the store has not conclusively answered.
struct ClaimCommit
{
    CommitClaims transaction;
    Time startedAt{}; ///< When the commit was first submitted.
    Time lastSubmittedAt{}; ///< When the commit or the read of its row was last submitted.
    bool inFlight = true; ///< Whether a submission is unanswered; otherwise a retry is due.
    bool refused = false; ///< The fence did not match; the row is read to learn the outcome.
};

/// The claims of one shard in this process.
struct ClaimShard
{
    std::optional<FencingToken> fence; ///< The fence under which the claims were loaded.
    bool loaded = false; ///< Whether the stored rows of `fence` are in memory.
    std::optional<OperationId> loadOperation; ///< The load in flight.
    FencingToken loadFence{}; ///< The fence of the load in flight.
    std::optional<Time> lastLoadAttemptAt; ///< Start or failure of the last load without success.
    std::optional<OperationId> commitOperation; ///< The commit in `ClaimState::commits`.
    std::set<std::string> awaitedClaims; ///< Identities of claims with waiting attempts.
    std::map<std::string, Claim> claims; ///< By identity.
    std::vector<std::string> queuedClaims; ///< Identities of claims to commit, oldest first.
    std::vector<std::string> queuedAnswers; ///< Identities of answers to commit, oldest first.
    Time oldestAnswerQueuedAt{}; ///< When `queuedAnswers` last became non-empty.
    /// Attempts received before the shard was loaded.
    std::vector<CallAttempt> attemptsAwaitingLoad;
    /// Expiry times of the stored rows, by row key.
    std::map<std::string, WallTime> rowExpirations;
    std::optional<Time> lastCommitAt;
    std::optional<Time> lastPurgeAt;
    bool hasExpiredRows = false; ///< Whether the last purge found rows to delete.
};

struct ClaimSettings
{
    Duration commitInterval = std::chrono::milliseconds(80); ///< Minimum between a shard's commits.
    Duration answerDelay = std::chrono::milliseconds(100); ///< Lets answers share one commit.
    Duration retryDelay = std::chrono::milliseconds(250); ///< Before a retry of a store access.
    Duration commitTimeout = std::chrono::seconds(1); ///< An older commit means the store is down.
    Duration purgePeriod = std::chrono::seconds(1); ///< Between removals of expired claims.
    Duration maxClockSkew = std::chrono::seconds(30); ///< Largest skew of VM and client clocks.
    std::size_t maxRecordsPerRow = 64; ///< Limit of claims, and also of answers, in one row.
    std::size_t maxQueued = 4096; ///< Claims, or attempts awaiting a load, of one shard.
    std::size_t maxWaitingAttempts = 16; ///< Attempts that may wait for one request.
    std::size_t maxKeptAnswerBytes = 16 * 1024; ///< Larger answer bodies are not kept.
};

/// The claims of one process.
struct ClaimState
{
    ClaimSettings settings;
    LeaseTablePointer leases;
    std::string writerId; ///< Unique to this process; the prefix of every write id.
    std::uint64_t nextWriteNumber = 1;
    WallTime wallNow{}; ///< Wall-clock time of the last tick.
    std::map<Shard, ClaimShard> shards;
    std::map<OperationId, ClaimCommit> commits; ///< At most one per shard.
};

/// \return the shard that a key's claim belongs to.
Shard claimShardOf(const ClaimKey &key);

/// Handles an attempt whose shard this node holds: claims the request, or lets the attempt wait for
/// an earlier one.
/// Complexity: logarithmic in claims.
void admit(ClaimState &state, const ClaimKey &key, CallAttempt attempt, OperationId &nextOperation,
           Time now, ClaimActions &actions);

/// \return the final answer of a request if it is in memory, regardless of the shard's current
/// holder; otherwise null.
const CallAnswer *keptAnswer(const ClaimState &state, const ClaimKey &key);

/// Handles a change of the leases: loads the shards that this node now holds, and reroutes the
/// attempts of those that it lost.
void onLeasesChanged(ClaimState &state, const LeaseTablePointer &leases, OperationId &nextOperation,
                     Time now, ClaimActions &actions);

/// Handles a successful commit: sends the calls of its claims.
void onClaimsCommitted(ClaimState &state, OperationId operation, OperationId &nextOperation,
                       Time now, ClaimActions &actions);
/// Handles a fence mismatch: the fence changed before the commit or between two submissions of it.
void onClaimsCommitRefused(ClaimState &state, OperationId operation, Time now,
                           ClaimActions &actions);
/// Handles an unknown commit outcome, or a failed read of the commit's row.
void onClaimsCommitUncertain(ClaimState &state, OperationId operation);
/// Handles the row of a refused commit; `row` is null if it does not exist.
void onClaimRowRead(ClaimState &state, OperationId operation, const ClaimRow *row,
                    OperationId &nextOperation, Time now, ClaimActions &actions);

/// Handles the rows of a loaded shard.
void onClaimsLoaded(ClaimState &state, const Shard &shard, OperationId operation,
                    const std::vector<ClaimRow> &rows, OperationId &nextOperation, Time now,
                    ClaimActions &actions);
void onClaimsLoadFailed(ClaimState &state, const Shard &shard, OperationId operation, Time now);

/// Handles the complete answer of a claim's call.
void onClaimAnswered(ClaimState &state, const Shard &shard, const std::string &identity,
                     const CallAnswer &answer, Time now, ClaimActions &actions);
/// Handles a claim's call that provably did not run.
void onClaimNotRun(ClaimState &state, const Shard &shard, const std::string &identity,
                   Reason reason, ClaimActions &actions);
/// Handles a claim's call that may have run.
void onClaimOutcomeUnknown(ClaimState &state, const Shard &shard, const std::string &identity,
                           Reason reason, ClaimActions &actions);

/// \return whether no attempt waits and nothing remains that this node can store.
bool isIdle(const ClaimState &state);

/// Answers attempts past their deadline, starts due commits and loads, and removes expired claims.
/// Complexity: linear in awaited claims, and once per purge period linear in all claims.
void tickClaims(ClaimState &state, WallTime wallNow, OperationId &nextOperation, Time now,
                ClaimActions &actions);

} // namespace geraniumpulley::core
