#pragma once

#include <cstdint>
#include <string>

namespace geraniumpulley::core {

/// Rendezvous hashing: of all members the one with the highest score takes a key, so that a member
/// that comes or goes moves only its own keys.
std::uint64_t rendezvousScore(const std::string &key, const std::string &member);

} // namespace geraniumpulley::core
