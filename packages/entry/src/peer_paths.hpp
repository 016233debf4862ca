#pragma once

/// Paths of the messages between nodes.
namespace geraniumpulley::entry {

inline constexpr const char *storeRelayPath = "/store"; ///< Relays a call to the store.
inline constexpr const char *tablesPath = "/tables"; ///< Requests a copy of the tables.

} // namespace geraniumpulley::entry
