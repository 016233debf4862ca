#include <geraniumpulley/core/rendezvous.hpp>

#include <xxhash.h>

namespace geraniumpulley::core {

std::uint64_t rendezvousScore(const std::string &key, const std::string &member)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(member.data(), member.size()));
}

} // namespace geraniumpulley::core
