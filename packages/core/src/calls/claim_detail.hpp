#pragma once

#include <geraniumpulley/core/calls/claims.hpp>

#include <optional>
#include <string>

/// Steps that both halves of the claims' decisions use.
namespace geraniumpulley::core::detail {

/// What one step of the claims works with.
struct ClaimStep
{
    ClaimState &state;
    OperationId &nextOperation;
    Time now;
    ClaimActions &actions;
};

/// \return the shard's fence when this node is its holder, even if the lease has lapsed.
std::optional<FencingNumber> ownFence(const ClaimState &state, const Shard &shard);

/// \return whether the lease rules out that another node has taken the shard's claims over.
bool isSurelyHolder(const ClaimState &state, const Shard &shard, Time now);

/// \return whether the shard's commit has been without an answer for too long.
bool isStoreDown(const ClaimState &state, const ClaimShard &shard, Time now);

/// Starts reading the shard's rows unless that is under way.
void startLoad(const ClaimStep &step, const Shard &shard);

/// Starts a commit when one is due and none is under way.
void startCommit(const ClaimStep &step, const Shard &shard);

/// Sends the call of a committed claim, or leaves it idle when nobody waits for it in time.
void runClaim(const ClaimStep &step, const Shard &shard, Claim &claim);

/// Answers all attempts that wait for a claim.
void answerWaiting(ClaimShard &shard, Claim &claim, const CallAnswer &answer,
                   ClaimActions &actions);

} // namespace geraniumpulley::core::detail
