#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/sample.hpp>

#include <string>
#include <vector>

/// Bodies of the trainers' interface (JSON).
namespace geraniumpulley::codec {

struct ParsedStepOrder
{
    core::StepOrder order;
    std::vector<core::ConfigurationProblem> problems; ///< Empty when the order is well formed.
};

ParsedStepOrder parseStepOrder(const std::string &body);
/// \return the digest that an acknowledgement's body names, or `Errc::WrongShape`.
core::Result<std::string> decodeAcknowledgement(const std::string &body);

/// Samples of one step as the object store keeps them.
std::string encodeSamples(const std::vector<std::pair<core::SampleSlot, core::Sample>> &samples);
core::Result<std::vector<std::pair<core::SampleSlot, core::Sample>>>
decodeSamples(const std::string &body, const core::StepId &id);

std::string encodeStepAnswer(const core::StepAnswer &answer);

/// \return the name that bodies and logs carry, such as "ready".
const char *nameOf(core::StepVerdict verdict);

} // namespace geraniumpulley::codec
