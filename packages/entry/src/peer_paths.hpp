#pragma once

/// Paths of the messages between nodes.
namespace geraniumpulley::entry {

inline constexpr const char *storeRelayPath = "/store"; ///< Relays a call to the store.
inline constexpr const char *tablesPath = "/tables"; ///< Requests a copy of the tables.
inline constexpr const char *progressPath = "/progress"; ///< Requests the progress of a batch.
inline constexpr const char *crashesPath = "/crashes"; ///< Tells of crash records.
inline constexpr const char *attemptsPath = "/attempts"; ///< Sends a request to a target.
inline constexpr const char *cancelAttemptPath = "/attempts/cancel";
inline constexpr const char *demandPath = "/demand"; ///< Tells the leader of demand.
inline constexpr const char *permitsPath = "/permits"; ///< Requests permits for a target.

} // namespace geraniumpulley::entry
