#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <string>

/// Messages between the nodes (MessagePack arrays; fields in the order of the structs).
namespace geraniumpulley::codec {

/// A call on its way to the node that serves it. Time left, not a moment, since clocks differ.
struct ForwardedCall
{
    core::Call call;
    core::Duration timeLeft{};
};

std::string encodePeer(const core::Announcement &announcement);
std::string encodePeer(const core::ConfigurationDocument &document);
std::string encodePeer(const core::RequestDocument &request, const core::Node &self);
std::string encodePeer(const core::DocumentPatch &patch, const core::Node &self);
std::string encodePeer(const ForwardedCall &forwarded);
std::string encodePeer(const core::CallAnswer &answer);
std::string encodePeer(const core::StepRequest &request);
std::string encodePeer(const core::StepAnswer &answer);

core::Result<core::Announcement> decodeAnnouncement(const std::string &bytes);
/// Parses the carried text as well; a text that does not parse is `Errc::WrongShape`.
core::Result<core::ConfigurationDocument> decodeDocument(const std::string &bytes);
core::Result<core::DocumentAsked> decodeDocumentRequest(const std::string &bytes);
core::Result<core::PatchReceived> decodePatch(const std::string &bytes);
core::Result<ForwardedCall> decodeForwardedCall(const std::string &bytes);
core::Result<core::CallAnswer> decodeCallAnswer(const std::string &bytes);
core::Result<core::StepRequest> decodeStepRequest(const std::string &bytes);
core::Result<core::StepAnswer> decodeStepAnswer(const std::string &bytes);

} // namespace geraniumpulley::codec
