#pragma once

#include <geraniumpulley/core/control/control.hpp>

#include <string>
#include <vector>

/// Bodies of the operators' surface (JSON).
namespace geraniumpulley::codec {

struct ParsedSubmission
{
    core::ConfigurationVersion base{};
    core::ConfigurationDocument document; ///< Its version is not set.
    std::vector<core::ConfigurationProblem> problems; ///< Empty when it may be submitted.
};

/// Parses the body of `POST /configuration` and the text inside it.
ParsedSubmission parseSubmission(const std::string &body);

/// \return the body that `parseSubmission` takes.
std::string encodeSubmission(core::ConfigurationVersion base,
                             const core::ConfigurationDocument &document);

std::string encodeProblems(const std::vector<core::ConfigurationProblem> &problems);
std::string encodeSubmissionAnswer(const core::AnswerSubmission &answer);
std::string encodeStatus(const core::AnswerStatus &answer);
std::string encodeReadiness(const core::AnswerStatus &answer);

/// Turns the store's rows into the trail, oldest first; rows that do not parse stay as text.
std::string encodeAuditTrail(const std::string &rows);

/// \return the name that bodies and logs carry, such as "accepted".
const char *nameOf(core::SubmissionVerdict verdict);
/// \return the HTTP status of a submission's answer.
std::uint32_t httpStatus(core::SubmissionVerdict verdict);

} // namespace geraniumpulley::codec
