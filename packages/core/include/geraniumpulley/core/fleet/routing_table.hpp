#pragma once

#include <geraniumpulley/core/accounts/client_accounts.hpp>
#include <geraniumpulley/core/fleet/scaling_limits.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Selection of the service for a request by its host and path, and the rules of its route.
namespace geraniumpulley::core {

enum class RouteKind {
    Repeatable, ///< Requests can be executed more than once.
    AtMostOnce, ///< Requests are executed at most once for each attempt of the client.
    /// Requests are answered event by event, and executed at most once unless the route is
    /// resumable.
    Stream,
    Batch, ///< The route accepts batches, whose items are executed later.
};

/// One of the services among which a route's requests are split.
struct ServiceShare
{
    ServiceName service;
    /// The share of the requests, relative to the other services; with 0 the service gets none.
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< A path that begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    Duration timeout{}; ///< The maximum time until a caller gets an answer.
    Duration latencyObjective{};
    std::uint32_t priority = 0; ///< Requests of priority 0 are served first.
    std::vector<ServiceShare> shares;
    /// The maximum number of targets that one attempt of a client is sent to.
    std::uint32_t maxAttempts = 1;
    bool resumable = false;
    Duration dueAfter{}; ///< Batches only: the time from submission until all results are due.
    /// Batches only: the time from submission after which an item can be reported as lost.
    Duration giveUpAfter{};
    /// Batches only: whether all tokens of a text must come from the same weight version.
    bool singleVersion = false;
    bool isPublic = false; ///< Whether requests need no key of an account.
};

struct RoutedService
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< The limit for each target, over all callers together.
    bool isEngine = false; ///< Whether the targets of the service are model engines.
    /// The limits within which targets are ordered; without them none are ordered.
    std::optional<ScalingLimits> scaling = {};
};

/// Limits on the size and duration of requests from clients.
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
    std::optional<ClientAccounts> accounts; ///< Unset if requests need no keys.
};

/// \param host the host, with or without a port.
/// \param requestTarget the path, with or without a query.
/// \return the route of that host with the longest prefix that matches the path, or null.
/// Complexity: linear in routes.
const Route *findRoute(const RoutingTable &table, std::string_view host,
                       std::string_view requestTarget);

/// \param draw a random number that selects the service in proportion to the weights.
/// \return the selected service, or null if all weights are 0.
const ServiceName *pickService(const Route &route, std::uint64_t draw);

/// \return the service of that name, or null.
const RoutedService *findService(const RoutingTable &table, const ServiceName &name);

} // namespace geraniumpulley::core
