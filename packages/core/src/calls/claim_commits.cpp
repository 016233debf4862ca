#include <geraniumpulley/core/calls/claims.hpp>

#include "claim_detail.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using detail::ClaimStep;

OperationId takeOperation(const ClaimStep &step)
{
    const OperationId operation = step.nextOperation;
    step.nextOperation = next(operation);
    return operation;
}

// The write id makes the name unique, so that no process overwrites another's row.
std::string rowKey(const Shard &shard, FencingNumber fence, const std::string &writeId)
{
    const auto padded = [](std::uint64_t number) {
        constexpr std::size_t width = 12;
        const std::string digits = std::to_string(number);
        return std::string(width - std::min(width, digits.size()), '0') + digits;
    };
    return "claims/" + std::to_string(shard.index) + "/" + padded(number(fence)) + "-" + writeId;
}

void takeClaims(ClaimShard &shard, std::size_t limit, ClaimRow &row)
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

void takeAnswers(ClaimShard &shard, std::size_t limit, ClaimRow &row)
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

void submit(const ClaimStep &step, ClaimCommit &commit)
{
    commit.underWay = true;
    commit.lastTriedAt = step.now;
    if (commit.refused)
        step.actions.emplace_back(ReadClaimRow{commit.order.operation, commit.order.row.key});
    else
        step.actions.emplace_back(commit.order);
}

// The commit took effect: what it claimed may be sent by this process and by no other, whoever
// holds the shard by now.
void settle(const ClaimStep &step, const ClaimCommit &commit)
{
    const Shard &id = commit.order.shard;
    ClaimShard &shard = step.state.shards.at(id);
    const ClaimRow &row = commit.order.row;
    if (!row.claims.empty() || !row.answers.empty())
        shard.rows[row.key] = row.expiresAt;
    for (const std::string &key : commit.order.expiredRows)
        shard.rows.erase(key);
    for (const ClaimRecord &record : commit.order.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position != shard.claims.end() && position->second.phase == ClaimPhase::Committing)
            detail::runClaim(step, id, position->second);
    }
}

// The commit did not and will not take effect. Another holder may have claimed the same requests
// since, so its rows are read before any of them is looked at again.
void abandon(const ClaimStep &step, const ClaimCommit &commit)
{
    ClaimShard &shard = step.state.shards.at(commit.order.shard);
    for (const ClaimRecord &record : commit.order.row.claims) {
        const auto position = shard.claims.find(record.identity);
        if (position == shard.claims.end() || position->second.phase != ClaimPhase::Committing)
            continue;
        for (CallAttempt &attempt : position->second.waiting)
            step.actions.emplace_back(RouteAgain{std::move(attempt)});
        shard.waited.erase(record.identity);
        shard.claims.erase(position);
    }
    shard.loaded = false;
    shard.loading.reset();
}

ClaimCommit takeCommit(ClaimState &state, OperationId operation)
{
    const auto position = state.commits.find(operation);
    ClaimCommit commit = std::move(position->second);
    state.commits.erase(position);
    state.shards.at(commit.order.shard).committing.reset();
    return commit;
}

void routeQueuedAgain(const ClaimStep &step, ClaimShard &shard)
{
    for (const std::string &identity : shard.queuedClaims) {
        const auto position = shard.claims.find(identity);
        for (CallAttempt &attempt : position->second.waiting)
            step.actions.emplace_back(RouteAgain{std::move(attempt)});
        shard.waited.erase(identity);
        shard.claims.erase(position);
    }
    shard.queuedClaims.clear();
    for (CallAttempt &attempt : shard.awaitingLoad)
        step.actions.emplace_back(RouteAgain{std::move(attempt)});
    shard.awaitingLoad.clear();
}

void addStored(const ClaimState &state, ClaimShard &shard, const std::vector<ClaimRow> &rows)
{
    for (const ClaimRow &row : rows) {
        shard.rows[row.key] = row.expiresAt;
        for (const ClaimRecord &record : row.claims) {
            // What this process knows of a claim of its own is newer than the row.
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

void startLoad(const ClaimStep &step, const Shard &id)
{
    ClaimShard &shard = step.state.shards[id];
    const auto fence = ownFence(step.state, id);
    const bool isTooSoon =
            shard.loadTriedAt && step.now - *shard.loadTriedAt < step.state.settings.retryDelay;
    // A commit under way may still add a row that the load would miss.
    if (!fence || shard.loading || shard.committing || isTooSoon)
        return;
    shard.loading = takeOperation(step);
    shard.loadingFence = *fence;
    shard.loadTriedAt = step.now;
    step.actions.emplace_back(LoadClaims{*shard.loading, id});
}

void startCommit(const ClaimStep &step, const Shard &id)
{
    ClaimShard &shard = step.state.shards.at(id);
    if (shard.committing) {
        ClaimCommit &commit = step.state.commits.at(*shard.committing);
        if (!commit.underWay && step.now - commit.lastTriedAt >= step.state.settings.retryDelay)
            submit(step, commit);
        return;
    }
    if (!shard.loaded || shard.fence != ownFence(step.state, id)
        || !isCommitDue(step.state, shard, step.now))
        return;
    ClaimCommit commit;
    CommitClaims &order = commit.order;
    order.operation = takeOperation(step);
    order.shard = id;
    order.fence = *shard.fence;
    const std::uint64_t write = step.state.nextWrite++;
    order.row.writeId = step.state.writerId + "-" + std::to_string(write);
    order.row.key = rowKey(id, order.fence, order.row.writeId);
    takeClaims(shard, step.state.settings.maxBatch, order.row);
    takeAnswers(shard, step.state.settings.maxBatch, order.row);
    if (shard.hasExpiredRows)
        order.expiredRows = expiredRows(step.state, shard);
    shard.hasExpiredRows = false;
    commit.startedAt = step.now;
    shard.lastCommitAt = step.now;
    shard.committing = order.operation;
    submit(step, step.state.commits.emplace(order.operation, std::move(commit)).first->second);
}

} // namespace detail

void takeLeases(ClaimState &state, const LeaseTablePointer &leases, OperationId &nextOperation,
                Time now, ClaimActions &actions)
{
    state.leases = leases;
    const ClaimStep step{state, nextOperation, now, actions};
    for (const auto &[id, lease] : leases->leases) {
        if (id.kind == ShardKind::Claims && lease.holder == leases->self)
            state.shards.try_emplace(id);
    }
    for (auto &[id, shard] : state.shards) {
        const auto fence = detail::ownFence(state, id);
        if (fence && shard.loaded && shard.fence == fence)
            continue;
        shard.loaded = false;
        routeQueuedAgain(step, shard);
        if (shard.loading && shard.loadingFence != fence)
            shard.loading.reset();
        detail::startLoad(step, id);
    }
}

void commitSucceeded(ClaimState &state, OperationId operation, OperationId &nextOperation, Time now,
                     ClaimActions &actions)
{
    if (!state.commits.contains(operation))
        return;
    const ClaimStep step{state, nextOperation, now, actions};
    const ClaimCommit commit = takeCommit(state, operation);
    settle(step, commit);
    detail::startCommit(step, commit.order.shard);
    if (!state.shards.at(commit.order.shard).loaded)
        detail::startLoad(step, commit.order.shard);
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
    const ClaimStep step{state, nextOperation, now, actions};
    const ClaimCommit commit = takeCommit(state, operation);
    if (row != nullptr && row->writeId == commit.order.row.writeId)
        settle(step, commit);
    else
        abandon(step, commit);
    if (!state.shards.at(commit.order.shard).loaded)
        detail::startLoad(step, commit.order.shard);
}

void shardLoaded(ClaimState &state, const Shard &id, OperationId operation,
                 const std::vector<ClaimRow> &rows, OperationId &nextOperation, Time now,
                 ClaimActions &actions)
{
    ClaimShard &shard = state.shards[id];
    if (shard.loading != operation)
        return;
    const ClaimStep step{state, nextOperation, now, actions};
    shard.loading.reset();
    shard.loadTriedAt.reset();
    if (detail::ownFence(state, id) != shard.loadingFence)
        return detail::startLoad(step, id);
    shard.rows.clear();
    addStored(state, shard, rows);
    shard.fence = shard.loadingFence;
    shard.loaded = true;
    routeQueuedAgain(step, shard);
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
