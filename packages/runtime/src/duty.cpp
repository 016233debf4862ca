#include <geraniumpulley/runtime/duty.hpp>

#include <pthread.h>

namespace geraniumpulley::runtime {

namespace {
constexpr std::size_t maxThreadNameBytes = 15; // The limit of Linux, without the terminator.
}

void setThreadName(const std::string &name)
{
    pthread_setname_np(pthread_self(), name.substr(0, maxThreadNameBytes).c_str());
}

} // namespace geraniumpulley::runtime
