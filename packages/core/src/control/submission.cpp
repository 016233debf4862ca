#include "control_handlers.hpp"

#include <utility>

namespace geraniumpulley::core::detail {
namespace {

using Submissions = std::map<OperationId, PendingSubmission>;

void answer(const PendingSubmission &pending, SubmissionVerdict verdict,
            ConfigurationVersion version, const std::string &author, ControlActions &actions)
{
    actions.push_back(AnswerSubmission{
            pending.reply, verdict, version, author, pending.document.submissionId, {}});
}

void commit(const ControlState &state, OperationId operation, PendingSubmission &pending,
            ControlActions &actions)
{
    pending.stage = SubmissionStage::Committing;
    const Configuration empty;
    const bool hasBase = state.inForce && state.inForce->version == pending.audit.base;
    const Configuration &base =
            hasBase && state.inForce->configuration ? *state.inForce->configuration : empty;
    if (pending.audit.changes.empty() && pending.document.configuration)
        pending.audit.changes = difference(base, *pending.document.configuration);
    actions.push_back(CommitConfiguration{operation, pending.document, pending.audit});
}

void refuse(const PendingSubmission &pending, const ConfigurationDocument &acceptedDocument,
            ControlActions &actions)
{
    AnswerSubmission refusal{
            pending.reply,           SubmissionVerdict::Conflict,   acceptedDocument.version,
            acceptedDocument.author, pending.document.submissionId, {}};
    if (acceptedDocument.configuration && pending.document.configuration)
        refusal.differences =
                difference(*acceptedDocument.configuration, *pending.document.configuration);
    actions.push_back(std::move(refusal));
}

} // namespace

void onSubmissionReceived(ControlState &state, const SubmissionReceived &event, Time now,
                          ControlActions &actions)
{
    const OperationId operation = state.nextOperation;
    state.nextOperation = next(operation);
    PendingSubmission pending;
    pending.reply = event.reply;
    pending.document = event.document;
    pending.document.version = next(event.base);
    pending.audit.version = pending.document.version;
    pending.audit.base = event.base;
    pending.audit.author = event.document.author;
    pending.audit.submissionId = event.document.submissionId;
    pending.audit.digest = digestOf(event.document.text);
    pending.audit.submittedAt = event.submittedAt;
    pending.deadline = now + state.settings.submissionTimeout;
    // The audit entry lists the changes against the base, so the base must be known first.
    if (event.base > versionInForce(state)) {
        pending.stage = SubmissionStage::AwaitingBase;
        actions.push_back(ReadConfiguration{});
    } else {
        commit(state, operation, pending, actions);
    }
    state.submissions.emplace(operation, std::move(pending));
}

void onCommitSucceeded(ControlState &state, OperationId operation, Time now,
                       ControlActions &actions)
{
    auto entry = state.submissions.extract(operation);
    if (entry.empty())
        return;
    const PendingSubmission &pending = entry.mapped();
    applyConfiguration(state, pending.document, std::nullopt, now, actions);
    answer(pending, SubmissionVerdict::Accepted, pending.document.version, pending.document.author,
           actions);
}

// The store refuses a commit if another submission was accepted first, or if an earlier attempt of
// this submission was. The row of the submission distinguishes the two cases.
void onCommitRefused(ControlState &state, OperationId operation, ControlActions &actions)
{
    const auto position = state.submissions.find(operation);
    if (position == state.submissions.end())
        return;
    position->second.stage = SubmissionStage::Refused;
    actions.push_back(ReadSubmission{operation, position->second.document.submissionId});
}

void onCommitUncertain(ControlState &state, OperationId operation)
{
    const auto position = state.submissions.find(operation);
    if (position != state.submissions.end())
        position->second.stage = SubmissionStage::Uncertain;
}

void onSubmissionRead(ControlState &state, const SubmissionRead &event, Time now,
                      ControlActions &actions)
{
    const auto position = state.submissions.find(event.operation);
    if (position == state.submissions.end())
        return;
    PendingSubmission &pending = position->second;
    // A read that shows neither the submission nor a newer version predates the refusal.
    const ConfigurationDocument newest = event.newest.value_or(ConfigurationDocument{});
    if (!event.acceptedVersion && newest.version == pending.audit.base)
        return;
    const PendingSubmission completed = std::move(pending);
    state.submissions.erase(position);
    applyConfiguration(state, newest, std::nullopt, now, actions);
    if (event.acceptedVersion)
        answer(completed, SubmissionVerdict::Accepted, *event.acceptedVersion,
               completed.document.author, actions);
    else
        refuse(completed, newest, actions);
}

void onBaseRead(ControlState &state, ControlActions &actions)
{
    for (auto &[operation, pending] : state.submissions) {
        if (pending.stage == SubmissionStage::AwaitingBase)
            commit(state, operation, pending, actions);
    }
}

void advanceSubmissions(ControlState &state, Time now, ControlActions &actions)
{
    std::vector<OperationId> expired;
    for (auto &[operation, pending] : state.submissions) {
        if (now >= pending.deadline) {
            answer(pending, SubmissionVerdict::Unknown, {}, {}, actions);
            expired.push_back(operation);
        } else if (pending.stage == SubmissionStage::Refused) {
            actions.push_back(ReadSubmission{operation, pending.document.submissionId});
        } else if (pending.stage == SubmissionStage::Uncertain) {
            commit(state, operation, pending, actions);
        } else if (pending.stage == SubmissionStage::AwaitingBase) {
            actions.push_back(ReadConfiguration{});
        }
    }
    for (const OperationId operation : expired)
        state.submissions.erase(operation);
}

} // namespace geraniumpulley::core::detail
