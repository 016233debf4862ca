#include <geraniumpulley/runtime/machine.hpp>

#include <unistd.h>

namespace geraniumpulley::runtime {

std::size_t machineMemory()
{
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES))
           * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace geraniumpulley::runtime
