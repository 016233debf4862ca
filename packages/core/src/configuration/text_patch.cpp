#include <geraniumpulley/core/configuration/text_patch.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace geraniumpulley::core {

std::string digestOf(const std::string &text)
{
    constexpr std::array<char, 17> digits{"0123456789abcdef"};
    constexpr int digitBits = 4;
    constexpr int hashDigits = 16;
    std::uint64_t hash = XXH3_64bits(text.data(), text.size());
    std::string digest(hashDigits, '0');
    for (auto digit = digest.rbegin(); digit != digest.rend(); ++digit, hash >>= digitBits)
        *digit = digits.at(hash & 0xF);
    return digest;
}

TextPatch makePatch(const std::string &from, const std::string &to)
{
    const auto prefix = std::mismatch(from.begin(), from.end(), to.begin(), to.end());
    const auto prefixBytes = static_cast<std::size_t>(prefix.first - from.begin());
    const std::size_t maxSuffixBytes = std::min(from.size(), to.size()) - prefixBytes;
    std::size_t suffixBytes = 0;
    while (suffixBytes < maxSuffixBytes
           && from[from.size() - suffixBytes - 1] == to[to.size() - suffixBytes - 1])
        ++suffixBytes;
    return {prefixBytes, suffixBytes, to.substr(prefixBytes, to.size() - prefixBytes - suffixBytes),
            digestOf(to)};
}

std::optional<std::string> applyPatch(const std::string &from, const TextPatch &patch)
{
    const bool isInRange = patch.prefixBytes <= from.size()
                           && patch.suffixBytes <= from.size() - patch.prefixBytes;
    if (!isInRange)
        return std::nullopt;
    std::string text = from.substr(0, patch.prefixBytes) + patch.replacement
                       + from.substr(from.size() - patch.suffixBytes);
    if (digestOf(text) != patch.digest)
        return std::nullopt;
    return text;
}

} // namespace geraniumpulley::core
