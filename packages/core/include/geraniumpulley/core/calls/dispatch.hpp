#pragma once

#include <geraniumpulley/core/calls/admission.hpp>
#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/calls/claims.hpp>
#include <geraniumpulley/core/calls/crash_suspects.hpp>
#include <geraniumpulley/core/calls/load_balancing.hpp>
#include <geraniumpulley/core/calls/retry_budget.hpp>
#include <geraniumpulley/core/calls/target_probe.hpp>
#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/engines/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the dispatch duty: where an application call runs and how its caller is answered.
namespace geraniumpulley::core {

/// How far an attempt without a complete answer got.
enum class AttemptFailure {
    NotSent, ///< No byte was sent; the attempt did not run.
    AnswerLost, ///< Bytes were sent and no complete answer arrived; the attempt may have run.
};

// Events

struct CallReceived
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    bool forwarded = false; ///< The call came from another node, which chose this one.
};
/// A target's complete answer arrived.
struct TargetAnswered
{
    OperationId operation{};
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};
struct AttemptFailed
{
    OperationId operation{};
    AttemptFailure failure = AttemptFailure::AnswerLost;
    bool closedByTarget = false; ///< The target closed the connection, as it also does in a crash.
};
/// The node that a call was forwarded to answered.
struct PeerAnswered
{
    OperationId operation{};
    CallAnswer answer;
};
struct DispatchConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};
struct DispatchViewChanged
{
    ViewPointer view;
};
struct DispatchLeasesChanged
{
    LeaseTablePointer leases;
};
struct DispatchEnginesChanged
{
    EngineReportsPointer engines;
};
/// A commit took effect.
struct ClaimsCommitted
{
    OperationId operation{};
};
/// A commit was refused: its fence did not match the shard's.
struct ClaimsCommitRefused
{
    OperationId operation{};
};
/// The outcome of a commit is unknown, or a row could not be read.
struct ClaimsCommitUncertain
{
    OperationId operation{};
};
/// The row of a refused commit was read.
struct ClaimRowRead
{
    OperationId operation{};
    std::optional<ClaimRow> row; ///< Empty if the row does not exist.
};
struct ClaimsLoaded
{
    OperationId operation{};
    Shard shard;
    std::vector<ClaimRow> rows;
};
struct ClaimsLoadFailed
{
    OperationId operation{};
    Shard shard;
};
struct DispatchTick
{
    WallTime wallNow{};
};
/// The node shuts down: it refuses new calls and finishes running ones.
struct DispatchDraining
{
};

using DispatchEvent =
        std::variant<CallReceived, TargetAnswered, AttemptFailed, PeerAnswered,
                     DispatchConfigurationChanged, DispatchViewChanged, DispatchLeasesChanged,
                     DispatchEnginesChanged, ClaimsCommitted, ClaimsCommitRefused,
                     ClaimsCommitUncertain, ClaimRowRead, ClaimsLoaded, ClaimsLoadFailed,
                     TargetsProbed, DispatchTick, DispatchDraining>;

// Actions

struct SendToTarget
{
    OperationId operation{};
    Target target;
    Call call;
    Time deadline{};
};
struct ForwardCall
{
    OperationId operation{};
    Node node;
    Call call;
    Time deadline{};
};
struct AnswerCall
{
    ReplyToken reply{};
    CallAnswer answer;
    bool forwarded = false; ///< The answer goes to another node, not to a caller.
};

/// Reports that the node has drained: no call is in flight and no claim is left to store.
struct DispatchDrained
{
};

using DispatchAction = std::variant<SendToTarget, ForwardCall, AnswerCall, CommitClaims,
                                    ReadClaimRow, LoadClaims, ProbeTargets, DispatchDrained>;

/// Identifies the claim that permits a call to be sent.
struct ClaimReference
{
    Shard shard;
    std::string identity;
};

/// One call that waits for a result or for a target.
struct InFlightCall
{
    CallAttempt attempt;
    std::uint32_t attemptCount = 1; ///< Number of sends and routings, the current one included.
    std::uint32_t priority = 0; ///< Set while the call is queued.
    std::optional<TargetId> target; ///< Empty for a call that was forwarded to a node.
    std::optional<ClaimReference> claim; ///< Set for a call sent under a claim of this node.
    NodeId forwardedTo; ///< The node that a call without a target was forwarded to.
};

/// The state of the dispatch duty.
struct DispatchState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::map<OperationId, InFlightCall> inFlight;
    /// This node's calls in flight at each target.
    std::map<TargetId, std::uint32_t> callsPerTarget;
    OperationId nextOperation{1};
    ClaimState claims;
    std::map<TargetId, TargetHealth> health;
    HealthSettings healthSettings;
    RetryBudget retryBudget;
    RandomSource random;
    std::map<ServiceName, AdmissionQueue> queues; ///< Order of the calls that wait for a target.
    std::map<OperationId, InFlightCall> queuedCalls; ///< Calls that wait for a target.
    /// Requests that were running when targets crashed. Each node keeps its own records.
    CrashSuspects suspects;
    /// Crashes of each target, which tell its incarnations apart: views hold no start times.
    std::map<TargetId, std::uint64_t> crashCounts;
    /// Calls whose retry waits for the check whether their target has crashed.
    std::multimap<OperationId, InFlightCall> awaitingChecks;
    bool draining = false; ///< The node is shutting down.
    bool drained = false; ///< `DispatchDrained` has been emitted.
};

/// \param writerId unique to this process; part of its write ids.
/// \return the state of a node without a configuration, which refuses every call as not ready.
DispatchState makeDispatchState(NodeId self, std::string writerId);

/// Handles one event and returns the actions to perform.
/// Complexity: linear in targets and nodes.
std::vector<DispatchAction> step(DispatchState &state, const DispatchEvent &event, Time now);

} // namespace geraniumpulley::core
