#pragma once

#include <geraniumpulley/core/accounts/client_accounts.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/routing_table.hpp>
#include <geraniumpulley/core/time.hpp>

#include <optional>
#include <string_view>

/// Authorization of client requests by the accounts of the routing table.
namespace geraniumpulley::core {

enum class AccessVerdict {
    Granted,
    UnknownKey, ///< No account has the key, or the request has none.
    TableOutdated, ///< The key is unknown, but this node may have missed the table that lists it.
    NoRoutingTable,
};

struct Access
{
    AccessVerdict verdict = AccessVerdict::Granted;
    std::optional<AccountName> account; ///< Unset if the routing table has no accounts.
    /// Whether the routing table has accounts, so that credentials are not forwarded.
    bool usesAccounts = false;
};

/// Age of the last read of the routing table above which an unknown key may be a new one. A node in
/// contact with the store reads the table at least each 1.2 s.
inline constexpr Duration maxTableAge = std::chrono::seconds(3);

/// Decides whether a client may make a request.
/// \param directory may be null.
/// \param route the route of the request; null for a request about a batch, which needs a key.
/// \param key the key that the client sent, if any.
Access authorize(const Directory *directory, const Route *route,
                 const std::optional<std::string_view> &key, Time now);

} // namespace geraniumpulley::core
