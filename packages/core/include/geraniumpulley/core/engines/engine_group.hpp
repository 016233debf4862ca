#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Groups of engines whose weights one node, the group's owner, keeps at the desired version.
namespace geraniumpulley::core {

/// Engines that a group holds on average in a large service.
inline constexpr std::size_t engineGroupSize = 20;

struct EngineGroup
{
    std::string key; ///< Names the row that carries its fencing number.
    ServiceName model;
    std::uint32_t index = 0; ///< Among the groups of the model.
    NodeId owner;
    std::vector<Target> engines; ///< Those that are not leaving.
};

/// Divides the engines of each model into groups, by data centre where every data centre can fill
/// one, and gives each group an owner by rendezvous hashing.
/// Complexity: engines times groups of a data centre.
std::vector<EngineGroup> groupEngines(const Configuration &configuration, const View &view);

/// \return how many of `engines` may be out of service for a swap; at least 1, because a group too
/// small for its share would never get new weights.
std::size_t swapAllowance(const Service &service, std::size_t engines);

/// Divides the loads that the weight store serves at a time among the groups of a model.
/// \return the loads of one group; 0 where groups outnumber loads.
std::uint32_t storeLoadsOf(const Service &service, std::uint32_t group, std::uint32_t groups);

/// \return the group whose loaded engines feed a group that has no loads of its own.
std::uint32_t feedingGroup(const Service &service, std::uint32_t group);

} // namespace geraniumpulley::core
