#pragma once

#include <geraniumpulley/core/control/control.hpp>

#include <optional>
#include <vector>

/// Event handlers of the control duty, grouped by subject. Each function updates the state and
/// appends the resulting actions.
namespace geraniumpulley::core::detail {

using ControlActions = std::vector<ControlAction>;

// Submission

void onSubmissionReceived(ControlState &state, const SubmissionReceived &event, Time now,
                          ControlActions &actions);
void onCommitSucceeded(ControlState &state, OperationId operation, Time now,
                       ControlActions &actions);
void onCommitRefused(ControlState &state, OperationId operation, ControlActions &actions);
void onCommitUncertain(ControlState &state, OperationId operation);
void onSubmissionRead(ControlState &state, const SubmissionRead &event, Time now,
                      ControlActions &actions);
/// Commits the submissions that were waiting for their base. The store refuses a submission whose
/// base it does not have.
void onBaseRead(ControlState &state, ControlActions &actions);
/// Resends unanswered requests and ends the submissions whose deadline has passed.
void advanceSubmissions(ControlState &state, Time now, ControlActions &actions);

// Dissemination

/// Applies a document if it is newer than the one in force, and notifies other nodes, except the
/// node from which the document came.
void applyConfiguration(ControlState &state, const ConfigurationDocument &document,
                        const std::optional<Node> &from, Time now, ControlActions &actions);
/// Requests a newer document from the peer, or notifies a peer that has an older one.
void reconcileVersions(ControlState &state, const Node &peer, ConfigurationVersion version,
                       ControlActions &actions);
void onDocumentRequested(const ControlState &state, const DocumentRequested &event,
                         ControlActions &actions);
void onPatchReceived(ControlState &state, const PatchReceived &event, ControlActions &actions);
void pollStore(ControlState &state, Time now, ControlActions &actions);

// Membership

/// \return whether the view changed.
bool onAnnouncementReceived(ControlState &state, const Announcement &announcement, Time now,
                            ControlActions &actions);
/// Marks nodes with an unanswered probe as suspect, suspects as dead after the suspicion timeout,
/// and removes dead nodes after the retention time. \return whether the view changed.
bool expireMembers(ControlState &state, Time now);
void probeMembers(ControlState &state, Time now, ControlActions &actions);
Announcement makeAnnouncement(ControlState &state, AnnouncementKind kind);
/// \return up to `count` live nodes, selected at random, without `excluded`.
std::vector<Node> selectRandomNodes(ControlState &state, std::size_t count,
                                    const std::optional<Node> &excluded);
/// \return whether the node is part of the view; suspected nodes are, dead ones are not.
bool isLive(const KnownNode &known);
/// Processes the target list of the platform. \return whether the view changed.
bool onTargetsListed(ControlState &state, const std::vector<Target> &targets);

} // namespace geraniumpulley::core::detail
