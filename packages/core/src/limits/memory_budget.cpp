#include <geraniumpulley/core/limits/memory_budget.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr std::size_t megabyte = 1024 * 1024;

// More than this is of no use to callers, however large the machine is.
constexpr MemoryBudget largestBudget{.requests = 40 * megabyte,
                                     .unreadResponses = 24 * megabyte,
                                     .targetResponses = 24 * megabyte,
                                     .engineResponses = 24 * megabyte,
                                     .storeResponses = 24 * megabyte,
                                     .batches = 64 * megabyte};

} // namespace

// A third of the smallest machine (120 MB) holds one body of the largest size that operators allow
// (32 MiB). The shares together leave a fifth of the machine to the rest of the process
// and to the loss of the allocator.
MemoryBudget makeMemoryBudget(std::size_t machineBytes)
{
    return {.requests = std::min(machineBytes / 3, largestBudget.requests),
            .unreadResponses = std::min(machineBytes / 10, largestBudget.unreadResponses),
            .targetResponses = std::min(machineBytes / 10, largestBudget.targetResponses),
            .engineResponses = std::min(machineBytes / 20, largestBudget.engineResponses),
            .storeResponses = std::min(machineBytes / 10, largestBudget.storeResponses),
            .batches = std::min(machineBytes / 12, largestBudget.batches)};
}

} // namespace geraniumpulley::core
