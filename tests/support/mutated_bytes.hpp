#pragma once

#include <cstddef>
#include <random>
#include <string>

/// Mutated input for fuzz tests of decoders.
namespace geraniumpulley::test {

/// \return the text after one to five random mutations: a truncation, an overwritten byte, a
/// removed or duplicated range, or inserted brackets, quotes, digits or minus signs.
inline std::string mutate(std::string text, std::mt19937_64 &random)
{
    for (std::size_t i = 1 + random() % 5; i > 0 && !text.empty(); --i) {
        const std::size_t position = random() % text.size();
        switch (random() % 5) {
        case 0:
            text.resize(position);
            break;
        case 1:
            text[position] = static_cast<char>(random());
            break;
        case 2:
            text.erase(position, 1 + random() % 9);
            break;
        case 3:
            text.insert(position, text.substr(position / 2));
            break;
        default:
            text.insert(position, std::string(1 + random() % 64, "[{\"9-"[random() % 5]));
        }
    }
    return text;
}

} // namespace geraniumpulley::test
