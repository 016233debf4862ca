#pragma once

#include <compare>
#include <string>

namespace geraniumpulley::core {

/// A header field of a request or response, as it is forwarded.
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

} // namespace geraniumpulley::core
