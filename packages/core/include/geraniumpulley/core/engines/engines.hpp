#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/engines/engine_group.hpp>
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

/// Decision logic of the engines duty, which collects the engines' reports and brings each engine
/// to the desired weight version.
namespace geraniumpulley::core {

/// The row of a model's desired weights in the store.
struct DesiredWeights
{
    WeightVersion version{};
    std::uint64_t rowVersion = 0; ///< Version of the row; 0 when there is no row.
};

/// The result of a request to change a model's desired version.
enum class WeightsVerdict {
    Accepted, ///< The requested version is now the desired one.
    Lower, ///< The desired version is already higher.
    Unknown, ///< The store did not answer; the request has to be repeated.
    UnknownModel,
};

/// The result of a weight order to an engine.
enum class WeightOrderResult {
    Done, ///< The engine serves the ordered version or a higher one.
    Failed, ///< The engine refused or aborted the load.
    StaleFencingToken, ///< The engine has accepted an order with a higher fencing token.
    Lost, ///< The answer was lost; the engine's reports will show the result.
};

// Events

struct EnginesConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};
struct EnginesViewChanged
{
    ViewPointer view;
};
/// An engine has answered a load poll.
struct LoadReportReceived
{
    EngineReport report; ///< Report without `receivedAt`, which `step` sets.
};
/// A load poll ended without a report.
struct LoadPollFailed
{
    TargetId target;
};
/// A weight order has ended.
struct WeightOrderCompleted
{
    TargetId target;
    WeightVersion version{};
    WeightOrderResult result = WeightOrderResult::Lost;
};
/// Another node requests the reports of this node's engines.
struct ReportsRequested
{
    ReplyToken reply{};
};
/// Another node has sent the reports of its engines.
struct PeerReportsReceived
{
    std::vector<EngineReport> reports; ///< Reports with their ages when the peer sent them.
};
/// A client requests a new desired version.
struct WeightsUpdateRequested
{
    ReplyToken reply{};
    ServiceName model;
    WeightVersion version{};
};
/// The desired version was committed to the store.
struct WeightsCommitted
{
    ServiceName model;
    WeightVersion version{};
    std::uint64_t rowVersion = 0;
};
/// The row of the desired weights was read.
struct WeightsRead
{
    ServiceName model;
    DesiredWeights stored;
};
/// Another node has reported a desired version.
struct DesiredWeightsReceived
{
    ServiceName model;
    WeightVersion version{};
};
/// The row with the claim of a group's owner was read.
struct GroupClaimRead
{
    std::string key;
    std::string claim; ///< Empty when there is no row.
    std::uint64_t rowVersion = 0;
};
/// The row with a group's claim could not be read.
struct GroupClaimReadFailed
{
    std::string key;
};
/// A periodic timer has fired.
struct EnginesTick
{
};

using EnginesEvent =
        std::variant<EnginesConfigurationChanged, EnginesViewChanged, LoadReportReceived,
                     LoadPollFailed, WeightOrderCompleted, ReportsRequested, PeerReportsReceived,
                     WeightsUpdateRequested, WeightsCommitted, WeightsRead, DesiredWeightsReceived,
                     GroupClaimRead, GroupClaimReadFailed, EnginesTick>;

// Actions

/// Requests a load report from an engine.
struct PollLoad
{
    Target target;
};
/// Orders an engine to load a weight version.
struct OrderWeights
{
    Target target;
    WeightVersion version{}; ///< Minimum version that the engine has to serve.
    FencingToken fence{};
    std::string source; ///< Address of the engine to copy from; empty for the weight store.
    /// The order is not sent after this time, at which this node may have lost the group.
    Time sendBefore{};
};
/// Requests the reports of another node's engines.
struct RequestReports
{
    Node node;
};
/// Sends this node's reports to the node that requested them.
struct SendReports
{
    ReplyToken reply{};
    std::vector<EngineReport> reports; ///< Reports with their ages at this moment.
};
/// Publishes all known reports to the other duties of this node.
struct PublishReports
{
    EngineReportsPointer reports;
};
/// Writes the desired version if the row still has the given version, otherwise reads the row.
struct CommitWeights
{
    ServiceName model;
    WeightVersion version{};
    std::uint64_t rowVersion = 0;
};
/// Reads the row of a model's desired weights.
struct ReadWeights
{
    ServiceName model;
};
/// Answers a request to change the desired version.
struct AnswerWeights
{
    ReplyToken reply{};
    WeightsVerdict verdict = WeightsVerdict::Unknown;
    WeightVersion desired{};
};
/// Sends a desired version to another owner.
struct SendDesiredWeights
{
    Node to;
    ServiceName model;
    WeightVersion version{};
};
/// Reads the row with a group's claim.
struct ReadGroupClaim
{
    std::string key;
};
/// Writes this node's claim if the row still has the given version, then reads the row.
struct WriteGroupClaim
{
    std::string key;
    std::string claim;
    std::uint64_t rowVersion = 0;
};
/// Reports to operators that an engine keeps its old version until a later retry.
struct EngineGivenUp
{
    TargetId target;
    WeightVersion version{};
    std::uint32_t failures = 0;
};

using EnginesAction =
        std::variant<PollLoad, OrderWeights, RequestReports, SendReports, PublishReports,
                     CommitWeights, ReadWeights, AnswerWeights, SendDesiredWeights, ReadGroupClaim,
                     WriteGroupClaim, EngineGivenUp>;

/// Settings of the engines duty.
struct EnginesSettings
{
    NodeId self;
    /// Identifies this process; unique per process start.
    std::string processIncarnation;
    /// Time without a confirmed claim after which an owner stops sending orders; equal to the
    /// silence timeout of the membership.
    Duration silenceTimeout = std::chrono::seconds(5);
    /// The end of that time in which nothing is sent, so that orders on their way arrive within it.
    Duration transitMargin = std::chrono::milliseconds(500);
    /// Minimum poll period of one engine.
    Duration pollPeriod = std::chrono::seconds(1);
    /// Time between two polls of any engines, which limits the poll rate of a node with many
    /// engines.
    Duration pollSpacing = std::chrono::milliseconds(250);
    /// Period of requesting the reports of one other owner.
    Duration peerReportsPeriod = std::chrono::seconds(3);
    /// Period of reading the rows of the desired versions.
    Duration desiredReadPeriod = std::chrono::seconds(5);
    /// Period of checking a claim; well below `silenceTimeout`.
    Duration claimCheckPeriod = std::chrono::seconds(2);
    /// Maximum time for which an engine drains before it is ordered to load.
    Duration drainTimeout = std::chrono::milliseconds(1500);
    /// Whether an engine may copy weights from an engine that has loaded them.
    bool peerCopyEnabled = true;
};

/// The stage of an engine's weight swap.
enum class SwapPhase { Idle, Draining, Ordered };

/// What the owner of a group knows about one of its engines.
struct EngineRecord
{
    std::optional<EngineReport> report;
    Time ownedSince{}; ///< When this node became the owner.
    Time nextPollAt{}; ///< When the next load poll is due.
    bool pollInFlight = false; ///< A load poll is in flight.
    Time loadingSince{}; ///< When its reports first showed the current load.
    SwapPhase phase = SwapPhase::Idle;
    Time phaseSince{}; ///< When `phase` changed or the order's answer was lost.
    WeightVersion orderedVersion{}; ///< Version of the latest order.
    std::string source; ///< Weight source of the current swap; empty for the weight store.
    bool answerLost = false; ///< The answer to the current order was lost.
    Time orderCompletedAt{}; ///< When the last order completed; older reports lag behind it.
    std::uint32_t consecutiveFailures = 0; ///< Failed orders since the last success.
    Time retryAt{}; ///< No swap starts before this time.
};

/// This node's claim on a group that it owns, stored in the table and checked periodically.
struct GroupClaim
{
    std::string value; ///< Value of this claim in the table.
    bool held = false; ///< The table holds this claim.
    FencingToken fence{}; ///< Fencing token of the orders sent under this claim.
    /// Start of the time in which orders may be sent. Without fencing checks at the engines, the
    /// previous owner has stopped sending orders by then.
    Time usableFrom{};
    Time checkedAt{}; ///< When the latest read that confirmed this claim was sent.
    Time readSentAt{}; ///< When the latest read or write was sent.
    bool readInFlight = false; ///< A read or write of the row is in flight.
    Time nextReadAt{}; ///< When the next read of the row is due.
    Time nextClaimAt{}; ///< The claim is not written before this time.
    std::optional<Time> noSourceSince; ///< Since when no weight source is available.
    Time nextReportsRequestAt{}; ///< When the source group's owner may be asked again.
};

/// A request to change the desired version that has not been answered.
struct PendingWeightsUpdate
{
    ReplyToken reply{};
    ServiceName model;
    WeightVersion version{};
    Time deadline{};
};

/// The state of the engines duty on one node.
struct EnginesState
{
    EnginesSettings settings;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    std::vector<EngineGroup> groups;
    std::map<std::string, GroupClaim> groupClaims; ///< Claims on the groups owned by this node.
    std::map<TargetId, EngineRecord> engines; ///< Engines of the groups owned by this node.
    std::map<TargetId, EngineReport> peerReports; ///< Reports received from other nodes.
    std::map<ServiceName, DesiredWeights> desiredWeights;
    std::vector<PendingWeightsUpdate> pendingUpdates;
    std::vector<Node> reportingPeers; ///< Owners from which this node requests reports.
    std::size_t nextPeerIndex = 0; ///< Position in `reportingPeers` of the last request.
    Time nextReportsRequestAt{}; ///< When the next request for reports is due.
    Time nextDesiredReadAt{}; ///< When the next read of the desired versions is due.
    std::uint64_t claimCount = 0; ///< Number of claims made; makes each claim of a process unique.
    bool reportsChanged = false; ///< The reports differ from those published last.
    /// Whether the reports are published after the current event: at a tick if they have changed,
    /// and at once when an engine leaves or returns to service.
    bool publishDue = false;
};

/// \return the state of a node without a configuration.
EnginesState makeEnginesState(EnginesSettings settings);

/// Applies one event to the state. \return the actions to perform in response.
/// Invariants: a desired version never decreases; an order never asks for a version lower than the
/// engine's report shows; an engine never has more than one order in flight.
/// Complexity: linear in the engines of owned groups and in the reports received.
std::vector<EnginesAction> step(EnginesState &state, const EnginesEvent &event, Time now);

/// Advances the weight swaps of the owned groups towards the desired versions. Called by `step`.
void reconcileWeights(EnginesState &state, Time now, std::vector<EnginesAction> &actions);

/// \return whether this node may send orders to the engines of a group at `now`.
bool isUsable(const EnginesState &state, const EngineGroup &group, Time now);

/// \return the maximum age of an engine's latest report before the engine counts as silent.
Duration reportTimeout(const EnginesState &state);

/// \return the reports of the owned engines; those that drain or have an order are marked as
/// swapping.
std::vector<EngineReport> ownReports(const EnginesState &state);

} // namespace geraniumpulley::core
