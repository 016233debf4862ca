#include <geraniumpulley/core/calls/claim_key.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace geraniumpulley::core {
namespace {

constexpr std::size_t minRandomChars = 8;
constexpr std::size_t maxRandomChars = 100;
constexpr std::size_t maxSecondsDigits = 11;
constexpr std::uint64_t secondDigestSeed = 1;

bool isKeyCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'
           || c == '-';
}

// The length before each part distinguishes ("ab", "c") from ("a", "bc").
std::string joinWithLengths(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts)
        joined.append(std::to_string(part.size())).append(":").append(part);
    return joined;
}

std::string deriveKey(const std::string &content)
{
    const std::uint64_t first = XXH3_64bits(content.data(), content.size());
    const std::uint64_t second =
            XXH3_64bits_withSeed(content.data(), content.size(), secondDigestSeed);
    return "derived " + std::to_string(first) + " " + std::to_string(second);
}

} // namespace

std::optional<WallTime> keyCreationTime(const std::string &idempotencyKey)
{
    const std::size_t dash = idempotencyKey.find('-');
    if (dash == std::string::npos || dash == 0 || dash > maxSecondsDigits)
        return std::nullopt;
    const std::string_view random = std::string_view(idempotencyKey).substr(dash + 1);
    if (random.size() < minRandomChars || random.size() > maxRandomChars
        || !std::all_of(random.begin(), random.end(), isKeyCharacter))
        return std::nullopt;
    std::uint64_t seconds = 0;
    const char *end = idempotencyKey.data() + dash;
    const auto [parsedEnd, error] = std::from_chars(idempotencyKey.data(), end, seconds);
    if (error != std::errc{} || parsedEnd != end)
        return std::nullopt;
    return WallTime(std::chrono::seconds(seconds));
}

std::optional<ClaimKey> claimKeyOf(const Call &call)
{
    const std::string content = joinWithLengths({call.method, call.path, call.body});
    ClaimKey key;
    key.digest = XXH3_64bits(content.data(), content.size());
    if (call.idempotencyKey.empty()) {
        key.identity = joinWithLengths({call.customer, call.service.value, deriveKey(content)});
        return key;
    }
    key.createdAt = keyCreationTime(call.idempotencyKey);
    if (!key.createdAt)
        return std::nullopt;
    key.identity = joinWithLengths({call.customer, call.service.value, call.idempotencyKey});
    return key;
}

} // namespace geraniumpulley::core
