#include <geraniumpulley/core/calls/claims.hpp>

#include "claim_detail.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using detail::ClaimStep;

OperationId allocateOperation(const ClaimStep &context)
{
    const OperationId operation = context.nextOperation;
    context.nextOperation = next(operation);
    return operation;
}

// The write id makes the key unique, so that no process overwrites another's row.
std::string rowKey(const Shard &shard, FencingNumber fence, const std::string &writeId)
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
    for (const auto &[key, expiresAt] : shard.rows) {
        if (expiresAt < state.wallNow && expired.size() < state.settings.maxBatch)
            expired.push_back(key);
    }
    return expired;
}

bool isCommitDue(const ClaimState &state, const ClaimShard &shard, Time now)
{
    if (shard.queuedClaims.size() >= state.settings.maxBatch)
        return true;
    if (shard.lastCommitAt && now - *shard.lastCommitAt < state.settings.commitInterval)
        return false;
    const bool answersDue = !shard.queuedAnswers.empty()
                            && now - shard.answersQueuedAt >= state.settings.answerDelay;
    if (!shard.queuedClaims.empty() || answersDue)
        return true;
    return shard.hasExpiredRows;
}

void submit(const ClaimStep &context, ClaimCommit &commit)
{
    commit.underWay = true;
    commit.lastTriedAt = context.now;
    if (commit.refused)
        context.actions.emplace_back(ReadClaimRow{commit.order.operation, commit.order.row.key});
    else
        context.actions.emplace_back(commit.order);
}

// The commit took effect: only this process may send the calls that it claimed, even if another
// node holds the shard by now.
void applyCommit(const ClaimStep &context, const ClaimCommit &commit)
{
    const Shard &id = commit.order.shard;
    ClaimShard &shard = context.state.shards.at(id);
    const ClaimRow &row = commit.order.row;
    if (!row.claims.empty() || !row.answers.empty())
        shard.rows[row.key] = row.expiresAt;
    for (const std::string &key : commit.order.expiredRows)
        shard.rows.erase(key);
    for (const ClaimRecord &record : commit.order.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position != shard.claims.end() && position->second.phase == ClaimPhase::Committing)
            detail::runClaim(context, id, position->second);
    }
}

// The commit did not and will not take effect. Another holder may have claimed the same requests
// since, so the shard's rows are loaded again before any of the requests is handled.
void discardCommit(const ClaimStep &context, const ClaimCommit &commit)
{
    ClaimShard &shard = context.state.shards.at(commit.order.shard);
    for (const ClaimRecord &record : commit.order.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position == shard.claims.end() || position->second.phase != ClaimPhase::Committing)
            continue;
        for (CallAttempt &attempt : position->second.waiting)
            context.actions.emplace_back(RouteAgain{std::move(attempt)});
        shard.waited.erase(record.identity);
        shard.claims.erase(position);
    }
    shard.loaded = false;
    shard.loading.reset();
}

ClaimCommit extractCommit(ClaimState &state, OperationId operation)
{
    const auto position = state.commits.find(operation);
    ClaimCommit commit = std::move(position->second);
    state.commits.erase(position);
    state.shards.at(commit.order.shard).committing.reset();
    return commit;
}

void rerouteQueuedAttempts(const ClaimStep &context, ClaimShard &shard)
{
    for (const std::string &identity : shard.queuedClaims) {
        const auto position = shard.claims.find(identity);
        for (CallAttempt &attempt : position->second.waiting)
            context.actions.emplace_back(RouteAgain{std::move(attempt)});
        shard.waited.erase(identity);
        shard.claims.erase(position);
    }
    shard.queuedClaims.clear();
    for (CallAttempt &attempt : shard.awaitingLoad)
        context.actions.emplace_back(RouteAgain{std::move(attempt)});
    shard.awaitingLoad.clear();
}

void mergeStoredRows(const ClaimState &state, ClaimShard &shard, const std::vector<ClaimRow> &rows)
{
    for (const ClaimRow &row : rows) {
        shard.rows[row.key] = row.expiresAt;
        for (const ClaimRecord &record : row.claims) {
            // A claim that is already in memory is newer than the row.
            if (record.expiresAt >= state.wallNow)
                shard.claims.try_emplace(record.identity, Claim{record, ClaimPhase::Lost, {}, {}});
        }
    }
    for (const ClaimRow &row : rows) {
        for (const AnswerRecord &record : row.answers) {
            const auto position = shard.claims.find(record.identity);
            if (position == shard.claims.end() || position->second.phase != ClaimPhase::Lost)
                continue;
            position->second.phase = ClaimPhase::Answered;
            position->second.answer = record.answer;
        }
    }
}

} // namespace

namespace detail {

void startLoad(const ClaimStep &context, const Shard &id)
{
    ClaimShard &shard = context.state.shards[id];
    const auto fence = ownFence(context.state, id);
    const bool isTooSoon = shard.loadTriedAt
                           && context.now - *shard.loadTriedAt < context.state.settings.retryDelay;
    // A commit in flight may still add a row that the load would miss.
    if (!fence || shard.loading || shard.committing || isTooSoon)
        return;
    shard.loading = allocateOperation(context);
    shard.loadingFence = *fence;
    shard.loadTriedAt = context.now;
    context.actions.emplace_back(LoadClaims{*shard.loading, id});
}

void startCommit(const ClaimStep &context, const Shard &id)
{
    ClaimShard &shard = context.state.shards.at(id);
    if (shard.committing) {
        ClaimCommit &commit = context.state.commits.at(*shard.committing);
        if (!commit.underWay
            && context.now - commit.lastTriedAt >= context.state.settings.retryDelay)
            submit(context, commit);
        return;
    }
    if (!shard.loaded || shard.fence != ownFence(context.state, id)
        || !isCommitDue(context.state, shard, context.now))
        return;
    ClaimCommit commit;
    CommitClaims &transaction = commit.order;
    transaction.operation = allocateOperation(context);
    transaction.shard = id;
    transaction.fence = *shard.fence;
    const std::uint64_t write = context.state.nextWrite++;
    transaction.row.writeId = context.state.writerId + "-" + std::to_string(write);
    transaction.row.key = rowKey(id, transaction.fence, transaction.row.writeId);
    moveQueuedClaims(shard, context.state.settings.maxBatch, transaction.row);
    moveQueuedAnswers(shard, context.state.settings.maxBatch, transaction.row);
    if (shard.hasExpiredRows)
        transaction.expiredRows = expiredRows(context.state, shard);
    shard.hasExpiredRows = false;
    commit.startedAt = context.now;
    shard.lastCommitAt = context.now;
    shard.committing = transaction.operation;
    submit(context,
           context.state.commits.emplace(transaction.operation, std::move(commit)).first->second);
}

} // namespace detail

void takeLeases(ClaimState &state, const LeaseTablePointer &leases, OperationId &nextOperation,
                Time now, ClaimActions &actions)
{
    state.leases = leases;
    const ClaimStep context{state, nextOperation, now, actions};
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
        if (shard.loading && shard.loadingFence != fence)
            shard.loading.reset();
        detail::startLoad(context, id);
    }
}

void commitSucceeded(ClaimState &state, OperationId operation, OperationId &nextOperation, Time now,
                     ClaimActions &actions)
{
    if (!state.commits.contains(operation))
        return;
    const ClaimStep context{state, nextOperation, now, actions};
    const ClaimCommit commit = extractCommit(state, operation);
    applyCommit(context, commit);
    detail::startCommit(context, commit.order.shard);
    if (!state.shards.at(commit.order.shard).loaded)
        detail::startLoad(context, commit.order.shard);
}

void commitRefused(ClaimState &state, OperationId operation, Time now, ClaimActions &actions)
{
    const auto position = state.commits.find(operation);
    if (position == state.commits.end())
        return;
    OperationId unused{};
    position->second.refused = true;
    submit(ClaimStep{state, unused, now, actions}, position->second);
}

void commitUncertain(ClaimState &state, OperationId operation)
{
    const auto position = state.commits.find(operation);
    if (position != state.commits.end())
        position->second.underWay = false;
}

void rowReadBack(ClaimState &state, OperationId operation, const ClaimRow *row,
                 OperationId &nextOperation, Time now, ClaimActions &actions)
{
    if (!state.commits.contains(operation))
        return;
    const ClaimStep context{state, nextOperation, now, actions};
    const ClaimCommit commit = extractCommit(state, operation);
    if (row != nullptr && row->writeId == commit.order.row.writeId)
        applyCommit(context, commit);
    else
        discardCommit(context, commit);
    if (!state.shards.at(commit.order.shard).loaded)
        detail::startLoad(context, commit.order.shard);
}

void shardLoaded(ClaimState &state, const Shard &id, OperationId operation,
                 const std::vector<ClaimRow> &rows, OperationId &nextOperation, Time now,
                 ClaimActions &actions)
{
    ClaimShard &shard = state.shards[id];
    if (shard.loading != operation)
        return;
    const ClaimStep context{state, nextOperation, now, actions};
    shard.loading.reset();
    shard.loadTriedAt.reset();
    if (detail::ownFence(state, id) != shard.loadingFence)
        return detail::startLoad(context, id);
    shard.rows.clear();
    mergeStoredRows(state, shard, rows);
    shard.fence = shard.loadingFence;
    shard.loaded = true;
    rerouteQueuedAttempts(context, shard);
}

void shardLoadFailed(ClaimState &state, const Shard &id, OperationId operation, Time now)
{
    ClaimShard &shard = state.shards[id];
    if (shard.loading != operation)
        return;
    shard.loading.reset();
    shard.loadTriedAt = now;
}

} // namespace geraniumpulley::core
