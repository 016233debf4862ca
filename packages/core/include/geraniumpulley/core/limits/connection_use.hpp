#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstddef>

/// Which connection gives way when a server runs out of connections or memory. Only connections
/// whose client is awaited take part; a request that is being served is left alone.
namespace geraniumpulley::core {

/// What a connection occupies while its server waits for its client.
struct ConnectionUse
{
    Time waitingSince{}; ///< When the server began to wait for the client.
    std::size_t receivedBytes = 0; ///< Received since then.
    std::size_t heldBytes = 0; ///< Memory that is freed if the connection is closed.
};

/// \return how long a client has been slower than a slow link; 0 if it has been faster.
Duration stalledTime(const ConnectionUse &use, Time now);

/// \return the product of memory and time that a connection occupies, in bytes times seconds.
double heldByteSeconds(const ConnectionUse &use, Time now);

} // namespace geraniumpulley::core
