#pragma once

#include <cstdint>
#include <string>

namespace geraniumpulley::core {

/// The score of rendezvous hashing: each key belongs to the member with the highest score, so that
/// adding or removing a member moves only the keys of that member.
std::uint64_t rendezvousScore(const std::string &key, const std::string &member);

} // namespace geraniumpulley::core
