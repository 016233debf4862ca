#include <geraniumpulley/core/calls/claims.hpp>

#include "claim_detail.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace detail {

std::optional<FencingNumber> ownFence(const ClaimState &state, const Shard &shard)
{
    if (!state.leases)
        return std::nullopt;
    const auto position = state.leases->leases.find(shard);
    if (position == state.leases->leases.end() || position->second.holder != state.leases->self)
        return std::nullopt;
    return position->second.fence;
}

bool isSurelyHolder(const ClaimState &state, const Shard &shard, Time now)
{
    if (!state.leases)
        return false;
    const auto fence = heldFence(*state.leases, shard, now);
    const auto position = state.shards.find(shard);
    return fence && position != state.shards.end() && position->second.fence == fence;
}

bool isStoreDown(const ClaimState &state, const ClaimShard &shard, Time now)
{
    if (!shard.committing)
        return false;
    const ClaimCommit &commit = state.commits.at(*shard.committing);
    return now - commit.startedAt > state.settings.storeGrace;
}

// All attempts of a request carry the same call, so the latest deadline applies to the target.
void runClaim(const ClaimStep &context, const Shard &shard, Claim &claim)
{
    const auto latest = std::max_element(
            claim.waiting.begin(), claim.waiting.end(),
            [](const CallAttempt &a, const CallAttempt &b) { return a.deadline < b.deadline; });
    if (latest == claim.waiting.end() || latest->deadline <= context.now) {
        claim.phase = ClaimPhase::Idle;
        return;
    }
    claim.phase = ClaimPhase::Running;
    context.actions.emplace_back(
            RunClaimed{claim.record.identity, shard, latest->call, latest->deadline});
}

void answerWaiting(ClaimShard &shard, Claim &claim, const CallAnswer &answer, ClaimActions &actions)
{
    for (CallAttempt &attempt : claim.waiting)
        actions.emplace_back(AnswerAttempt{std::move(attempt), answer});
    claim.waiting.clear();
    shard.waited.erase(claim.record.identity);
}

} // namespace detail

namespace {

using detail::ClaimStep;

// The margin for clock skew prevents a node whose clock is behind from accepting a key again after
// its claim was purged.
WallTime expiryOf(const ClaimState &state, const ClaimKey &key)
{
    return key.madeAt.value_or(state.wallNow) + keyWindow + 2 * state.settings.clockMargin;
}

void addWaiting(const ClaimStep &context, ClaimShard &shard, Claim &claim, CallAttempt attempt)
{
    if (claim.waiting.size() >= context.state.settings.maxWaiting) {
        context.actions.emplace_back(
                AnswerAttempt{std::move(attempt), answerUnknown(Reason::AnswerPending)});
        return;
    }
    claim.waiting.push_back(std::move(attempt));
    shard.waited.insert(claim.record.identity);
}

void attachAttempt(const ClaimStep &context, const Shard &id, Claim &claim, const ClaimKey &key,
                   CallAttempt attempt)
{
    const auto answer = [&](CallAnswer content) {
        context.actions.emplace_back(AnswerAttempt{std::move(attempt), std::move(content)});
    };
    if (claim.record.digest != key.digest)
        return answer(answerUnknown(Reason::KeyReused));
    switch (claim.phase) {
    case ClaimPhase::Answered:
        return answer(claim.answer);
    case ClaimPhase::Lost:
        return answer(answerUnknown(Reason::AnswerLost));
    case ClaimPhase::Idle:
        addWaiting(context, context.state.shards.at(id), claim, std::move(attempt));
        return detail::runClaim(context, id, claim);
    case ClaimPhase::Queued:
    case ClaimPhase::Committing:
    case ClaimPhase::Running:
        return addWaiting(context, context.state.shards.at(id), claim, std::move(attempt));
    }
}

// \return the answer that refuses a request without a claim, or nothing if it may be claimed.
std::optional<CallAnswer> refusalFor(const ClaimStep &context, const ClaimShard &shard,
                                     const ClaimKey &key, const CallAttempt &attempt)
{
    const WallTime wallNow = context.state.wallNow;
    if (key.madeAt && wallNow > *key.madeAt + keyWindow)
        return answerUnknown(Reason::KeyExpired);
    if (key.madeAt && *key.madeAt > wallNow + context.state.settings.clockMargin)
        return refuseAttempt(attempt, false, Reason::BadRequest, context.now);
    if (attempt.deadline <= context.now)
        return answerNotRun(Reason::DeadlinePassed);
    if (detail::isStoreDown(context.state, shard, context.now))
        return answerNotRun(Reason::StoreUnavailable);
    if (shard.queuedClaims.size() >= context.state.settings.maxQueued)
        return answerNotRun(Reason::QueueFull);
    return std::nullopt;
}

// \return the answer to an attempt whose deadline passed before its claim's call was sent.
CallAnswer unsentAnswer(const ClaimStep &context, const Shard &id)
{
    const ClaimShard &shard = context.state.shards.at(id);
    const Reason reason = detail::isStoreDown(context.state, shard, context.now)
                                  ? Reason::StoreUnavailable
                                  : Reason::DeadlinePassed;
    return detail::isSurelyHolder(context.state, id, context.now) ? answerNotRun(reason)
                                                                  : answerUnknown(reason);
}

void expireWaitingAttempts(const ClaimStep &context, const Shard &id, Claim &claim)
{
    const auto isExpired = [&](const CallAttempt &attempt) {
        return attempt.deadline <= context.now;
    };
    // The request may still run while another attempt waits.
    const bool mayStillRun = claim.phase == ClaimPhase::Running
                             || !std::all_of(claim.waiting.begin(), claim.waiting.end(), isExpired);
    const CallAnswer answer =
            mayStillRun ? answerUnknown(Reason::AnswerPending) : unsentAnswer(context, id);
    for (const CallAttempt &attempt : claim.waiting) {
        if (isExpired(attempt))
            context.actions.emplace_back(AnswerAttempt{attempt, answer});
    }
    std::erase_if(claim.waiting, isExpired);
}

void expireClaims(const ClaimStep &context, const Shard &id, ClaimShard &shard)
{
    const std::set<std::string> awaited = shard.waited;
    for (const std::string &identity : awaited) {
        Claim &claim = shard.claims.at(identity);
        expireWaitingAttempts(context, id, claim);
        if (!claim.waiting.empty())
            continue;
        shard.waited.erase(identity);
        if (claim.phase == ClaimPhase::Queued) {
            std::erase(shard.queuedClaims, identity);
            shard.claims.erase(identity);
        }
    }
}

void expireAttemptsAwaitingLoad(const ClaimStep &context, ClaimShard &shard)
{
    std::erase_if(shard.awaitingLoad, [&](const CallAttempt &attempt) {
        if (attempt.deadline > context.now)
            return false;
        context.actions.emplace_back(
                AnswerAttempt{attempt, answerUnknown(Reason::StoreUnavailable)});
        return true;
    });
}

void purgeExpired(const ClaimStep &context, ClaimShard &shard)
{
    if (shard.lastPurgeAt && context.now - *shard.lastPurgeAt < context.state.settings.purgePeriod)
        return;
    shard.lastPurgeAt = context.now;
    shard.hasExpiredRows = std::any_of(shard.rows.begin(), shard.rows.end(), [&](const auto &row) {
        return row.second < context.state.wallNow;
    });
    std::erase_if(shard.claims, [&](const auto &entry) {
        const Claim &claim = entry.second;
        const bool isSettled = claim.phase == ClaimPhase::Idle
                               || claim.phase == ClaimPhase::Answered
                               || claim.phase == ClaimPhase::Lost;
        return isSettled && claim.waiting.empty() && claim.record.expiresAt < context.state.wallNow;
    });
}

Claim *findClaim(ClaimState &state, const Shard &shard, const std::string &identity)
{
    ClaimShard &claims = state.shards[shard];
    const auto position = claims.claims.find(identity);
    return position == claims.claims.end() ? nullptr : &position->second;
}

} // namespace

Shard claimShardOf(const ClaimKey &key)
{
    return shardOf(ShardKind::Claims, key.identity);
}

void admit(ClaimState &state, const ClaimKey &key, CallAttempt attempt, OperationId &nextOperation,
           Time now, ClaimActions &actions)
{
    const ClaimStep context{state, nextOperation, now, actions};
    const Shard id = claimShardOf(key);
    ClaimShard &shard = state.shards[id];
    if (!shard.loaded || shard.fence != detail::ownFence(state, id)) {
        if (shard.awaitingLoad.size() >= state.settings.maxQueued) {
            const CallAnswer full = refuseAttempt(attempt, false, Reason::QueueFull, now);
            actions.emplace_back(AnswerAttempt{std::move(attempt), full});
            return;
        }
        shard.awaitingLoad.push_back(std::move(attempt));
        return detail::startLoad(context, id);
    }
    if (Claim *claim = findClaim(state, id, key.identity))
        return attachAttempt(context, id, *claim, key, std::move(attempt));
    if (const auto refusal = refusalFor(context, shard, key, attempt)) {
        actions.emplace_back(AnswerAttempt{std::move(attempt), *refusal});
        return;
    }
    Claim &claim = shard.claims[key.identity];
    claim.record = {key.identity, key.digest, expiryOf(state, key)};
    addWaiting(context, shard, claim, std::move(attempt));
    shard.queuedClaims.push_back(key.identity);
    detail::startCommit(context, id);
}

const CallAnswer *keptAnswer(const ClaimState &state, const ClaimKey &key)
{
    const auto shard = state.shards.find(claimShardOf(key));
    if (shard == state.shards.end())
        return nullptr;
    const auto claim = shard->second.claims.find(key.identity);
    const bool isKept = claim != shard->second.claims.end()
                        && claim->second.phase == ClaimPhase::Answered
                        && claim->second.record.digest == key.digest;
    return isKept ? &claim->second.answer : nullptr;
}

void claimAnswered(ClaimState &state, const Shard &shard, const std::string &identity,
                   const CallAnswer &answer, Time now, ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    ClaimShard &claims = state.shards.at(shard);
    detail::answerWaiting(claims, *claim, answer, actions);
    claim->phase = ClaimPhase::Answered;
    claim->answer = answer;
    if (answer.body.size() > state.settings.maxKeptAnswerBytes)
        claim->answer = {
                Outcome::Ran, Reason::AnswerNotKept, statusOf(Reason::AnswerNotKept), {}, {}};
    if (claims.queuedAnswers.empty())
        claims.answersQueuedAt = now;
    claims.queuedAnswers.push_back(identity);
}

void claimNotRun(ClaimState &state, const Shard &shard, const std::string &identity, Reason reason,
                 ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    claim->phase = ClaimPhase::Idle;
    detail::answerWaiting(state.shards.at(shard), *claim, answerNotRun(reason), actions);
}

void claimLost(ClaimState &state, const Shard &shard, const std::string &identity, Reason reason,
               ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    claim->phase = ClaimPhase::Lost;
    detail::answerWaiting(state.shards.at(shard), *claim, answerUnknown(reason), actions);
}

bool isIdle(const ClaimState &state)
{
    return state.commits.empty()
           && std::all_of(state.shards.begin(), state.shards.end(), [](const auto &entry) {
                  const ClaimShard &shard = entry.second;
                  return shard.waited.empty() && shard.awaitingLoad.empty()
                         && shard.queuedClaims.empty()
                         && (shard.queuedAnswers.empty() || !shard.loaded);
              });
}

void tickClaims(ClaimState &state, WallTime wallNow, OperationId &nextOperation, Time now,
                ClaimActions &actions)
{
    state.wallNow = wallNow;
    const ClaimStep context{state, nextOperation, now, actions};
    for (auto &[id, shard] : state.shards) {
        expireClaims(context, id, shard);
        expireAttemptsAwaitingLoad(context, shard);
        purgeExpired(context, shard);
        if (!shard.loaded && (shard.loadTriedAt || !shard.awaitingLoad.empty()))
            detail::startLoad(context, id);
        detail::startCommit(context, id);
    }
}

} // namespace geraniumpulley::core
