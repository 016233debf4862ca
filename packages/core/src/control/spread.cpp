#include "control_parts.hpp"

#include <utility>

namespace geraniumpulley::core::detail {

// Lower and equal versions are ignored, because messages may be late, duplicated or out of order.
void putInForce(ControlState &state, const ConfigurationDocument &document,
                const std::optional<Node> &from, Time now, ControlActions &actions)
{
    if (document.version <= versionInForce(state))
        return;
    state.previous = std::exchange(state.inForce, document);
    state.inForceSince = now;
    actions.push_back(PutInForce{document});
    for (const Node &node : pickNodes(state, state.settings.newsFanOut, from))
        actions.push_back(SendAnnouncement{node, makeAnnouncement(state, AnnouncementKind::News)});
}

// Only a node that lacks a version requests it, so each text is sent to each node once.
void compareVersions(ControlState &state, const Node &peer, ConfigurationVersion version,
                     ControlActions &actions)
{
    const ConfigurationVersion own = versionInForce(state);
    if (version > own)
        actions.push_back(RequestDocument{peer, own});
    else if (version < own)
        actions.push_back(SendAnnouncement{peer, makeAnnouncement(state, AnnouncementKind::News)});
}

void answerDocumentRequest(const ControlState &state, const DocumentAsked &event,
                           ControlActions &actions)
{
    if (!state.inForce || state.inForce->version <= event.known)
        return;
    if (!state.previous || state.previous->version != event.known) {
        actions.push_back(SendDocument{event.from, *state.inForce});
        return;
    }
    const ConfigurationDocument &document = *state.inForce;
    actions.push_back(SendPatch{event.from,
                                {document.version, event.known, document.submissionId,
                                 document.author, makePatch(state.previous->text, document.text)}});
}

void onPatch(ControlState &state, const PatchReceived &event, ControlActions &actions)
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
    if (state.lastPoll && now - *state.lastPoll < state.settings.pollPeriod)
        return;
    state.lastPoll = now;
    actions.push_back(ReadHead{});
    actions.push_back(ListTargets{});
}

} // namespace geraniumpulley::core::detail
