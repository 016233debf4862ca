#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Compact differences between two texts.
namespace geraniumpulley::core {

/// Replaces the part between the common prefix and the common suffix of two texts.
struct TextPatch
{
    std::uint64_t prefixBytes = 0;
    std::uint64_t suffixBytes = 0;
    std::string replacement; ///< New text between prefix and suffix.
    std::string digest; ///< Digest of the complete new text.
};

/// \return a digest for detecting differences between texts; the digest is not cryptographic.
std::string digestOf(const std::string &text);

/// \return the patch that turns `from` into `to`. Complexity: linear in the length of the texts.
TextPatch makePatch(const std::string &from, const std::string &to);

/// \return the new text, or nothing when the patch was made for a different text.
std::optional<std::string> applyPatch(const std::string &from, const TextPatch &patch);

} // namespace geraniumpulley::core
