#pragma once

#include <system_error>

/// HTTP servers and clients, and the transport between the nodes.
namespace geraniumpulley::net {

/// Error codes of the network layer.
enum class Errc {
    BadAddress = 1, ///< The address is not of the form "ip:port".
    ListenFailed, ///< The address is in use or does not belong to this machine.
};

const std::error_category &errorCategory() noexcept;

std::error_code make_error_code(Errc error) noexcept; // NOLINT(readability-identifier-naming): ADL

} // namespace geraniumpulley::net

template<>
struct std::is_error_code_enum<geraniumpulley::net::Errc> : std::true_type
{
};
