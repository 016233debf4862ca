#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/sample.hpp>

#include <string>
#include <vector>

/// Message bodies of the trainers' interface (JSON).
namespace geraniumpulley::codec {

struct ParsedStepSpec
{
    core::StepSpec spec;
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the body is valid.
};

ParsedStepSpec parseStepSpec(const std::string &body);
/// \return the digest in the body of an acknowledgement, or `Errc::SchemaMismatch`.
core::Result<std::string> decodeAcknowledgement(const std::string &body);

/// Encodes samples of one step as an object of the object store.
std::string encodeSamples(const std::vector<std::pair<core::SampleSlot, core::Sample>> &samples);
core::Result<std::vector<std::pair<core::SampleSlot, core::Sample>>>
decodeSamples(const std::string &body, const core::StepId &id);

std::string encodeStepAnswer(const core::StepAnswer &answer);

/// \return the verdict's name in message bodies and logs, such as "ready".
const char *nameOf(core::StepVerdict verdict);

} // namespace geraniumpulley::codec
