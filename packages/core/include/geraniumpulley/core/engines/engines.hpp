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

/// Decisions of the engines duty: what the engines report, and how each is brought to the desired
/// version of its weights.
namespace geraniumpulley::core {

/// What the row of a model's desired weights holds.
struct DesiredWeights
{
    WeightVersion version{};
    std::uint64_t rowVersion = 0; ///< Of the table; 0 while there is no row.
};

enum class WeightsVerdict {
    Accepted, ///< The desired version is the asked one.
    Lower, ///< A higher version is desired already.
    Unknown, ///< The store did not say; ask again.
    UnknownModel,
};

enum class WeightOrderResult {
    Done, ///< The engine serves the ordered version or a higher one.
    Failed, ///< The engine refused it or gave it up.
    OldFence, ///< The engine has taken an order with a higher fencing number.
    Lost, ///< Nobody can tell; the engine's reports will.
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
struct LoadHeard
{
    EngineReport report; ///< Its `heardAt` is set by `step`.
};
struct LoadPollFailed
{
    TargetId target;
};
struct WeightOrderAnswered
{
    TargetId target;
    WeightVersion version{};
    WeightOrderResult result = WeightOrderResult::Lost;
};
struct ReportsAsked
{
    ReplyToken reply{};
};
struct PeerReportsHeard
{
    std::vector<EngineReport> reports; ///< Their ages include the answering node's own.
};
struct WeightsPosted
{
    ReplyToken reply{};
    ServiceName model;
    WeightVersion version{};
};
struct WeightsCommitted
{
    ServiceName model;
    WeightVersion version{};
    std::uint64_t rowVersion = 0;
};
struct WeightsRead
{
    ServiceName model;
    DesiredWeights stored;
};
struct DesiredWeightsHeard
{
    ServiceName model;
    WeightVersion version{};
};
/// The row of a group's owner as the store has it.
struct GroupClaimRead
{
    std::string key;
    std::string claim; ///< Empty while there is no row.
    std::uint64_t rowVersion = 0;
};
/// The read or write of a claim brought no answer.
struct GroupClaimUnread
{
    std::string key;
};
struct EnginesTick
{
};

using EnginesEvent =
        std::variant<EnginesConfigurationChanged, EnginesViewChanged, LoadHeard, LoadPollFailed,
                     WeightOrderAnswered, ReportsAsked, PeerReportsHeard, WeightsPosted,
                     WeightsCommitted, WeightsRead, DesiredWeightsHeard, GroupClaimRead,
                     GroupClaimUnread, EnginesTick>;

// Actions

struct PollLoad
{
    Target target;
};
struct OrderWeights
{
    Target target;
    WeightVersion version{}; ///< The engine is to serve this version or a higher one.
    FencingNumber fence{};
    std::string source; ///< Address of an engine to copy from; empty means the weight store.
};
struct AskReports
{
    Node node;
};
struct AnswerReports
{
    ReplyToken reply{};
    std::vector<EngineReport> reports; ///< Their ages are as of now.
};
struct PublishReports
{
    EngineReportsPointer reports;
};
/// Writes the desired version on condition of the row's version, then reads the row.
struct CommitWeights
{
    ServiceName model;
    WeightVersion version{};
    std::uint64_t rowVersion = 0;
};
struct ReadWeights
{
    ServiceName model;
};
struct AnswerWeights
{
    ReplyToken reply{};
    WeightsVerdict verdict = WeightsVerdict::Unknown;
    WeightVersion desired{};
};
struct SendDesiredWeights
{
    Node to;
    ServiceName model;
    WeightVersion version{};
};
struct ReadGroupClaim
{
    std::string key;
};
/// Writes this node's claim on condition of the row's version, then reads the row.
struct WriteGroupClaim
{
    std::string key;
    std::string claim;
    std::uint64_t rowVersion = 0;
};
/// Tells operators that an engine stays behind until a later retry.
struct EngineGivenUp
{
    TargetId target;
    WeightVersion version{};
    std::uint32_t failures = 0;
};

using EnginesAction =
        std::variant<PollLoad, OrderWeights, AskReports, AnswerReports, PublishReports,
                     CommitWeights, ReadWeights, AnswerWeights, SendDesiredWeights, ReadGroupClaim,
                     WriteGroupClaim, EngineGivenUp>;

struct EnginesSettings
{
    NodeId self;
    std::string process; ///< Unique for each start of a process.
    Duration silenceLimit = std::chrono::seconds(5); ///< As the membership's.
    Duration pollPeriod = std::chrono::seconds(1); ///< Of one engine, while there are few.
    Duration pollSpacing = std::chrono::milliseconds(250); ///< Between polls of all engines.
    Duration peerPeriod = std::chrono::seconds(3); ///< Of asking one other owner.
    Duration desiredPeriod = std::chrono::seconds(5); ///< Of reading the desired rows.
    Duration claimCheckPeriod = std::chrono::seconds(2); ///< Well below `silenceLimit`.
    Duration drainLimit = std::chrono::milliseconds(1500);
    bool relays = true; ///< Loaded engines feed others.
};

enum class SwapPhase { Idle, Draining, Ordered };

/// What an owner knows of one engine of its groups.
struct EngineRecord
{
    std::optional<EngineReport> report;
    Time firstSeen{}; ///< When this node began to own it.
    Time nextPoll{};
    bool polling = false;
    Time loadingSince{}; ///< Since when its reports say that it loads weights.
    SwapPhase phase = SwapPhase::Idle;
    Time phaseSince{};
    WeightVersion ordered{};
    std::string source; ///< Of the swap under way; empty means the weight store.
    bool answerLost = false;
    Time confirmedAt{}; ///< Of its last finished order; reports measured before lag behind it.
    std::uint32_t failures = 0;
    Time retryAt{};
};

/// This node's hold on a group that it owns: a claim in the table, checked again and again.
struct GroupHold
{
    std::string claim;
    bool held = false;
    FencingNumber fence{};
    Time usableFrom{}; ///< A former holder has found out by then that it lost the group.
    Time checkedAt{}; ///< When the last read was sent that showed our claim.
    Time readSentAt{};
    bool reading = false;
    Time nextRead{};
    Time notBefore{}; ///< Of writing the claim.
    std::optional<Time> starvedSince; ///< Since when no source had the desired weights.
    Time nextFeederAsk{};
};

struct PendingWeights
{
    ReplyToken reply{};
    ServiceName model;
    WeightVersion version{};
    Time deadline{};
};

struct EnginesState
{
    EnginesSettings settings;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    std::vector<EngineGroup> groups;
    std::map<std::string, GroupHold> holds; ///< Of the groups that this node owns.
    std::map<TargetId, EngineRecord> engines; ///< Of the groups that this node owns.
    std::map<TargetId, EngineReport> heard; ///< From other nodes.
    std::map<ServiceName, DesiredWeights> desired;
    std::vector<PendingWeights> pending;
    std::vector<Node> asked; ///< Other owners whose reports this node asks for.
    std::size_t nextAsked = 0; ///< Position in the rotation over the owners that are asked.
    Time nextPeers{};
    Time nextDesired{};
    std::uint64_t claims = 0; ///< Made so far; keeps claims of one process apart.
    bool changed = false; ///< Reports differ from those last published.
    bool publishNow = false; ///< Because an engine began or ended to take no new work.
};

EnginesState makeEnginesState(EnginesSettings settings);

/// Takes one event and returns what has to be done about it.
/// Invariants: a desired version never falls; an order is never lower than the engine's report;
/// no second order goes to an engine while one is under way.
/// Complexity: linear in the engines of owned groups and in the reports heard.
std::vector<EnginesAction> step(EnginesState &state, const EnginesEvent &event, Time now);

/// Brings the engines of the owned groups towards the desired versions. Called by `step`.
void reconcileWeights(EnginesState &state, Time now, std::vector<EnginesAction> &actions);

/// \return whether this node may send orders to a group at `now`.
bool isUsable(const EnginesState &state, const EngineGroup &group, Time now);

/// \return for how long an engine may go without a report and still count as heard.
Duration reportLimit(const EnginesState &state);

/// \return the reports of owned engines, with draining and ordered ones marked as swapping.
std::vector<EngineReport> ownReports(const EnginesState &state);

} // namespace geraniumpulley::core
