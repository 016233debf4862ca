#include <geraniumpulley/runtime/machine.hpp>

#include <malloc.h>
#include <unistd.h>

namespace geraniumpulley::runtime {

std::size_t machineMemory()
{
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES))
           * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// A body is allocated by one thread and freed by another. With an arena for each thread, and blocks
// of any size kept for later, freed memory of every kind of message adds up.
void limitAllocatorLoss()
{
    constexpr int maxArenas = 2;
    constexpr int largeBlockBytes = 64 * 1024;
    constexpr int keptBytes = 128 * 1024;
    mallopt(M_ARENA_MAX, maxArenas);
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptBytes);
}

} // namespace geraniumpulley::runtime
