#pragma once

#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// What identifies a call that may not be repeated, over all of its attempts.
namespace geraniumpulley::core {

/// How long a key counts, from its making; a derived key counts from its first claim. It is not
/// configurable, because a longer window would accept keys whose claims are already deleted.
inline constexpr Duration keyWindow = std::chrono::minutes(10);

/// The identity of a request: customer, service and key, unambiguously joined.
struct ClaimKey
{
    std::string identity;
    std::uint64_t digest = 0; ///< Of method, path and body; tells a reused key from a retry.
    std::optional<WallTime> madeAt; ///< When the client made the key; nothing for a derived key.

    auto operator<=>(const ClaimKey &) const = default;
};

/// Reads the age out of a key of the form `<unix seconds>-<random>`, the random part being 8 to
/// 100 letters, digits, '_' or '-'.
/// \return when the key was made, or nothing when it is malformed. Complexity: linear in the key.
std::optional<WallTime> keyTime(const std::string &idempotencyKey);

/// \return the identity of a call, or nothing when its key is malformed. A call without a key gets
/// one derived from customer, service, method, path and body. Complexity: linear in the call.
std::optional<ClaimKey> claimKeyOf(const Call &call);

} // namespace geraniumpulley::core
