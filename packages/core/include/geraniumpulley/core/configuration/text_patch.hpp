#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Small differences between two texts.
namespace geraniumpulley::core {

/// Replaces what lies between a common start and a common end.
struct TextPatch
{
    std::uint64_t prefixBytes = 0;
    std::uint64_t suffixBytes = 0;
    std::string middle;
    std::string digest; ///< Of the whole new text.
};

/// \return a digest that tells whether two texts are the same; not against forgery.
std::string digestOf(const std::string &text);

/// \return the patch that turns one text into the other. Complexity: linear in the texts.
TextPatch makePatch(const std::string &from, const std::string &to);

/// \return the new text, or nothing when the patch was made for another text.
std::optional<std::string> applyPatch(const std::string &from, const TextPatch &patch);

} // namespace geraniumpulley::core
