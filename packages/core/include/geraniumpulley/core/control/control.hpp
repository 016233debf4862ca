#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/configuration/text_patch.hpp>
#include <geraniumpulley/core/control/lease_manager.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the control duty: configuration submissions, the dissemination of the accepted
/// configuration, and membership.
namespace geraniumpulley::core {

enum class MemberState { Alive, Suspect, Dead };

/// A membership update about one node. Of two updates the one with the higher incarnation takes
/// precedence, then the higher refutation number, then the worse state.
struct MemberUpdate
{
    Node node;
    MemberState state = MemberState::Alive;
    std::uint64_t refutation = 0; ///< Incremented by the node to refute a suspicion.

    auto operator<=>(const MemberUpdate &) const = default;
};

enum class AnnouncementKind {
    Probe, ///< Requests an acknowledgement.
    Acknowledgement,
    VersionNotice, ///< Reports the version in force and expects no reply.
};

/// A gossip message between two nodes. Its size does not grow with the number of nodes, except in
/// the acknowledgement to a joining node.
struct Announcement
{
    Node sender;
    ConfigurationVersion version{};
    std::vector<Node> nodes; ///< All live nodes; filled only for a joining node.
    AnnouncementKind kind = AnnouncementKind::Probe;
    std::uint64_t refutation = 0; ///< The refutation number of the sender.
    std::vector<MemberUpdate> updates;
    std::vector<TargetId> leavingTargets; ///< Targets that recently started to leave.
};

/// A configuration, encoded as a patch against an earlier version.
struct DocumentPatch
{
    ConfigurationVersion version{};
    ConfigurationVersion base{};
    std::string submissionId;
    std::string author;
    TextPatch text;
};

/// One entry of the audit log, written in the transaction that accepts a configuration.
struct AuditEntry
{
    ConfigurationVersion version{};
    ConfigurationVersion base{};
    std::string author;
    std::string submissionId;
    std::string digest;
    WallTime submittedAt{};
    std::vector<ConfigurationChange> changes; ///< Differences between the base and this version.
};

enum class SubmissionVerdict {
    Accepted,
    Conflict, ///< Another submission was accepted first; the answer names its version and author.
    Unknown, ///< The store did not answer in time; retry with the same submission id.
};

// Events

struct SubmissionReceived
{
    ReplyToken reply{};
    ConfigurationVersion base{};
    ConfigurationDocument document; ///< The version is assigned by the control duty.
    WallTime submittedAt{};
};
struct CommitSucceeded
{
    OperationId operation{};
};
struct CommitRefused
{
    OperationId operation{};
};
struct CommitUncertain
{
    OperationId operation{};
};
/// Carries the newest configuration of the store; empty when none was ever accepted.
struct ConfigurationRead
{
    std::optional<ConfigurationDocument> document;
};
/// Carries the version of the newest configuration in the store; 0 when there is none.
struct HeadRead
{
    ConfigurationVersion version{};
};
/// Carries the outcome of one submission and the newest configuration of the store.
struct SubmissionRead
{
    OperationId operation{};
    std::optional<ConfigurationVersion> acceptedVersion; ///< Empty when not accepted.
    std::optional<ConfigurationDocument> newest;
};
struct SubmissionReadFailed
{
    OperationId operation{};
};
/// Reports that the store did not answer a read.
struct StoreReadFailed
{
};
struct DocumentRequested
{
    Node from;
    ConfigurationVersion knownVersion{};
};
struct PatchReceived
{
    Node from;
    DocumentPatch patch;
};
struct TargetsListed
{
    std::vector<Target> targets;
};
struct AnnouncementReceived
{
    Announcement announcement;
};
struct DocumentReceived
{
    ConfigurationDocument document;
};
enum class StatusQuery { Status, Readiness };

struct StatusRequested
{
    ReplyToken reply{};
    StatusQuery query = StatusQuery::Status;
};
struct ControlTick
{
};

using ControlEvent =
        std::variant<SubmissionReceived, CommitSucceeded, CommitRefused, CommitUncertain,
                     ConfigurationRead, TargetsListed, AnnouncementReceived, DocumentReceived,
                     StatusRequested, ControlTick, LeaseEvent, HeadRead, SubmissionRead,
                     SubmissionReadFailed, StoreReadFailed, DocumentRequested, PatchReceived>;

// Actions

struct CommitConfiguration
{
    OperationId operation{};
    ConfigurationDocument document;
    AuditEntry audit;
};
/// Reads the version of the newest configuration, which is a small row.
struct ReadHead
{
};
/// Reads the newest configuration.
struct ReadConfiguration
{
};
/// Reads the outcome of a submission and the newest configuration.
struct ReadSubmission
{
    OperationId operation{};
    std::string submissionId;
};
struct RequestDocument
{
    Node to;
    ConfigurationVersion knownVersion{};
};
struct SendPatch
{
    Node to;
    DocumentPatch patch;
};
/// Parses the text; the complete document comes back as `DocumentReceived`.
struct ParseDocument
{
    ConfigurationDocument document;
};
struct ListTargets
{
};
struct SendAnnouncement
{
    Node to;
    Announcement announcement;
};
struct SendDocument
{
    Node to;
    ConfigurationDocument document;
};
struct AnswerSubmission
{
    ReplyToken reply{};
    SubmissionVerdict verdict = SubmissionVerdict::Unknown;
    ConfigurationVersion version{};
    std::string author;
    std::string submissionId;
    /// Changes from the accepted to the refused text.
    std::vector<ConfigurationChange> differences;
};

/// The last known status of another node.
struct MemberStatus
{
    Node node;
    MemberState state = MemberState::Alive;
    ConfigurationVersion version{};
    Duration silentFor{}; ///< Time since the last message from the node.
};

struct AnswerStatus
{
    ReplyToken reply{};
    StatusQuery query = StatusQuery::Status;
    Node self;
    ConfigurationVersion version{};
    Duration inForceFor{};
    ViewPointer view;
    std::vector<MemberStatus> members;
    std::optional<Duration> storeSilentFor; ///< Empty when the store has never answered.
    bool replaced = false; ///< Whether a newer process runs under this node's id.
    std::vector<Shard> shards; ///< Shards held by this node.
};
/// Applies the document, which has become the configuration in force, in this process.
struct ApplyConfiguration
{
    ConfigurationDocument document;
};
struct PublishView
{
    ViewPointer view;
};

using ControlAction = std::variant<CommitConfiguration, ReadConfiguration, ListTargets,
                                   SendAnnouncement, SendDocument, AnswerSubmission, AnswerStatus,
                                   ApplyConfiguration, PublishView, LeaseAction, ReadHead,
                                   ReadSubmission, RequestDocument, SendPatch, ParseDocument>;

struct ControlSettings
{
    Node self;
    std::vector<std::string> seeds; ///< Peer addresses from the settings file.
    Duration suspicionTimeout = std::chrono::seconds(3); ///< Time for a suspect to refute.
    Duration deadNodeRetention = std::chrono::minutes(10); ///< Time to keep probing a dead node.
    Duration pollPeriod = std::chrono::milliseconds(1500); ///< Time between reads of the head row.
    Duration submissionTimeout = std::chrono::seconds(10); ///< Time until the verdict is unknown.
    std::size_t gossipFanOut = 4; ///< Nodes that are notified of a new version directly.
    std::size_t maxUpdatesPerMessage = 6; ///< Maximum number of member updates in one message.
};

enum class SubmissionStage {
    AwaitingBase, ///< The base is newer than the version in force and is being read.
    Committing,
    Uncertain, ///< The outcome is unknown; a resent transaction commits at most once.
    Refused, ///< The store refused the commit; the cause is being read.
};

struct PendingSubmission
{
    ReplyToken reply{};
    ConfigurationDocument document;
    AuditEntry audit;
    SubmissionStage stage = SubmissionStage::Committing;
    Time deadline{};
};

struct KnownNode
{
    Node node;
    Time lastSeenAt{};
    MemberState state = MemberState::Alive;
    std::uint64_t refutation = 0;
    Time stateSince{};
    std::optional<Time> probeSentAt; ///< Send time of the unanswered probe, if any.
    ConfigurationVersion version{};
    std::size_t remainingTransmissions = 0; ///< Messages yet to carry the update.
};

struct ControlState
{
    ControlSettings settings;
    std::optional<ConfigurationDocument> inForce;
    std::optional<ConfigurationDocument> previousDocument; ///< Base of outgoing patches.
    Time inForceSince{};
    std::map<NodeId, KnownNode> nodes;
    std::vector<Target> targets;
    std::map<OperationId, PendingSubmission> submissions;
    OperationId nextOperation{1};
    LeaseState leases;
    /// Leaving targets, each with the number of messages that are yet to carry its update.
    std::map<TargetId, std::size_t> leavingTransmissions;
    std::vector<NodeId> probeOrder; ///< Nodes left to probe in this round, last first.
    std::uint64_t refutation = 0; ///< The refutation number of this node.
    std::size_t remainingSelfTransmissions = 0; ///< Messages yet to carry the refutation.
    std::uint64_t randomState = 0; ///< State of the pseudo-random generator that selects peers.
    std::uint64_t tickCount = 0;
    std::optional<Time> lastPolledAt;
    std::optional<Time> storeAnsweredAt;
    bool replaced = false; ///< Whether a newer process runs under this node's id.
};

/// \return the state of a node that has not received any message.
ControlState makeControlState(ControlSettings settings);

/// Time since the last answer after which the store counts as unreachable.
inline constexpr Duration storeSilenceTimeout = std::chrono::seconds(5);

/// \return the reason why the node is not ready to serve, or nothing when the node is ready.
std::optional<std::string> notReadyReason(const AnswerStatus &status);

/// \return the version in force, or 0 when there is none.
ConfigurationVersion versionInForce(const ControlState &state);

/// Processes one event and returns the actions to perform.
/// \param state is updated in place. \param now is the monotonic time of this process.
/// Invariant: the version in force never decreases.
/// Complexity: a constant number of messages for each event; linear in known nodes when the view
/// changes.
std::vector<ControlAction> step(ControlState &state, const ControlEvent &event, Time now);

} // namespace geraniumpulley::core
