#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <optional>

/// Rate limits that targets state in their answers.
namespace geraniumpulley::core {

/// A number of requests per second.
struct RequestRate
{
    double perSecond = 0;

    auto operator<=>(const RequestRate &) const = default;
};

/// \return the time between two requests at that rate, at most `maxRequestInterval`.
Duration requestInterval(RequestRate rate);

/// The interval that corresponds to a rate of zero. Such a target still gets a request now and
/// then, because only its answers show when the limit ends.
inline constexpr Duration maxRequestInterval = std::chrono::seconds(10);

/// What an answer of a target states about its rate limit.
struct RateStatement
{
    std::optional<RequestRate> limit = {}; ///< Null if the target has no limit.
};

/// Reports that a target has stated a new rate limit, or no longer states one.
struct RateLimitChanged
{
    TargetId target;
    std::optional<RequestRate> limit;
};

} // namespace geraniumpulley::core
