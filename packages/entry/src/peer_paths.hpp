#pragma once

/// Kinds of messages between nodes.
namespace geraniumpulley::entry {

inline constexpr const char *storePath = "/store"; ///< A call to the store for another node.
inline constexpr const char *tablesPath = "/tables"; ///< Asks for a copy of the tables.

} // namespace geraniumpulley::entry
