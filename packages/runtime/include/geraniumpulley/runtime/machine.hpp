#pragma once

#include <cstddef>

namespace geraniumpulley::runtime {

/// \return the memory of the machine, in bytes.
std::size_t machineMemory();

} // namespace geraniumpulley::runtime
