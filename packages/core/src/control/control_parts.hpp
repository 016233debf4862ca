#pragma once

#include <geraniumpulley/core/control/control.hpp>

#include <optional>
#include <vector>

/// The decisions of the control duty by subject. Each function changes the state and appends what
/// has to be done.
namespace geraniumpulley::core::detail {

using ControlActions = std::vector<ControlAction>;

// Submission

void submit(ControlState &state, const SubmissionReceived &event, Time now,
            ControlActions &actions);
void onCommitSucceeded(ControlState &state, OperationId operation, Time now,
                       ControlActions &actions);
void onCommitRefused(ControlState &state, OperationId operation, ControlActions &actions);
void onCommitUncertain(ControlState &state, OperationId operation);
void onSubmissionRead(ControlState &state, const SubmissionRead &event, Time now,
                      ControlActions &actions);
/// Sends what waited for the base; a base that the store does not have is refused there.
void onBaseRead(ControlState &state, ControlActions &actions);
/// Sends again what was lost, and ends submissions whose time is up.
void advanceSubmissions(ControlState &state, Time now, ControlActions &actions);

// Spread

/// Puts a document in force when it is newer, and tells other nodes but the one it came from.
void putInForce(ControlState &state, const ConfigurationDocument &document,
                const std::optional<Node> &from, Time now, ControlActions &actions);
void compareVersions(ControlState &state, const Node &peer, ConfigurationVersion version,
                     ControlActions &actions);
void answerDocumentRequest(const ControlState &state, const DocumentAsked &event,
                           ControlActions &actions);
void onPatch(ControlState &state, const PatchReceived &event, ControlActions &actions);
void pollStore(ControlState &state, Time now, ControlActions &actions);

// Membership

/// \return whether the view changed.
bool onAnnouncement(ControlState &state, const Announcement &announcement, Time now,
                    ControlActions &actions);
/// Suspects nodes that left a probe unanswered, drops old suspects. \return as above.
bool expireMembers(ControlState &state, Time now);
void probeMembers(ControlState &state, Time now, ControlActions &actions);
Announcement makeAnnouncement(ControlState &state, AnnouncementKind kind);
/// \return up to `count` live nodes, picked at random, without `excluded`.
std::vector<Node> pickNodes(ControlState &state, std::size_t count,
                            const std::optional<Node> &excluded);
/// \return whether a message to or from this node's peers still counts as a member's.
bool isLive(const KnownNode &known);
/// Takes the platform's list. \return whether the view changed.
bool onTargets(ControlState &state, const std::vector<Target> &targets);

} // namespace geraniumpulley::core::detail
