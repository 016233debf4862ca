#include <geraniumpulley/core/http_header.hpp>

#include <algorithm>
#include <cstddef>

namespace geraniumpulley::core {
namespace {

// The HTTP library counts the bytes of a field in 16 bits.
constexpr std::size_t maxFieldBytes = 65'000;

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

bool isTokenCharacter(char character)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    const auto byte = static_cast<unsigned char>(character);
    return byte > firstPrintable && byte < deleteCharacter
           && separators.find(character) == std::string_view::npos;
}

bool isValueCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= firstPrintable && byte != deleteCharacter);
}

} // namespace

bool isSendable(const HttpHeader &header)
{
    return !header.name.empty() && header.name.size() <= maxFieldBytes
           && header.value.size() <= maxFieldBytes
           && std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)
           && std::all_of(header.value.begin(), header.value.end(), isValueCharacter);
}

bool isSendableTarget(std::string_view target)
{
    return !target.empty() && target.size() <= maxFieldBytes
           && std::all_of(target.begin(), target.end(), [](char character) {
                  return character != ' ' && character != '\t' && isValueCharacter(character);
              });
}

} // namespace geraniumpulley::core
