#pragma once

#include <geraniumpulley/net/platform_client.hpp>

#include <cstdint>

namespace geraniumpulley::node {

/// \return whether the platform answered that the call succeeded.
inline bool isOk(const net::PlatformReply &reply)
{
    constexpr std::uint32_t statusOk = 200;
    return reply.answered && reply.status == statusOk;
}

/// \return whether the table service answered that a condition of the transaction does not hold.
inline bool isConflict(const net::PlatformReply &reply)
{
    constexpr std::uint32_t statusConflict = 409;
    return reply.answered && reply.status == statusConflict;
}

} // namespace geraniumpulley::node
