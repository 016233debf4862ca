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

// All attempts of a request carry the same call, so the one with the most time left decides how
// long the target may take.
void runClaim(const ClaimStep &step, const Shard &shard, Claim &claim)
{
    const auto latest = std::max_element(
            claim.waiting.begin(), claim.waiting.end(),
            [](const CallAttempt &a, const CallAttempt &b) { return a.deadline < b.deadline; });
    if (latest == claim.waiting.end() || latest->deadline <= step.now) {
        claim.phase = ClaimPhase::Idle;
        return;
    }
    claim.phase = ClaimPhase::Running;
    step.actions.emplace_back(
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

// A purged claim must not be accepted again by a node whose clock is behind.
WallTime expiryOf(const ClaimState &state, const ClaimKey &key)
{
    return key.madeAt.value_or(state.wallNow) + keyWindow + 2 * state.settings.clockMargin;
}

void addWaiting(const ClaimStep &step, ClaimShard &shard, Claim &claim, CallAttempt attempt)
{
    if (claim.waiting.size() >= step.state.settings.maxWaiting) {
        step.actions.emplace_back(
                AnswerAttempt{std::move(attempt), answerUnknown(Reason::AnswerPending)});
        return;
    }
    claim.waiting.push_back(std::move(attempt));
    shard.waited.insert(claim.record.identity);
}

void join(const ClaimStep &step, const Shard &id, Claim &claim, const ClaimKey &key,
          CallAttempt attempt)
{
    const auto answer = [&](CallAnswer content) {
        step.actions.emplace_back(AnswerAttempt{std::move(attempt), std::move(content)});
    };
    if (claim.record.digest != key.digest)
        return answer(answerUnknown(Reason::KeyReused));
    switch (claim.phase) {
    case ClaimPhase::Answered:
        return answer(claim.answer);
    case ClaimPhase::Lost:
        return answer(answerUnknown(Reason::AnswerLost));
    case ClaimPhase::Idle:
        addWaiting(step, step.state.shards.at(id), claim, std::move(attempt));
        return detail::runClaim(step, id, claim);
    case ClaimPhase::Queued:
    case ClaimPhase::Committing:
    case ClaimPhase::Running:
        return addWaiting(step, step.state.shards.at(id), claim, std::move(attempt));
    }
}

// \return why a request without a claim is not taken, or nothing when it is.
std::optional<CallAnswer> refusal(const ClaimStep &step, const ClaimShard &shard,
                                  const ClaimKey &key, const CallAttempt &attempt)
{
    const WallTime wallNow = step.state.wallNow;
    if (key.madeAt && wallNow > *key.madeAt + keyWindow)
        return answerUnknown(Reason::KeyExpired);
    if (key.madeAt && *key.madeAt > wallNow + step.state.settings.clockMargin)
        return refuseAttempt(attempt, false, Reason::BadRequest, step.now);
    if (attempt.deadline <= step.now)
        return answerNotRun(Reason::DeadlinePassed);
    if (detail::isStoreDown(step.state, shard, step.now))
        return answerNotRun(Reason::StoreUnavailable);
    if (shard.queuedClaims.size() >= step.state.settings.maxQueued)
        return answerNotRun(Reason::QueueFull);
    return std::nullopt;
}

// The claim of an attempt whose deadline passed before the call was sent.
CallAnswer answerUnsent(const ClaimStep &step, const Shard &id)
{
    const ClaimShard &shard = step.state.shards.at(id);
    const Reason reason = detail::isStoreDown(step.state, shard, step.now)
                                  ? Reason::StoreUnavailable
                                  : Reason::DeadlinePassed;
    return detail::isSurelyHolder(step.state, id, step.now) ? answerNotRun(reason)
                                                            : answerUnknown(reason);
}

void expireWaiting(const ClaimStep &step, const Shard &id, Claim &claim)
{
    const auto isLate = [&](const CallAttempt &attempt) { return attempt.deadline <= step.now; };
    // As long as another attempt waits, the request may still run.
    const bool isUnderWay = claim.phase == ClaimPhase::Running
                            || !std::all_of(claim.waiting.begin(), claim.waiting.end(), isLate);
    const CallAnswer answer =
            isUnderWay ? answerUnknown(Reason::AnswerPending) : answerUnsent(step, id);
    for (const CallAttempt &attempt : claim.waiting) {
        if (isLate(attempt))
            step.actions.emplace_back(AnswerAttempt{attempt, answer});
    }
    std::erase_if(claim.waiting, isLate);
}

void expireClaims(const ClaimStep &step, const Shard &id, ClaimShard &shard)
{
    const std::set<std::string> waited = shard.waited;
    for (const std::string &identity : waited) {
        Claim &claim = shard.claims.at(identity);
        expireWaiting(step, id, claim);
        if (!claim.waiting.empty())
            continue;
        shard.waited.erase(identity);
        if (claim.phase == ClaimPhase::Queued) {
            std::erase(shard.queuedClaims, identity);
            shard.claims.erase(identity);
        }
    }
}

void expireLoading(const ClaimStep &step, ClaimShard &shard)
{
    std::erase_if(shard.awaitingLoad, [&](const CallAttempt &attempt) {
        if (attempt.deadline > step.now)
            return false;
        step.actions.emplace_back(AnswerAttempt{attempt, answerUnknown(Reason::StoreUnavailable)});
        return true;
    });
}

void purge(const ClaimStep &step, ClaimShard &shard)
{
    if (shard.lastPurgeAt && step.now - *shard.lastPurgeAt < step.state.settings.purgePeriod)
        return;
    shard.lastPurgeAt = step.now;
    shard.hasExpiredRows = std::any_of(shard.rows.begin(), shard.rows.end(), [&](const auto &row) {
        return row.second < step.state.wallNow;
    });
    std::erase_if(shard.claims, [&](const auto &entry) {
        const Claim &claim = entry.second;
        const bool isSettled = claim.phase == ClaimPhase::Idle
                               || claim.phase == ClaimPhase::Answered
                               || claim.phase == ClaimPhase::Lost;
        return isSettled && claim.waiting.empty() && claim.record.expiresAt < step.state.wallNow;
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
    const ClaimStep step{state, nextOperation, now, actions};
    const Shard id = claimShardOf(key);
    ClaimShard &shard = state.shards[id];
    if (!shard.loaded || shard.fence != detail::ownFence(state, id)) {
        if (shard.awaitingLoad.size() >= state.settings.maxQueued) {
            const CallAnswer full = refuseAttempt(attempt, false, Reason::QueueFull, now);
            actions.emplace_back(AnswerAttempt{std::move(attempt), full});
            return;
        }
        shard.awaitingLoad.push_back(std::move(attempt));
        return detail::startLoad(step, id);
    }
    if (Claim *claim = findClaim(state, id, key.identity))
        return join(step, id, *claim, key, std::move(attempt));
    if (const auto refused = refusal(step, shard, key, attempt)) {
        actions.emplace_back(AnswerAttempt{std::move(attempt), *refused});
        return;
    }
    Claim &claim = shard.claims[key.identity];
    claim.record = {key.identity, key.digest, expiryOf(state, key)};
    addWaiting(step, shard, claim, std::move(attempt));
    shard.queuedClaims.push_back(key.identity);
    detail::startCommit(step, id);
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
    const ClaimStep step{state, nextOperation, now, actions};
    for (auto &[id, shard] : state.shards) {
        expireClaims(step, id, shard);
        expireLoading(step, shard);
        purge(step, shard);
        if (!shard.loaded && (shard.loadTriedAt || !shard.awaitingLoad.empty()))
            detail::startLoad(step, id);
        detail::startCommit(step, id);
    }
}

} // namespace geraniumpulley::core
