#pragma once

#include <cstddef>
#include <random>
#include <string>

/// Bytes for fuzz tests of decoders.
namespace geraniumpulley::test {

/// \return the text after one to five random changes: cut off, overwritten, shortened, repeated in
/// itself or with brackets and digits put in.
inline std::string disturb(std::string text, std::mt19937_64 &random)
{
    for (std::size_t i = 1 + random() % 5; i > 0 && !text.empty(); --i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text[at] = static_cast<char>(random());
            break;
        case 2:
            text.erase(at, 1 + random() % 9);
            break;
        case 3:
            text.insert(at, text.substr(at / 2));
            break;
        default:
            text.insert(at, std::string(1 + random() % 64, "[{\"9-"[random() % 5]));
        }
    }
    return text;
}

} // namespace geraniumpulley::test
