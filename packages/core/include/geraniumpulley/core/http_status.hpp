#pragma once

#include <cstdint>

/// HTTP status codes that decisions of the core depend on.
namespace geraniumpulley::core::status {

/// \return whether a status belongs to an interim response, behind which the response itself comes
/// (RFC 9110, 15.2). A change of the protocol, which nobody asks for here, ends with its head.
constexpr bool isInterim(std::uint32_t status)
{
    constexpr std::uint32_t first = 100;
    constexpr std::uint32_t switchingProtocols = 101;
    constexpr std::uint32_t firstFinal = 200;
    return status >= first && status < firstFinal && status != switchingProtocols;
}

/// \return whether a status is one of a response (RFC 9110, 15).
constexpr bool isFinal(std::uint32_t status)
{
    constexpr std::uint32_t first = 200;
    constexpr std::uint32_t end = 600;
    return status >= first && status < end;
}

inline constexpr std::uint32_t ok = 200;
inline constexpr std::uint32_t accepted = 202;
inline constexpr std::uint32_t firstRedirection = 300;
inline constexpr std::uint32_t badRequest = 400;
inline constexpr std::uint32_t unauthorized = 401;
inline constexpr std::uint32_t notFound = 404;
inline constexpr std::uint32_t requestTimeout = 408;
inline constexpr std::uint32_t conflict = 409;
inline constexpr std::uint32_t gone = 410;
inline constexpr std::uint32_t preconditionFailed = 412;
inline constexpr std::uint32_t contentTooLarge = 413;
inline constexpr std::uint32_t misdirected = 421;
inline constexpr std::uint32_t unprocessable = 422;
inline constexpr std::uint32_t tooManyRequests = 429;
inline constexpr std::uint32_t serverError = 500;
inline constexpr std::uint32_t badGateway = 502;
inline constexpr std::uint32_t unavailable = 503;
inline constexpr std::uint32_t gatewayTimeout = 504;
inline constexpr std::uint32_t insufficientStorage = 507;

} // namespace geraniumpulley::core::status
