#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/engines/engines.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>
#include <vector>

/// Messages about engines: their load and weight orders, desired weights, reports between nodes.
namespace geraniumpulley::codec {

/// Decodes the answer of `GET /load`; `heardAt` is not set.
core::Result<core::EngineReport> decodeLoad(const std::string &body, const core::TargetId &target);

/// \return the body of `POST /weights` to an engine.
std::string encodeWeightOrder(const core::OrderWeights &order);
/// Reads an engine's whole answer to a weight order.
core::WeightOrderResult decodeWeightOrderAnswer(std::uint32_t status, const std::string &body,
                                                core::WeightVersion ordered);

struct ParsedWeights
{
    core::ServiceName model;
    core::WeightVersion version{};
    std::vector<core::ConfigurationProblem> problems; ///< Empty when the body is well formed.
};

/// Parses the body of `POST /v1/weights`.
ParsedWeights parseWeights(const std::string &body);
std::string encodeWeightsAnswer(const core::AnswerWeights &answer);
/// \return the name that bodies and logs carry, such as "accepted".
const char *nameOf(core::WeightsVerdict verdict);
const char *nameOf(core::WeightOrderResult result);

/// \return the path that reads one row of the table.
std::string rowPath(const std::string &key);
std::string weightsRowKey(const core::ServiceName &model);
std::string claimRowKey(const std::string &group);

TableTransaction weightsTransaction(const core::CommitWeights &commit);
TableTransaction claimTransaction(const core::WriteGroupClaim &claim);
/// Decodes the rows that `rowPath` brings; no row reads as version 0.
core::Result<core::DesiredWeights> decodeWeightsRow(const std::string &body);
core::Result<core::GroupClaimRead> decodeClaimRow(const std::string &body,
                                                  const std::string &group);

std::string encodePeer(const std::vector<core::EngineReport> &reports);
std::string encodePeer(const core::DesiredWeightsHeard &desired);
core::Result<std::vector<core::EngineReport>> decodeEngineReports(const std::string &bytes);
core::Result<core::DesiredWeightsHeard> decodeDesiredWeights(const std::string &bytes);

} // namespace geraniumpulley::codec
