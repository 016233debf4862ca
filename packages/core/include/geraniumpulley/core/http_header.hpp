#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace geraniumpulley::core {

/// A header field of a request or response, as it is forwarded.
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

/// \return whether a field can be part of a head (RFC 9110, 5.1 and 5.5) and is short enough for
/// the HTTP library.
bool isSendable(const HttpHeader &header);

/// \return whether a text can be the target of a request line (RFC 9112, 3.2).
bool isSendableTarget(std::string_view target);

} // namespace geraniumpulley::core
