#pragma once

#include <geraniumpulley/core/calls/admission.hpp>
#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/calls/claims.hpp>
#include <geraniumpulley/core/calls/retry_budget.hpp>
#include <geraniumpulley/core/calls/routing.hpp>
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

/// Decisions of the dispatch duty: where an application call runs and what its caller is told.
namespace geraniumpulley::core {

/// How far an attempt got that brought no whole answer.
enum class AttemptFailure {
    NotSent, ///< No byte left; the attempt did not run.
    Lost, ///< Bytes left and no whole answer came; it may have run.
};

// Events

struct CallReceived
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    bool forwarded = false; ///< Came from another node, which chose this one.
};
/// The whole answer of a target.
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
    AttemptFailure failure = AttemptFailure::Lost;
};
/// The answer of the node that a call was forwarded to.
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
struct ClaimsCommitted
{
    OperationId operation{};
};
/// The shard's fence was not the commit's.
struct ClaimsRefused
{
    OperationId operation{};
};
/// Nobody can tell whether a commit took effect, or a row could not be read.
struct ClaimsUncertain
{
    OperationId operation{};
};
struct ClaimRowRead
{
    OperationId operation{};
    std::optional<ClaimRow> row; ///< Nothing when there is no such row.
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
/// The node stops: new calls are refused, running ones finish.
struct DispatchDraining
{
};

using DispatchEvent =
        std::variant<CallReceived, TargetAnswered, AttemptFailed, PeerAnswered,
                     DispatchConfigurationChanged, DispatchViewChanged, DispatchLeasesChanged,
                     DispatchEnginesChanged, ClaimsCommitted, ClaimsRefused, ClaimsUncertain,
                     ClaimRowRead, ClaimsLoaded, ClaimsLoadFailed, DispatchTick, DispatchDraining>;

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
    bool forwarded = false; ///< The asker is another node, not a caller's connection.
};

/// The node drains and nothing is under way any more.
struct DispatchDrained
{
};

using DispatchAction = std::variant<SendToTarget, ForwardCall, AnswerCall, CommitClaims,
                                    ReadClaimRow, LoadClaims, DispatchDrained>;

/// Names the claim that a call runs under.
struct ClaimedCall
{
    Shard shard;
    std::string identity;
};

/// One call that waits for an attempt's result.
struct CallInFlight
{
    CallAttempt attempt;
    std::uint32_t tries = 1;
    std::uint32_t priority = 0; ///< Set while it is queued.
    std::optional<TargetId> target; ///< Nothing while the holder of the claim's shard has it.
    std::optional<ClaimedCall> claim; ///< Set where a claim of this node is sent.
    NodeId holder; ///< That the call was forwarded to, where it has no target.
};

struct DispatchState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::map<OperationId, CallInFlight> inFlight;
    std::map<TargetId, std::uint32_t> load; ///< Calls of this node at each target.
    OperationId nextOperation{1};
    ClaimState claims;
    std::map<TargetId, TargetHealth> health;
    HealthSettings healthSettings;
    RetryBudget retryBudget;
    RandomSource random;
    std::map<ServiceName, AdmissionQueue> queues; ///< Calls that wait for a target.
    std::map<OperationId, CallInFlight> queued;
    bool draining = false;
    bool drained = false;
};

/// \param writerId unique to this process; names its writes.
/// \return the state of a node without configuration; it refuses every call as not ready.
DispatchState makeDispatchState(NodeId self, std::string writerId);

/// Takes one event and returns what has to be done about it.
/// Complexity: linear in targets and nodes.
std::vector<DispatchAction> step(DispatchState &state, const DispatchEvent &event, Time now);

} // namespace geraniumpulley::core
