#pragma once

#include <cstddef>

namespace geraniumpulley::core {

/// Limits on the memory that a node holds for its callers, in bytes. Each kind has a share of its
/// own, so that none uses up that of another.
struct MemoryBudget
{
    std::size_t requests = 0; ///< Requests until their responses are written.
    std::size_t unreadResponses = 0; ///< Responses that callers have not read.
    std::size_t targetResponses = 0; ///< Incomplete responses of targets to callers' requests.
    std::size_t engineResponses = 0; ///< Incomplete responses of engines to batch items.
    std::size_t storeResponses = 0; ///< Incomplete responses of the store.
    std::size_t batches = 0; ///< Batches, without the texts of their items.
};

/// \param machineBytes memory of the machine.
/// \return shares that leave room for the rest of the process.
MemoryBudget makeMemoryBudget(std::size_t machineBytes);

} // namespace geraniumpulley::core
