#include <geraniumpulley/core/accounts/authorization.hpp>

namespace geraniumpulley::core {

Access authorize(const Directory *directory, const Route *route,
                 const std::optional<std::string_view> &key, Time now)
{
    if (directory == nullptr || !directory->routing)
        return {AccessVerdict::NoRoutingTable, std::nullopt, false};
    const std::optional<ClientAccounts> &accounts = directory->routing->accounts;
    if (!accounts)
        return {AccessVerdict::Granted, std::nullopt, false};
    const AccountName *account = key ? accounts->find(*key) : nullptr;
    if (account != nullptr)
        return {AccessVerdict::Granted, *account, true};
    // A batch belongs to an account, whatever its route says.
    if (route != nullptr && route->isPublic && route->kind != RouteKind::Batch)
        return {AccessVerdict::Granted, std::nullopt, true};
    const bool isOutdated =
            !directory->routingReadAt || now - *directory->routingReadAt > maxTableAge;
    return {isOutdated && key ? AccessVerdict::TableOutdated : AccessVerdict::UnknownKey,
            std::nullopt, true};
}

} // namespace geraniumpulley::core
