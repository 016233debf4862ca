#include <geraniumpulley/core/calls/claims.hpp>

#include "claim_detail.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using detail::ClaimContext;

OperationId allocateOperation(const ClaimContext &context)
{
    const OperationId operation = context.nextOperation;
    context.nextOperation = next(operation);
    return operation;
}

// The write id makes the key unique, so that no process overwrites another's row.
std::string rowKey(const Shard &shard, FencingToken fence, const std::string &writeId)
{
    const auto padded = [](std::uint64_t number) {
        constexpr std::size_t width = 12;
        const std::string digits = std::to_string(number);
        return std::string(width - std::min(width, digits.size()), '0') + digits;
    };
    return "claims/" + std::to_string(shard.index) + "/" + padded(number(fence)) + "-" + writeId;
}

void moveQueuedClaims(ClaimShard &shard, std::size_t limit, ClaimRow &row)
{
    const std::size_t count = std::min(limit, shard.queuedClaims.size());
    for (std::size_t i = 0; i < count; ++i) {
        Claim &claim = shard.claims.at(shard.queuedClaims[i]);
        claim.phase = ClaimPhase::Committing;
        row.claims.push_back(claim.record);
        row.expiresAt = std::max(row.expiresAt, claim.record.expiresAt);
    }
    shard.queuedClaims.erase(shard.queuedClaims.begin(),
                             shard.queuedClaims.begin() + static_cast<std::ptrdiff_t>(count));
}

void moveQueuedAnswers(ClaimShard &shard, std::size_t limit, ClaimRow &row)
{
    const std::size_t count = std::min(limit, shard.queuedAnswers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto position = shard.claims.find(shard.queuedAnswers[i]);
        if (position == shard.claims.end())
            continue;
        row.answers.push_back({position->first, position->second.answer});
        row.expiresAt = std::max(row.expiresAt, position->second.record.expiresAt);
    }
    shard.queuedAnswers.erase(shard.queuedAnswers.begin(),
                              shard.queuedAnswers.begin() + static_cast<std::ptrdiff_t>(count));
}

std::vector<std::string> expiredRows(const ClaimState &state, const ClaimShard &shard)
{
    std::vector<std::string> expired;
    for (const auto &[key, expiresAt] : shard.rowExpirations) {
        if (expiresAt < state.wallNow && expired.size() < state.settings.maxRecordsPerRow)
            expired.push_back(key);
    }
    return expired;
}

bool isCommitDue(const ClaimState &state, const ClaimShard &shard, Time now)
{
    if (shard.queuedClaims.size() >= state.settings.maxRecordsPerRow)
        return true;
    if (shard.lastCommitAt && now - *shard.lastCommitAt < state.settings.commitInterval)
        return false;
    const bool answersDue = !shard.queuedAnswers.empty()
                            && now - shard.oldestAnswerQueuedAt >= state.settings.answerDelay;
    if (!shard.queuedClaims.empty() || answersDue)
        return true;
    return shard.hasExpiredRows;
}

void submit(const ClaimContext &context, ClaimCommit &commit)
{
    commit.inFlight = true;
    commit.lastSubmittedAt = context.now;
    if (commit.refused)
        context.actions.emplace_back(
                ReadClaimRow{commit.transaction.operation, commit.transaction.row.key});
    else
        context.actions.emplace_back(commit.transaction);
}

// The commit took effect: only this process may send the calls that it claimed, even if another
// node holds the shard by now.
void applyCommit(const ClaimContext &context, const ClaimCommit &commit)
{
    const Shard &id = commit.transaction.shard;
    ClaimShard &shard = context.state.shards.at(id);
    const ClaimRow &row = commit.transaction.row;
    if (!row.claims.empty() || !row.answers.empty())
        shard.rowExpirations[row.key] = row.expiresAt;
    for (const std::string &key : commit.transaction.expiredRows)
        shard.rowExpirations.erase(key);
    for (const ClaimRecord &record : commit.transaction.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position != shard.claims.end() && position->second.phase == ClaimPhase::Committing)
            detail::sendClaimedCall(context, id, position->second);
    }
}

// The commit did not and will not take effect. Another holder may have claimed the same requests
// since, so the shard's rows are loaded again before any of the requests is handled.
void discardCommit(const ClaimContext &context, const ClaimCommit &commit)
{
    ClaimShard &shard = context.state.shards.at(commit.transaction.shard);
    for (const ClaimRecord &record : commit.transaction.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position == shard.claims.end() || position->second.phase != ClaimPhase::Committing)
            continue;
        for (CallAttempt &attempt : position->second.waitingAttempts)
            context.actions.emplace_back(RerouteAttempt{std::move(attempt)});
        shard.awaitedClaims.erase(record.identity);
        shard.claims.erase(position);
    }
    shard.loaded = false;
    shard.loadOperation.reset();
}

ClaimCommit extractCommit(ClaimState &state, OperationId operation)
{
    const auto position = state.commits.find(operation);
    ClaimCommit commit = std::move(position->second);
    state.commits.erase(position);
    state.shards.at(commit.transaction.shard).commitOperation.reset();
    return commit;
}

void rerouteQueuedAttempts(const ClaimContext &context, ClaimShard &shard)
{
    for (const std::string &identity : shard.queuedClaims) {
        const auto position = shard.claims.find(identity);
        for (CallAttempt &attempt : position->second.waitingAttempts)
            context.actions.emplace_back(RerouteAttempt{std::move(attempt)});
        shard.awaitedClaims.erase(identity);
        shard.claims.erase(position);
    }
    shard.queuedClaims.clear();
    for (CallAttempt &attempt : shard.attemptsAwaitingLoad)
        context.actions.emplace_back(RerouteAttempt{std::move(attempt)});
    shard.attemptsAwaitingLoad.clear();
}

void mergeStoredRows(const ClaimState &state, ClaimShard &shard, const std::vector<ClaimRow> &rows)
{
    for (const ClaimRow &row : rows) {
        shard.rowExpirations[row.key] = row.expiresAt;
        for (const ClaimRecord &record : row.claims) {
            // A claim that is already in memory is newer than the row.
            if (record.expiresAt >= state.wallNow)
                shard.claims.try_emplace(record.identity,
                                         Claim{record, ClaimPhase::OutcomeUnknown, {}, {}});
        }
    }
    for (const ClaimRow &row : rows) {
        for (const AnswerRecord &record : row.answers) {
            const auto position = shard.claims.find(record.identity);
            if (position == shard.claims.end()
                || position->second.phase != ClaimPhase::OutcomeUnknown)
                continue;
            position->second.phase = ClaimPhase::Answered;
            position->second.answer = record.answer;
        }
    }
}

} // namespace

namespace detail {

void startLoad(const ClaimContext &context, const Shard &id)
{
    ClaimShard &shard = context.state.shards[id];
    const auto fence = ownFence(context.state, id);
    const bool isTooSoon =
            shard.lastLoadAttemptAt
            && context.now - *shard.lastLoadAttemptAt < context.state.settings.retryDelay;
    // A commit in flight may still add a row that the load would miss.
    if (!fence || shard.loadOperation || shard.commitOperation || isTooSoon)
        return;
    shard.loadOperation = allocateOperation(context);
    shard.loadFence = *fence;
    shard.lastLoadAttemptAt = context.now;
    context.actions.emplace_back(LoadClaims{*shard.loadOperation, id});
}

void startCommit(const ClaimContext &context, const Shard &id)
{
    ClaimShard &shard = context.state.shards.at(id);
    if (shard.commitOperation) {
        ClaimCommit &commit = context.state.commits.at(*shard.commitOperation);
        if (!commit.inFlight
            && context.now - commit.lastSubmittedAt >= context.state.settings.retryDelay)
            submit(context, commit);
        return;
    }
    if (!shard.loaded || shard.fence != ownFence(context.state, id)
        || !isCommitDue(context.state, shard, context.now))
        return;
    ClaimCommit commit;
    CommitClaims &transaction = commit.transaction;
    transaction.operation = allocateOperation(context);
    transaction.shard = id;
    transaction.fence = *shard.fence;
    const std::uint64_t write = context.state.nextWriteNumber++;
    transaction.row.writeId = context.state.writerId + "-" + std::to_string(write);
    transaction.row.key = rowKey(id, transaction.fence, transaction.row.writeId);
    moveQueuedClaims(shard, context.state.settings.maxRecordsPerRow, transaction.row);
    moveQueuedAnswers(shard, context.state.settings.maxRecordsPerRow, transaction.row);
    if (shard.hasExpiredRows)
        transaction.expiredRows = expiredRows(context.state, shard);
    shard.hasExpiredRows = false;
    commit.startedAt = context.now;
    shard.lastCommitAt = context.now;
    shard.commitOperation = transaction.operation;
    submit(context,
           context.state.commits.emplace(transaction.operation, std::move(commit)).first->second);
}

} // namespace detail

void onLeasesChanged(ClaimState &state, const LeaseTablePointer &leases, OperationId &nextOperation,
                     Time now, ClaimActions &actions)
{
    state.leases = leases;
    const ClaimContext context{state, nextOperation, now, actions};
    for (const auto &[id, lease] : leases->leases) {
        if (id.kind == ShardKind::Claims && lease.holder == leases->self)
            state.shards.try_emplace(id);
    }
    for (auto &[id, shard] : state.shards) {
        const auto fence = detail::ownFence(state, id);
        if (fence && shard.loaded && shard.fence == fence)
            continue;
        shard.loaded = false;
        rerouteQueuedAttempts(context, shard);
        if (shard.loadOperation && shard.loadFence != fence)
            shard.loadOperation.reset();
        detail::startLoad(context, id);
    }
}

void onClaimsCommitted(ClaimState &state, OperationId operation, OperationId &nextOperation,
                       Time now, ClaimActions &actions)
{
    if (!state.commits.contains(operation))
        return;
    const ClaimContext context{state, nextOperation, now, actions};
    const ClaimCommit commit = extractCommit(state, operation);
    applyCommit(context, commit);
    detail::startCommit(context, commit.transaction.shard);
    if (!state.shards.at(commit.transaction.shard).loaded)
        detail::startLoad(context, commit.transaction.shard);
}

void onClaimsCommitRefused(ClaimState &state, OperationId operation, Time now,
                           ClaimActions &actions)
{
    const auto position = state.commits.find(operation);
    if (position == state.commits.end())
        return;
    OperationId unused{};
    position->second.refused = true;
    submit(ClaimContext{state, unused, now, actions}, position->second);
}

void onClaimsCommitUncertain(ClaimState &state, OperationId operation)
{
    const auto position = state.commits.find(operation);
    if (position != state.commits.end())
        position->second.inFlight = false;
}

void onClaimRowRead(ClaimState &state, OperationId operation, const ClaimRow *row,
                    OperationId &nextOperation, Time now, ClaimActions &actions)
{
    if (!state.commits.contains(operation))
        return;
    const ClaimContext context{state, nextOperation, now, actions};
    const ClaimCommit commit = extractCommit(state, operation);
    if (row != nullptr && row->writeId == commit.transaction.row.writeId)
        applyCommit(context, commit);
    else
        discardCommit(context, commit);
    if (!state.shards.at(commit.transaction.shard).loaded)
        detail::startLoad(context, commit.transaction.shard);
}

void onClaimsLoaded(ClaimState &state, const Shard &id, OperationId operation,
                    const std::vector<ClaimRow> &rows, OperationId &nextOperation, Time now,
                    ClaimActions &actions)
{
    ClaimShard &shard = state.shards[id];
    if (shard.loadOperation != operation)
        return;
    const ClaimContext context{state, nextOperation, now, actions};
    shard.loadOperation.reset();
    shard.lastLoadAttemptAt.reset();
    if (detail::ownFence(state, id) != shard.loadFence)
        return detail::startLoad(context, id);
    shard.rowExpirations.clear();
    mergeStoredRows(state, shard, rows);
    shard.fence = shard.loadFence;
    shard.loaded = true;
    rerouteQueuedAttempts(context, shard);
}

void onClaimsLoadFailed(ClaimState &state, const Shard &id, OperationId operation, Time now)
{
    ClaimShard &shard = state.shards[id];
    if (shard.loadOperation != operation)
        return;
    shard.loadOperation.reset();
    shard.lastLoadAttemptAt = now;
}

} // namespace geraniumpulley::core
