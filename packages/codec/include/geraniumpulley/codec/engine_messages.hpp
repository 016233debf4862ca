#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/engines/engines.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>
#include <vector>

/// Messages about engines: load reports, weight orders, desired weights and the reports that nodes
/// exchange.
namespace geraniumpulley::codec {

/// Decodes the answer to `GET /load`; `receivedAt` is left unset.
core::Result<core::EngineReport> decodeLoadReport(const std::string &body,
                                                  const core::TargetId &target);

/// \return the body of `POST /weights` to an engine.
std::string encodeWeightOrder(const core::OrderWeights &order);
/// Interprets an engine's complete answer to a weight order.
core::WeightOrderResult decodeWeightOrderAnswer(std::uint32_t status, const std::string &body,
                                                core::WeightVersion orderedVersion);

struct ParsedWeightsUpdate
{
    core::ServiceName model;
    core::WeightVersion version{};
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the body is valid.
};

/// Parses the body of `POST /v1/weights`.
ParsedWeightsUpdate parseWeightsUpdate(const std::string &body);
std::string encodeWeightsAnswer(const core::AnswerWeights &answer);
/// \return the verdict's name in message bodies and logs, such as "accepted".
const char *nameOf(core::WeightsVerdict verdict);
const char *nameOf(core::WeightOrderResult result);

/// \return the request path that reads one row of the table service.
std::string rowPath(const std::string &key);
/// \return the key of the row that holds a model's desired weight version.
std::string weightsRowKey(const core::ServiceName &model);
/// \return the key of the row that holds the claim of an engine group's owner.
std::string groupClaimRowKey(const std::string &group);

TableTransaction weightsTransaction(const core::CommitWeights &commit);
TableTransaction claimTransaction(const core::WriteGroupClaim &claim);
/// Decodes the row that a request to `rowPath` returns; a missing row has version 0.
core::Result<core::DesiredWeights> decodeWeightsRow(const std::string &body);
core::Result<core::GroupClaimRead> decodeClaimRow(const std::string &body,
                                                  const std::string &group);

std::string encodePeer(const std::vector<core::EngineReport> &reports);
std::string encodePeer(const core::DesiredWeightsReceived &desired);
core::Result<std::vector<core::EngineReport>> decodeEngineReports(const std::string &bytes);
core::Result<core::DesiredWeightsReceived> decodeDesiredWeights(const std::string &bytes);

} // namespace geraniumpulley::codec
