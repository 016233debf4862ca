#pragma once

#include <geraniumpulley/core/control/control.hpp>

#include <string>
#include <vector>

/// Message bodies of the operators' interface (JSON).
namespace geraniumpulley::codec {

struct ParsedSubmission
{
    core::ConfigurationVersion base{};
    core::ConfigurationDocument document; ///< Its version is left unset.
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the body is valid.
};

/// Parses the body of `POST /configuration` and the configuration text that it contains.
ParsedSubmission parseSubmission(const std::string &body);

/// \return the body of `POST /configuration`, which `parseSubmission` parses.
std::string encodeSubmission(core::ConfigurationVersion base,
                             const core::ConfigurationDocument &document);

std::string encodeProblems(const std::vector<core::ConfigurationProblem> &problems);
std::string encodeSubmissionAnswer(const core::AnswerSubmission &answer);
std::string encodeStatus(const core::AnswerStatus &answer);
std::string encodeReadiness(const core::AnswerStatus &answer);

/// Encodes the audit rows of the store as the audit trail, oldest first. A row that is not valid
/// JSON is included as a string.
std::string encodeAuditTrail(const std::string &rows);

/// \return the verdict's name in message bodies and logs, such as "accepted".
const char *nameOf(core::SubmissionVerdict verdict);
/// \return the HTTP status of the answer to a submission.
std::uint32_t httpStatus(core::SubmissionVerdict verdict);

} // namespace geraniumpulley::codec
