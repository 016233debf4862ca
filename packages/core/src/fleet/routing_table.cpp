#include <geraniumpulley/core/fleet/routing_table.hpp>

#include <algorithm>
#include <cctype>

namespace geraniumpulley::core {
namespace {

bool isSameHost(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

const Route *findRoute(const RoutingTable &table, std::string_view host,
                       std::string_view requestTarget)
{
    const std::string_view path = requestTarget.substr(0, requestTarget.find('?'));
    const std::string_view hostName = host.substr(0, host.find(':'));
    const Route *best = nullptr;
    for (const Route &route : table.routes) {
        if (!path.starts_with(route.pathPrefix) || !isSameHost(route.host, hostName))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ServiceName *pickService(const Route &route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares)
        total += share.weight;
    if (total == 0)
        return nullptr;
    std::uint64_t remaining = draw % total;
    for (const ServiceShare &share : route.shares) {
        if (remaining < share.weight)
            return &share.service;
        remaining -= share.weight;
    }
    return nullptr;
}

const RoutedService *findService(const RoutingTable &table, const ServiceName &name)
{
    const auto found =
            std::find_if(table.services.begin(), table.services.end(),
                         [&](const RoutedService &service) { return service.name == name; });
    return found == table.services.end() ? nullptr : &*found;
}

} // namespace geraniumpulley::core
