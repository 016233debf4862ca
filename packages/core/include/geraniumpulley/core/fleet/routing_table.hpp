#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Which service a request of a host and path goes to, and under which rules.
namespace geraniumpulley::core {

enum class RouteKind {
    Repeatable, ///< May run more than once.
    OnceOnly, ///< Runs at most once for each attempt of the client.
    Stream, ///< Answered event by event; runs at most once unless it may be resumed.
    Batch, ///< Takes batches whose items run later.
};

/// One of the services that share a route's requests.
struct ServiceShare
{
    ServiceName service;
    std::uint32_t weight = 1; ///< Relative to the other shares; 0 gets nothing.
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::OnceOnly;
    Duration timeout{}; ///< The longest time that a caller is kept waiting.
    Duration latencyObjective{};
    std::uint32_t priority = 0; ///< 0 is served first.
    std::vector<ServiceShare> shares;
    std::uint32_t maxAttempts = 1; ///< Targets that one attempt of a client may be sent to.
    bool resumable = false;
    Duration dueAfter{}; ///< Of batches: from the submission to when all results are wanted.
    Duration giveUpAfter{}; ///< Of batches: from then on an item may be listed as lost.
    bool singleVersion = false; ///< Of batches: one weight version makes a whole text.
};

struct RoutedService
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< At one target, of all callers together.
    bool isEngine = false; ///< Its targets are model engines.
};

/// What a client may send, and how long it may take.
struct EntryLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct RoutingTable
{
    ConfigurationVersion version{};
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    EntryLimits limits;
};

/// \param target path with or without a query. \param host with or without a port.
/// \return the route of that host whose prefix is the longest that begins the path, or null.
/// Complexity: linear in routes.
const Route *findRoute(const RoutingTable &table, std::string_view host, std::string_view target);

/// \return the service that gets the request with that draw, or null when no share has weight.
const ServiceName *pickService(const Route &route, std::uint64_t draw);

/// \return the service of that name, or null.
const RoutedService *findService(const RoutingTable &table, const ServiceName &name);

} // namespace geraniumpulley::core
