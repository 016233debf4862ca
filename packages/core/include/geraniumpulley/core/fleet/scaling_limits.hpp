#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace geraniumpulley::core {

/// The limits within which the targets of a service are ordered, and their prices.
struct ScalingLimits
{
    /// The numbers of targets in each data centre, reclaimable ones included.
    std::uint32_t minTargets = 0;
    std::uint32_t maxTargets = 0;
    Duration bootTime{}; ///< The time from an order until a new target serves.
    /// The price of a target that the provider may take back, as a share of that of the others;
    /// unset if there are none.
    std::optional<double> reclaimablePrice;
    /// The relative price of a target by data centre; 1 where none is stated.
    std::map<std::string, double> dataCentrePrices;
};

} // namespace geraniumpulley::core
