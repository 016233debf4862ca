#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/fleet/fleet_target.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Assignment of the engines of a service to its models, so that each engine loads the weights of
/// one model only.
namespace geraniumpulley::core {

/// The model whose new versions each engine loads.
using EngineAssignments = std::map<TargetId, std::string>;

/// The expected number of output tokens of a batch, by model.
using ModelWork = std::map<std::string, double>;

/// \return the mean work of the known batches of each model.
ModelWork meanBatchWork(const BatchMap &batches);

/// \return for each model the highest of the minimum versions that its batches require.
WeightMap minWeightsOf(const BatchMap &batches);

/// \return the models that the engines report, in alphabetical order.
std::vector<std::string> modelsOf(const std::vector<const FleetTarget *> &engines);

/// Assigns engines to the models in proportion to their work, and at least one engine to each model
/// if there are enough. An engine keeps the model whose versions it has loaded, unless moving it
/// relieves the most loaded model by a wide margin.
/// \param engines the engines of one service.
/// \param work the work of each model; a model without an entry gets the mean of the others.
/// \param desired the newest version of each model.
/// Complexity: O(n log n) in the number of engines times models.
EngineAssignments assignEngines(const std::vector<const FleetTarget *> &engines,
                                const ModelWork &work, const WeightMap &desired);

} // namespace geraniumpulley::core
