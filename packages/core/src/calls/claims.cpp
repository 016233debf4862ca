#include <geraniumpulley/core/calls/claims.hpp>

#include "claim_detail.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace detail {

std::optional<FencingToken> ownFence(const ClaimState &state, const Shard &shard)
{
    if (!state.leases)
        return std::nullopt;
    const auto position = state.leases->leases.find(shard);
    if (position == state.leases->leases.end() || position->second.holder != state.leases->self)
        return std::nullopt;
    return position->second.fence;
}

bool hasValidLease(const ClaimState &state, const Shard &shard, Time now)
{
    if (!state.leases)
        return false;
    const auto fence = heldFence(*state.leases, shard, now);
    const auto position = state.shards.find(shard);
    return fence && position != state.shards.end() && position->second.fence == fence;
}

bool hasCommitTimedOut(const ClaimState &state, const ClaimShard &shard, Time now)
{
    if (!shard.commitOperation)
        return false;
    const ClaimCommit &commit = state.commits.at(*shard.commitOperation);
    return now - commit.startedAt > state.settings.commitTimeout;
}

// All attempts of a request carry the same call, so the latest deadline applies to the target.
void sendClaimedCall(const ClaimContext &context, const Shard &shard, Claim &claim)
{
    const auto latest = std::max_element(
            claim.waitingAttempts.begin(), claim.waitingAttempts.end(),
            [](const CallAttempt &a, const CallAttempt &b) { return a.deadline < b.deadline; });
    if (latest == claim.waitingAttempts.end() || latest->deadline <= context.now) {
        claim.phase = ClaimPhase::Committed;
        return;
    }
    claim.phase = ClaimPhase::Running;
    context.actions.emplace_back(
            SendClaimedCall{claim.record.identity, shard, latest->call, latest->deadline});
}

void answerWaitingAttempts(ClaimShard &shard, Claim &claim, const CallAnswer &answer,
                           ClaimActions &actions)
{
    for (CallAttempt &attempt : claim.waitingAttempts)
        actions.emplace_back(AnswerAttempt{std::move(attempt), answer});
    claim.waitingAttempts.clear();
    shard.awaitedClaims.erase(claim.record.identity);
}

} // namespace detail

namespace {

using detail::ClaimContext;

// The margin for clock skew prevents a node whose clock is behind from accepting a key again after
// its claim was purged.
WallTime expiryOf(const ClaimState &state, const ClaimKey &key)
{
    return key.createdAt.value_or(state.wallNow) + keyLifetime + 2 * state.settings.maxClockSkew;
}

void addWaitingAttempt(const ClaimContext &context, ClaimShard &shard, Claim &claim,
                       CallAttempt attempt)
{
    if (claim.waitingAttempts.size() >= context.state.settings.maxWaitingAttempts) {
        context.actions.emplace_back(
                AnswerAttempt{std::move(attempt), makeUnknownAnswer(Reason::AnswerPending)});
        return;
    }
    claim.waitingAttempts.push_back(std::move(attempt));
    shard.awaitedClaims.insert(claim.record.identity);
}

void attachAttempt(const ClaimContext &context, const Shard &id, Claim &claim, const ClaimKey &key,
                   CallAttempt attempt)
{
    const auto answer = [&](CallAnswer content) {
        context.actions.emplace_back(AnswerAttempt{std::move(attempt), std::move(content)});
    };
    if (claim.record.digest != key.digest)
        return answer(makeUnknownAnswer(Reason::KeyReused));
    switch (claim.phase) {
    case ClaimPhase::Answered:
        return answer(claim.answer);
    case ClaimPhase::OutcomeUnknown:
        return answer(makeUnknownAnswer(Reason::AnswerLost));
    case ClaimPhase::Committed:
        addWaitingAttempt(context, context.state.shards.at(id), claim, std::move(attempt));
        return detail::sendClaimedCall(context, id, claim);
    case ClaimPhase::Queued:
    case ClaimPhase::Committing:
    case ClaimPhase::Running:
        return addWaitingAttempt(context, context.state.shards.at(id), claim, std::move(attempt));
    }
}

// \return the answer that refuses a request without a claim, or nothing if it may be claimed.
std::optional<CallAnswer> refusalFor(const ClaimContext &context, const ClaimShard &shard,
                                     const ClaimKey &key, const CallAttempt &attempt)
{
    const WallTime wallNow = context.state.wallNow;
    if (key.createdAt && wallNow > *key.createdAt + keyLifetime)
        return makeUnknownAnswer(Reason::KeyExpired);
    if (key.createdAt && *key.createdAt > wallNow + context.state.settings.maxClockSkew)
        return makeRefusalAnswer(attempt, false, Reason::BadRequest, context.now);
    if (attempt.deadline <= context.now)
        return makeNotRunAnswer(Reason::DeadlinePassed);
    if (detail::hasCommitTimedOut(context.state, shard, context.now))
        return makeNotRunAnswer(Reason::StoreUnavailable);
    if (shard.queuedClaims.size() >= context.state.settings.maxQueued)
        return makeNotRunAnswer(Reason::QueueFull);
    return std::nullopt;
}

// \return the answer to an attempt whose deadline passed before its claim's call was sent.
CallAnswer unsentAnswer(const ClaimContext &context, const Shard &id)
{
    const ClaimShard &shard = context.state.shards.at(id);
    const Reason reason = detail::hasCommitTimedOut(context.state, shard, context.now)
                                  ? Reason::StoreUnavailable
                                  : Reason::DeadlinePassed;
    return detail::hasValidLease(context.state, id, context.now) ? makeNotRunAnswer(reason)
                                                                 : makeUnknownAnswer(reason);
}

void expireWaitingAttempts(const ClaimContext &context, const Shard &id, Claim &claim)
{
    const auto isExpired = [&](const CallAttempt &attempt) {
        return attempt.deadline <= context.now;
    };
    // The request may still run while another attempt waits.
    const bool mayStillRun =
            claim.phase == ClaimPhase::Running
            || !std::all_of(claim.waitingAttempts.begin(), claim.waitingAttempts.end(), isExpired);
    const CallAnswer answer =
            mayStillRun ? makeUnknownAnswer(Reason::AnswerPending) : unsentAnswer(context, id);
    for (const CallAttempt &attempt : claim.waitingAttempts) {
        if (isExpired(attempt))
            context.actions.emplace_back(AnswerAttempt{attempt, answer});
    }
    std::erase_if(claim.waitingAttempts, isExpired);
}

void expireClaims(const ClaimContext &context, const Shard &id, ClaimShard &shard)
{
    const std::set<std::string> awaited = shard.awaitedClaims;
    for (const std::string &identity : awaited) {
        Claim &claim = shard.claims.at(identity);
        expireWaitingAttempts(context, id, claim);
        if (!claim.waitingAttempts.empty())
            continue;
        shard.awaitedClaims.erase(identity);
        if (claim.phase == ClaimPhase::Queued) {
            std::erase(shard.queuedClaims, identity);
            shard.claims.erase(identity);
        }
    }
}

void expireAttemptsAwaitingLoad(const ClaimContext &context, ClaimShard &shard)
{
    std::erase_if(shard.attemptsAwaitingLoad, [&](const CallAttempt &attempt) {
        if (attempt.deadline > context.now)
            return false;
        context.actions.emplace_back(
                AnswerAttempt{attempt, makeUnknownAnswer(Reason::StoreUnavailable)});
        return true;
    });
}

void purgeExpired(const ClaimContext &context, ClaimShard &shard)
{
    if (shard.lastPurgeAt && context.now - *shard.lastPurgeAt < context.state.settings.purgePeriod)
        return;
    shard.lastPurgeAt = context.now;
    shard.hasExpiredRows =
            std::any_of(shard.rowExpirations.begin(), shard.rowExpirations.end(),
                        [&](const auto &row) { return row.second < context.state.wallNow; });
    std::erase_if(shard.claims, [&](const auto &entry) {
        const Claim &claim = entry.second;
        const bool isSettled = claim.phase == ClaimPhase::Committed
                               || claim.phase == ClaimPhase::Answered
                               || claim.phase == ClaimPhase::OutcomeUnknown;
        return isSettled && claim.waitingAttempts.empty()
               && claim.record.expiresAt < context.state.wallNow;
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
    const ClaimContext context{state, nextOperation, now, actions};
    const Shard id = claimShardOf(key);
    ClaimShard &shard = state.shards[id];
    if (!shard.loaded || shard.fence != detail::ownFence(state, id)) {
        if (shard.attemptsAwaitingLoad.size() >= state.settings.maxQueued) {
            const CallAnswer full = makeRefusalAnswer(attempt, false, Reason::QueueFull, now);
            actions.emplace_back(AnswerAttempt{std::move(attempt), full});
            return;
        }
        shard.attemptsAwaitingLoad.push_back(std::move(attempt));
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
    addWaitingAttempt(context, shard, claim, std::move(attempt));
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

void onClaimAnswered(ClaimState &state, const Shard &shard, const std::string &identity,
                     const CallAnswer &answer, Time now, ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    ClaimShard &claims = state.shards.at(shard);
    detail::answerWaitingAttempts(claims, *claim, answer, actions);
    claim->phase = ClaimPhase::Answered;
    claim->answer = answer;
    if (answer.body.size() > state.settings.maxKeptAnswerBytes)
        claim->answer = {
                Outcome::Ran, Reason::AnswerNotKept, statusOf(Reason::AnswerNotKept), {}, {}};
    if (claims.queuedAnswers.empty())
        claims.oldestAnswerQueuedAt = now;
    claims.queuedAnswers.push_back(identity);
}

void onClaimNotRun(ClaimState &state, const Shard &shard, const std::string &identity,
                   Reason reason, ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    claim->phase = ClaimPhase::Committed;
    detail::answerWaitingAttempts(state.shards.at(shard), *claim, makeNotRunAnswer(reason),
                                  actions);
}

void onClaimOutcomeUnknown(ClaimState &state, const Shard &shard, const std::string &identity,
                           Reason reason, ClaimActions &actions)
{
    Claim *claim = findClaim(state, shard, identity);
    if (claim == nullptr)
        return;
    claim->phase = ClaimPhase::OutcomeUnknown;
    detail::answerWaitingAttempts(state.shards.at(shard), *claim, makeUnknownAnswer(reason),
                                  actions);
}

bool isIdle(const ClaimState &state)
{
    return state.commits.empty()
           && std::all_of(state.shards.begin(), state.shards.end(), [](const auto &entry) {
                  const ClaimShard &shard = entry.second;
                  return shard.awaitedClaims.empty() && shard.attemptsAwaitingLoad.empty()
                         && shard.queuedClaims.empty()
                         && (shard.queuedAnswers.empty() || !shard.loaded);
              });
}

void tickClaims(ClaimState &state, WallTime wallNow, OperationId &nextOperation, Time now,
                ClaimActions &actions)
{
    state.wallNow = wallNow;
    const ClaimContext context{state, nextOperation, now, actions};
    for (auto &[id, shard] : state.shards) {
        expireClaims(context, id, shard);
        expireAttemptsAwaitingLoad(context, shard);
        purgeExpired(context, shard);
        if (!shard.loaded && (shard.lastLoadAttemptAt || !shard.attemptsAwaitingLoad.empty()))
            detail::startLoad(context, id);
        detail::startCommit(context, id);
    }
}

} // namespace geraniumpulley::core
