#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/fleet/fleet_target.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How the engines of a service are shared out between its models, so that each engine has to load
/// the weights of one model only.
namespace geraniumpulley::core {

/// The model that each engine loads new versions of.
using EngineShares = std::map<TargetId, std::string>;

/// Expected output tokens of a batch, by model.
using ModelWork = std::map<std::string, double>;

/// \return the mean over the batches that are known of each model.
ModelWork workOfBatches(const BatchMap &batches);

/// \return the highest least version that the batches of each model ask for.
WeightMap leastWeightsOf(const BatchMap &batches);

/// \return the models that the engines know, in order.
std::vector<std::string> modelsOf(const std::vector<const FleetTarget *> &engines);

/// Gives each model engines in proportion to its work, at least one while there are enough. An
/// engine stays with the model whose versions it has followed, unless a move takes much work off
/// the most loaded model.
/// \param engines of one service. \param work of a model without batches counts as the mean of the
/// others. \param desired the newest version of each model.
/// Complexity: engines times models, times a logarithm.
EngineShares shareEngines(const std::vector<const FleetTarget *> &engines, const ModelWork &work,
                          const WeightMap &desired);

} // namespace geraniumpulley::core
