#pragma once

#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <map>

namespace geraniumpulley::core {

/// The items of batches that need the targets of a service.
struct ServiceDemand
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    bool operator==(const ServiceDemand &) const = default;
};

/// The demand of the batches that one node owns.
struct DemandReport
{
    NodeId node;
    std::map<ServiceName, ServiceDemand> services;

    bool operator==(const DemandReport &) const = default;
};

} // namespace geraniumpulley::core
