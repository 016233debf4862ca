#pragma once

#include <geraniumpulley/core/configuration.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/lease_manager.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/core/view.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the control duty: which configuration is in force and who takes part.
namespace geraniumpulley::core {

/// What one node tells another about itself and what it knows.
struct Announcement
{
    Node sender;
    ConfigurationVersion version{};
    std::vector<Node> nodes;
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
                     StatusAsked, ControlTick, LeaseEvent>;

// Actions

struct CommitConfiguration
{
    OperationId operation{};
    ConfigurationDocument document;
    AuditEntry audit;
};
/// Reads the newest configuration when it is newer than `known`.
struct ReadConfiguration
{
    ConfigurationVersion known{};
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
};
struct AnswerStatus
{
    ReplyToken reply{};
    StatusQuestion question = StatusQuestion::Status;
    Node self;
    ConfigurationVersion version{};
    Duration inForceFor{};
    ViewPointer view;
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
                                   PutInForce, PublishView, LeaseAction>;

struct ControlSettings
{
    Node self;
    std::vector<std::string> seeds; ///< Peer addresses known from the settings.
    Duration silenceLimit = std::chrono::seconds(5); ///< A node not heard for longer is dropped.
};

struct PendingSubmission
{
    ReplyToken reply{};
    ConfigurationDocument document;
    bool uncertain = false; ///< The commit's answer was lost; the next read resolves it.
    bool refused = false; ///< The commit lost a race; the next read names the winner.
};

struct KnownNode
{
    Node node;
    Time lastHeard{};
};

struct ControlState
{
    ControlSettings settings;
    std::optional<ConfigurationDocument> inForce;
    Time inForceSince{};
    std::map<NodeId, KnownNode> nodes;
    std::vector<Target> targets;
    std::map<OperationId, PendingSubmission> submissions;
    OperationId nextOperation{1};
    LeaseState leases;
};

/// \return the state of a node that has heard nothing yet.
ControlState makeControlState(ControlSettings settings);

/// \return the version in force, or 0 when there is none.
ConfigurationVersion versionInForce(const ControlState &state);

/// Takes one event and returns what has to be done about it.
/// \param state changed in place. \param now this process's monotonic time.
/// Invariant: the version in force never falls.
/// Complexity: linear in known nodes.
std::vector<ControlAction> step(ControlState &state, const ControlEvent &event, Time now);

} // namespace geraniumpulley::core
