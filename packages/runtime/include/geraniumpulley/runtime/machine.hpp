#pragma once

#include <cstddef>

namespace geraniumpulley::runtime {

/// \return the memory of the machine, in bytes.
std::size_t machineMemory();

/// Makes the allocator return freed memory to the system. Called once, before threads start.
void limitAllocatorLoss();

} // namespace geraniumpulley::runtime
