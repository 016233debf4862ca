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

/// Decisions of the control duty: which configuration is in force and who takes part.
namespace geraniumpulley::core {

enum class MemberState { Alive, Suspect, Dead };

/// News about one node. A higher incarnation wins, then a higher refutation, then the worse state.
struct MemberUpdate
{
    Node node;
    MemberState state = MemberState::Alive;
    std::uint64_t refutation = 0; ///< Raised by the node itself when it is suspected.

    auto operator<=>(const MemberUpdate &) const = default;
};

enum class AnnouncementKind {
    Probe, ///< Asks for an acknowledgement.
    Acknowledgement,
    News, ///< Only tells the version in force.
};

/// What one node tells another about itself and what it knows. Its size does not grow with the
/// number of nodes, but for the answer to a node that joins.
struct Announcement
{
    Node sender;
    ConfigurationVersion version{};
    std::vector<Node> nodes; ///< All live nodes; only for a node that joins.
    AnnouncementKind kind = AnnouncementKind::Probe;
    std::uint64_t refutation = 0; ///< The sender's own.
    std::vector<MemberUpdate> updates;
    std::vector<TargetId> leaving; ///< Targets that became leaving lately.
};

/// A configuration as a difference from the version before.
struct DocumentPatch
{
    ConfigurationVersion version{};
    ConfigurationVersion base{};
    std::string submissionId;
    std::string author;
    TextPatch text;
};

/// One line of the audit trail, written in the transaction that accepts a configuration.
struct AuditEntry
{
    ConfigurationVersion version{};
    ConfigurationVersion base{};
    std::string author;
    std::string submissionId;
    std::string digest;
    WallTime when{};
    std::vector<ConfigurationChange> changes; ///< From the base to this version.
};

enum class SubmissionVerdict {
    Accepted,
    Conflict, ///< Another submission won; `version` and `author` tell which.
    Unknown, ///< The store did not say; ask again with the same submission id.
};

// Events

struct SubmissionReceived
{
    ReplyToken reply{};
    ConfigurationVersion base{};
    ConfigurationDocument document; ///< Its version is assigned here.
    WallTime when{};
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
/// The store's newest configuration; empty when none was ever submitted.
struct ConfigurationRead
{
    std::optional<ConfigurationDocument> document;
};
/// The version of the store's newest configuration; 0 when there is none.
struct HeadRead
{
    ConfigurationVersion version{};
};
/// What the store knows of one submission, and its newest configuration.
struct SubmissionRead
{
    OperationId operation{};
    std::optional<ConfigurationVersion> acceptedAs;
    std::optional<ConfigurationDocument> newest;
};
struct SubmissionReadFailed
{
    OperationId operation{};
};
/// A read of the store got no answer.
struct StoreUnanswered
{
};
struct DocumentAsked
{
    Node from;
    ConfigurationVersion known{};
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
enum class StatusQuestion { Status, Readiness };

struct StatusAsked
{
    ReplyToken reply{};
    StatusQuestion question = StatusQuestion::Status;
};
struct ControlTick
{
};

using ControlEvent =
        std::variant<SubmissionReceived, CommitSucceeded, CommitRefused, CommitUncertain,
                     ConfigurationRead, TargetsListed, AnnouncementReceived, DocumentReceived,
                     StatusAsked, ControlTick, LeaseEvent, HeadRead, SubmissionRead,
                     SubmissionReadFailed, StoreUnanswered, DocumentAsked, PatchReceived>;

// Actions

struct CommitConfiguration
{
    OperationId operation{};
    ConfigurationDocument document;
    AuditEntry audit;
};
/// Reads the version of the newest configuration, a small row.
struct ReadHead
{
};
/// Reads the newest configuration.
struct ReadConfiguration
{
};
/// Reads whether a submission was accepted, and the newest configuration.
struct ReadSubmission
{
    OperationId operation{};
    std::string submissionId;
};
struct RequestDocument
{
    Node to;
    ConfigurationVersion known{};
};
struct SendPatch
{
    Node to;
    DocumentPatch patch;
};
/// Parses the text and gives the whole document back as `DocumentReceived`.
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
    std::vector<ConfigurationChange> differences; ///< From the winner to the refused text.
};

/// What a node last told about itself.
struct MemberStatus
{
    Node node;
    MemberState state = MemberState::Alive;
    ConfigurationVersion version{};
    Duration silentFor{};
};

struct AnswerStatus
{
    ReplyToken reply{};
    StatusQuestion question = StatusQuestion::Status;
    Node self;
    ConfigurationVersion version{};
    Duration inForceFor{};
    ViewPointer view;
    std::vector<MemberStatus> members;
    std::optional<Duration> storeSilentFor; ///< Nothing when it never answered.
    bool replaced = false; ///< A newer process runs under this node's id.
    std::vector<Shard> shards; ///< Held by this node.
};
struct PutInForce
{
    ConfigurationDocument document;
};
struct PublishView
{
    ViewPointer view;
};

using ControlAction = std::variant<CommitConfiguration, ReadConfiguration, ListTargets,
                                   SendAnnouncement, SendDocument, AnswerSubmission, AnswerStatus,
                                   PutInForce, PublishView, LeaseAction, ReadHead, ReadSubmission,
                                   RequestDocument, SendPatch, ParseDocument>;

struct ControlSettings
{
    Node self;
    std::vector<std::string> seeds; ///< Peer addresses known from the settings.
    Duration suspicion = std::chrono::seconds(3); ///< A suspect may refute for this long.
    Duration forgetAfter = std::chrono::minutes(10); ///< Dead nodes are tried again until then.
    Duration pollPeriod = std::chrono::milliseconds(1500); ///< Between two reads of the head row.
    Duration submissionLimit = std::chrono::seconds(10); ///< Then the verdict is unknown.
    std::size_t newsFanOut = 4; ///< Nodes that are told of a new version at once.
    std::size_t maxUpdates = 6; ///< Member updates in one message.
};

enum class SubmissionStage {
    WaitsForBase, ///< The base is newer than the version in force.
    Committing,
    AnswerLost, ///< The same transaction is sent again; it can commit only once.
    Refused, ///< The store tells why.
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
    Time lastHeard{};
    MemberState state = MemberState::Alive;
    std::uint64_t refutation = 0;
    Time stateSince{};
    std::optional<Time> probed; ///< When the probe that is still unanswered was sent.
    ConfigurationVersion version{};
    std::size_t tellsLeft = 0; ///< Messages that still carry the news about this node.
};

struct ControlState
{
    ControlSettings settings;
    std::optional<ConfigurationDocument> inForce;
    std::optional<ConfigurationDocument> previous; ///< What patches are made from.
    Time inForceSince{};
    std::map<NodeId, KnownNode> nodes;
    std::vector<Target> targets;
    std::map<OperationId, PendingSubmission> submissions;
    OperationId nextOperation{1};
    LeaseState leases;
    std::map<TargetId, std::size_t> leaving; ///< Messages that still carry the news.
    std::vector<NodeId> probeOrder;
    std::uint64_t refutation = 0;
    std::size_t selfTellsLeft = 0;
    std::uint64_t random = 0; ///< State of the generator that picks peers.
    std::uint64_t ticks = 0;
    std::optional<Time> lastPoll;
    std::optional<Time> storeAnswered;
    bool replaced = false; ///< A newer process runs under this node's id.
};

/// \return the state of a node that has heard nothing yet.
ControlState makeControlState(ControlSettings settings);

/// The store counts as not reached when it has not answered for longer.
inline constexpr Duration storeSilenceLimit = std::chrono::seconds(5);

/// \return why the node must not serve, or nothing when it may.
std::optional<std::string> notReadyReason(const AnswerStatus &status);

/// \return the version in force, or 0 when there is none.
ConfigurationVersion versionInForce(const ControlState &state);

/// Takes one event and returns what has to be done about it.
/// \param state changed in place. \param now this process's monotonic time.
/// Invariant: the version in force never falls.
/// Complexity: constant messages for each event; linear in known nodes for a change of the view.
std::vector<ControlAction> step(ControlState &state, const ControlEvent &event, Time now);

} // namespace geraniumpulley::core
