#pragma once

#include <geraniumpulley/core/calls/claims.hpp>

#include <optional>
#include <string>

/// Functions shared by claims.cpp and claim_commits.cpp.
namespace geraniumpulley::core::detail {

/// The state that one event changes, the time of the event, and the resulting actions.
struct ClaimContext
{
    ClaimState &state;
    OperationId &nextOperation;
    Time now;
    ClaimActions &actions;
};

/// \return the shard's fence if this node is its holder, even if the lease has expired.
std::optional<FencingToken> ownFence(const ClaimState &state, const Shard &shard);

/// \return whether this node's lease guarantees that no other node has taken over the shard's
/// claims.
bool hasValidLease(const ClaimState &state, const Shard &shard, Time now);

/// \return whether the shard's commit has been unanswered for longer than the commit timeout.
bool hasCommitTimedOut(const ClaimState &state, const ClaimShard &shard, Time now);

/// Starts loading the shard's rows unless a load or a commit is in flight.
void startLoad(const ClaimContext &context, const Shard &shard);

/// Starts a commit if one is due and none is in flight, or retries an unanswered one.
void startCommit(const ClaimContext &context, const Shard &shard);

/// Sends the call of a committed claim, or leaves it unsent if no attempt still waits.
void sendClaimedCall(const ClaimContext &context, const Shard &shard, Claim &claim);

/// Answers all waiting attempts of a claim.
void answerWaitingAttempts(ClaimShard &shard, Claim &claim, const CallAnswer &answer,
                           ClaimActions &actions);

} // namespace geraniumpulley::core::detail
