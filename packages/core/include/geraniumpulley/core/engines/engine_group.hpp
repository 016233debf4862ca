#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Groups of engines. Each group has one node as its owner, which keeps the engines' weights at the
/// desired version.
namespace geraniumpulley::core {

/// Average number of engines per group in a large service.
inline constexpr std::size_t engineGroupSize = 20;

/// One group of engines of a model.
struct EngineGroup
{
    std::string key; ///< Key of the group's row, whose version is the fencing token.
    ServiceName model;
    std::uint32_t index = 0; ///< Position among the groups of the model.
    NodeId owner;
    std::vector<Target> engines; ///< Engines of the group that are not leaving.
};

/// Partitions the engines of each model into groups and assigns each group an owner by rendezvous
/// hashing. A group stays within one data centre if every data centre has enough engines for a
/// group. Complexity: O(n g) for n engines and g groups per data centre.
std::vector<EngineGroup> groupEngines(const Configuration &configuration, const View &view);

/// \return how many of `engines` may be out of service for a swap at the same time. At least 1,
/// because otherwise a very small group would never get new weights.
std::size_t maxConcurrentSwaps(const Service &service, std::size_t engines);

/// Divides the concurrent loads that the weight store serves among the groups of a model.
/// \return the number of loads for one group; may be 0 when there are more groups than loads.
std::uint32_t groupStoreLoads(const Service &service, std::uint32_t group, std::uint32_t groups);

/// \return the index of the group whose engines are the weight sources for a group without loads
/// from the weight store.
std::uint32_t sourceGroupIndex(const Service &service, std::uint32_t group);

} // namespace geraniumpulley::core
