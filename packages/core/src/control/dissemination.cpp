#include "control_handlers.hpp"

#include <utility>

namespace geraniumpulley::core::detail {

// Lower and equal versions are ignored, because messages may be late, duplicated or out of order.
void applyConfiguration(ControlState &state, const ConfigurationDocument &document,
                        const std::optional<Node> &from, Time now, ControlActions &actions)
{
    if (document.version <= versionInForce(state))
        return;
    state.previousDocument = std::exchange(state.inForce, document);
    state.inForceSince = now;
    actions.push_back(ApplyConfiguration{document});
    for (const Node &node : selectRandomNodes(state, state.settings.gossipFanOut, from))
        actions.push_back(
                SendAnnouncement{node, makeAnnouncement(state, AnnouncementKind::VersionNotice)});
}

// Only a node that lacks a version requests it, so each text is sent to each node once.
void reconcileVersions(ControlState &state, const Node &peer, ConfigurationVersion version,
                       ControlActions &actions)
{
    const ConfigurationVersion own = versionInForce(state);
    if (version > own)
        actions.push_back(RequestDocument{peer, own});
    else if (version < own)
        actions.push_back(
                SendAnnouncement{peer, makeAnnouncement(state, AnnouncementKind::VersionNotice)});
}

void onDocumentRequested(const ControlState &state, const DocumentRequested &event,
                         ControlActions &actions)
{
    if (!state.inForce || state.inForce->version <= event.knownVersion)
        return;
    if (!state.previousDocument || state.previousDocument->version != event.knownVersion) {
        actions.push_back(SendDocument{event.from, *state.inForce});
        return;
    }
    const ConfigurationDocument &document = *state.inForce;
    actions.push_back(
            SendPatch{event.from,
                      {document.version, event.knownVersion, document.submissionId, document.author,
                       makePatch(state.previousDocument->text, document.text)}});
}

void onPatchReceived(ControlState &state, const PatchReceived &event, ControlActions &actions)
{
    const DocumentPatch &patch = event.patch;
    if (patch.version <= versionInForce(state))
        return;
    std::optional<std::string> text;
    if (state.inForce && state.inForce->version == patch.base)
        text = applyPatch(state.inForce->text, patch.text);
    if (!text) {
        actions.push_back(RequestDocument{event.from, {}});
        return;
    }
    actions.push_back(ParseDocument{
            {patch.version, patch.submissionId, patch.author, std::move(*text), nullptr}});
}

void pollStore(ControlState &state, Time now, ControlActions &actions)
{
    if (state.lastPolledAt && now - *state.lastPolledAt < state.settings.pollPeriod)
        return;
    state.lastPolledAt = now;
    actions.push_back(ReadHead{});
    actions.push_back(ListTargets{});
}

} // namespace geraniumpulley::core::detail
