#pragma once

#include <compare>
#include <string>

namespace geraniumpulley::core {

/// One header of a request or answer, as it is passed on.
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

} // namespace geraniumpulley::core
