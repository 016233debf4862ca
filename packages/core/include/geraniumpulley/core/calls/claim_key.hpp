#pragma once

#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// Identifies a call that must not be repeated, over all of its attempts.
namespace geraniumpulley::core {

/// How long an idempotency key is valid after its creation; a derived key is valid from its first
/// claim. Not configurable: a longer lifetime would accept keys whose claims are already deleted.
inline constexpr Duration keyLifetime = std::chrono::minutes(10);

/// Identifies a request and its content.
struct ClaimKey
{
    std::string identity; ///< Customer, service and key, joined unambiguously.
    std::uint64_t digest = 0; ///< Hash of method, path and body; tells a retry from a reused key.
    /// When the client created the key; empty for a derived key.
    std::optional<WallTime> createdAt;

    auto operator<=>(const ClaimKey &) const = default;
};

/// Parses the creation time of a key of the form `<unix seconds>-<random>`, where the random part
/// is 8 to 100 letters, digits, '_' or '-'.
/// \return the creation time, or nothing if the key is malformed. Complexity: linear in the key.
std::optional<WallTime> keyCreationTime(const std::string &idempotencyKey);

/// \return the key of a call's claim, or nothing if the call's idempotency key is malformed. A call
/// without a key gets one derived from customer, service, method, path and body.
/// Complexity: linear in the call.
std::optional<ClaimKey> claimKeyOf(const Call &call);

} // namespace geraniumpulley::core
