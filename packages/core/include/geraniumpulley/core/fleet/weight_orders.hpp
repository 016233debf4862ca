#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// How the holder of the weight lease brings engines to the desired versions, few at a time.
namespace geraniumpulley::core {

/// What an engine says of itself when it is asked.
struct EngineState
{
    std::map<std::string, WeightVersion> weights;
    bool loading = false;
    std::uint64_t orders = 0; ///< Accepted since its start.
};

enum class WeightOrderReply {
    Accepted, ///< The engine has begun to load.
    Holds, ///< The engine has that version.
    Busy, ///< Another order is under way, or the count of orders has moved on.
    OldFence, ///< The engine has seen a higher fencing number.
    Refused, ///< The engine does not know the version, or is another one.
    Unknown, ///< No answer; the engine may carry the order out later.
};

struct AskEngineState
{
    Target target;
};
struct PlaceWeightOrder
{
    Target target;
    std::string model;
    WeightVersion version{};
    FencingNumber fence{};
    std::uint64_t expectedOrders = 0; ///< The engine refuses the order at another count.
};

struct WeightOrderSettings
{
    /// Share of the engines that load at once; the platform's store slows down beyond it.
    std::uint32_t loadingPercent = 20;
    std::uint32_t leastLoading = 2;
    /// Expected, with what an engine's report lags behind; the state is asked then.
    Duration loadTime = std::chrono::milliseconds(1000);
    Duration checkPeriod = std::chrono::milliseconds(100); ///< Of an engine that still loads.
    Duration answerLimit = std::chrono::milliseconds(1500); ///< Without any answer.
    Duration retryDelay = std::chrono::milliseconds(400); ///< After a failed or refused try.
};

enum class EnginePhase { Idle, Asking, Ordering, Loading };

struct EngineOrder
{
    EnginePhase phase = EnginePhase::Idle;
    Time due{}; ///< When to ask next, or to give the answer up.
    WeightMap weights; ///< Learnt from the engine itself; newer than its row.
    std::string model; ///< Of the order under way.
    WeightVersion version{};
    std::uint64_t startedAt = 0;
};

struct WeightOrders
{
    WeightOrderSettings settings;
    std::map<TargetId, EngineOrder> engines;
};

/// Looks for engines whose assigned model is behind, and continues the orders under way.
/// Invariants: at most one order an engine; at most the allowed share loads at once.
std::vector<AskEngineState> planOrders(WeightOrders &orders, const Directory &directory, Time now);

/// \return the order to place now that the engine's state is known, if any.
std::optional<PlaceWeightOrder> noteEngineState(WeightOrders &orders, const Directory &directory,
                                                const TargetId &target,
                                                const std::optional<EngineState> &state,
                                                FencingNumber fence, Time now);

void noteOrderReply(WeightOrders &orders, const TargetId &target, WeightOrderReply reply, Time now);

/// \return when `planOrders` is to be called next at the latest, if an order is under way.
std::optional<Time> dueAt(const WeightOrders &orders);

} // namespace geraniumpulley::core
