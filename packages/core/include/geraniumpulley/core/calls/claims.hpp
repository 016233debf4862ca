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

/// At most once: the claim that is stored before a call is sent, and the answer kept beside it.
///
/// A claim belongs to the shard of its identity. The holder of the shard's lease stores claims in
/// groups, sends a call only after its claim is committed, and never sends for a claim that
/// somebody else stored.
namespace geraniumpulley::core {

/// A stored statement that one node, and no other, may send a request.
struct ClaimRecord
{
    std::string identity;
    std::uint64_t digest = 0;
    WallTime expiresAt{}; ///< From then on the key counts as expired and the record is deleted.

    auto operator<=>(const ClaimRecord &) const = default;
};

/// The stored answer of a claimed request.
struct AnswerRecord
{
    std::string identity;
    CallAnswer answer;

    auto operator<=>(const AnswerRecord &) const = default;
};

/// One table row: a group of claims and answers that were committed together.
struct ClaimRow
{
    std::string key;
    std::string writeId; ///< Unique; tells a commit whose answer was lost from another's row.
    std::vector<ClaimRecord> claims;
    std::vector<AnswerRecord> answers;
    WallTime expiresAt{}; ///< When every record in it has expired.

    auto operator<=>(const ClaimRow &) const = default;
};

// Actions

/// Writes `row` and deletes `expiredRows` in one transaction, conditional on the fence.
struct CommitClaims
{
    OperationId operation{};
    Shard shard;
    FencingNumber fence{};
    ClaimRow row;
    std::vector<std::string> expiredRows;
};
/// Reads one row by its key, after a commit was refused.
struct ReadClaimRow
{
    OperationId operation{};
    std::string key;
};
/// Reads all rows of a shard.
struct LoadClaims
{
    OperationId operation{};
    Shard shard;
};
/// The claim is committed: the call may be sent, once.
struct RunClaimed
{
    std::string identity;
    Shard shard;
    Call call;
    Time deadline{};
};
/// The shard has another holder: the attempt starts over from routing.
struct RouteAgain
{
    CallAttempt attempt;
};
/// Answers one attempt.
struct AnswerAttempt
{
    CallAttempt attempt;
    CallAnswer answer;
};

using ClaimAction =
        std::variant<CommitClaims, ReadClaimRow, LoadClaims, RunClaimed, RouteAgain, AnswerAttempt>;
using ClaimActions = std::vector<ClaimAction>;

// State

enum class ClaimPhase {
    Queued, ///< Waits for the next commit.
    Committing, ///< Part of the commit under way.
    Idle, ///< Committed by this process and not sent; only this process may send it.
    Running, ///< Sent.
    Answered, ///< Ran, and its answer is kept.
    Lost, ///< May have run; never sent again.
};

struct Claim
{
    ClaimRecord record;
    ClaimPhase phase = ClaimPhase::Queued;
    std::vector<CallAttempt> waiting; ///< Attempts of the request; the first one's call is sent.
    CallAnswer answer;
};

struct ClaimCommit
{
    CommitClaims order;
    Time startedAt{}; ///< Of the first submission.
    Time lastTriedAt{};
    bool underWay = true; ///< Submitted and not answered; else it is due again.
    bool refused = false; ///< The fence has moved; the row is read back.
};

struct ClaimShard
{
    std::optional<FencingNumber> fence; ///< Of the claims in memory.
    bool loaded = false;
    std::optional<OperationId> loading;
    FencingNumber loadingFence{};
    std::optional<Time> loadTriedAt; ///< Of a load that failed.
    std::optional<OperationId> committing;
    std::set<std::string> waited; ///< Identities of claims that attempts wait for.
    std::map<std::string, Claim> claims; ///< By identity.
    std::vector<std::string> queuedClaims;
    std::vector<std::string> queuedAnswers;
    Time answersQueuedAt{}; ///< When the oldest queued answer came.
    std::vector<CallAttempt> awaitingLoad;
    std::map<std::string, WallTime> rows; ///< Stored rows and when they expire.
    std::optional<Time> lastCommitAt;
    std::optional<Time> lastPurgeAt;
    bool hasExpiredRows = false; ///< As of the last purge.
};

struct ClaimSettings
{
    Duration commitInterval = std::chrono::milliseconds(80); ///< Between commits of one shard.
    Duration answerDelay = std::chrono::milliseconds(100); ///< An answer waits for a group.
    Duration retryDelay = std::chrono::milliseconds(250); ///< Before an unanswered commit again.
    Duration storeGrace = std::chrono::seconds(1); ///< An older commit means the store is down.
    Duration purgePeriod = std::chrono::seconds(1);
    Duration clockMargin = std::chrono::seconds(30); ///< Clocks of VMs and clients differ less.
    std::size_t maxBatch = 64; ///< Claims in one row; also answers in one row.
    std::size_t maxQueued = 4096; ///< Claims of one shard that wait for a commit or a load.
    std::size_t maxWaiting = 16; ///< Attempts that wait for one request.
    std::size_t maxKeptAnswerBytes = 16 * 1024;
};

struct ClaimState
{
    ClaimSettings settings;
    LeaseTablePointer leases;
    std::string writerId; ///< Unique to this process; begins every write id.
    std::uint64_t nextWrite = 1;
    WallTime wallNow{}; ///< Of the last tick.
    std::map<Shard, ClaimShard> shards;
    std::map<OperationId, ClaimCommit> commits; ///< At most one for each shard and fence.
};

/// \return the shard of a key's claim.
Shard claimShardOf(const ClaimKey &key);

/// Takes an attempt whose shard this node holds.
/// Complexity: logarithmic in claims.
void admit(ClaimState &state, const ClaimKey &key, CallAttempt attempt, OperationId &nextOperation,
           Time now, ClaimActions &actions);

/// \return the final answer in memory of a request, whoever holds its shard now, or null.
const CallAnswer *keptAnswer(const ClaimState &state, const ClaimKey &key);

/// The leases changed: loads the shards that this node has come to hold.
void takeLeases(ClaimState &state, const LeaseTablePointer &leases, OperationId &nextOperation,
                Time now, ClaimActions &actions);

void commitSucceeded(ClaimState &state, OperationId operation, OperationId &nextOperation, Time now,
                     ClaimActions &actions);
/// The fence has moved, before this commit or between two submissions of it.
void commitRefused(ClaimState &state, OperationId operation, Time now, ClaimActions &actions);
/// Nobody can tell whether the commit, or the reading back of its row, took effect.
void commitUncertain(ClaimState &state, OperationId operation);
/// The row of a refused commit was read; `row` is null when it does not exist.
void rowReadBack(ClaimState &state, OperationId operation, const ClaimRow *row,
                 OperationId &nextOperation, Time now, ClaimActions &actions);

void shardLoaded(ClaimState &state, const Shard &shard, OperationId operation,
                 const std::vector<ClaimRow> &rows, OperationId &nextOperation, Time now,
                 ClaimActions &actions);
void shardLoadFailed(ClaimState &state, const Shard &shard, OperationId operation, Time now);

/// The call of a claim ran and brought this whole answer.
void claimAnswered(ClaimState &state, const Shard &shard, const std::string &identity,
                   const CallAnswer &answer, Time now, ClaimActions &actions);
/// The call of a claim provably did not run.
void claimNotRun(ClaimState &state, const Shard &shard, const std::string &identity, Reason reason,
                 ClaimActions &actions);
/// Nobody can tell whether the call of a claim ran.
void claimLost(ClaimState &state, const Shard &shard, const std::string &identity, Reason reason,
               ClaimActions &actions);

/// \return whether nothing waits, runs or has to be stored.
bool isIdle(const ClaimState &state);

/// Answers attempts past their deadline, starts commits and loads that are due, drops what has
/// expired. Complexity: linear in claims that wait, and once each purge period in all claims.
void tickClaims(ClaimState &state, WallTime wallNow, OperationId &nextOperation, Time now,
                ClaimActions &actions);

} // namespace geraniumpulley::core
