#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <string>

/// Messages between nodes (MessagePack arrays whose elements are in the order of the struct
/// fields).
namespace geraniumpulley::codec {

/// A call that is forwarded to the node that serves it. It carries the remaining time instead of a
/// deadline, since the nodes' clocks differ.
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
/// Decodes a document and parses its text; an invalid text gives `Errc::SchemaMismatch`.
core::Result<core::ConfigurationDocument> decodeDocument(const std::string &bytes);
core::Result<core::DocumentRequested> decodeDocumentRequest(const std::string &bytes);
core::Result<core::PatchReceived> decodePatch(const std::string &bytes);
core::Result<ForwardedCall> decodeForwardedCall(const std::string &bytes);
core::Result<core::CallAnswer> decodeCallAnswer(const std::string &bytes);
core::Result<core::StepRequest> decodeStepRequest(const std::string &bytes);
core::Result<core::StepAnswer> decodeStepAnswer(const std::string &bytes);

} // namespace geraniumpulley::codec
