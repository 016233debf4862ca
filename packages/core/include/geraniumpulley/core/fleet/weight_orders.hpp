#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/leadership.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Weight orders of the node that holds the lease on them: they bring the engines to the desired
/// versions, a few at a time.
namespace geraniumpulley::core {

/// The state that an engine returns on request.
struct EngineState
{
    std::map<std::string, WeightVersion> weights;
    bool loading = false;
    /// The number of weight orders that the engine has accepted since it started.
    std::uint64_t acceptedOrders = 0;
};

enum class WeightOrderReply {
    Accepted, ///< The engine has started to load.
    AlreadyLoaded, ///< The engine has that version already.
    /// The engine is loading already, or has accepted another order since its state was requested.
    Busy,
    StaleFencingToken, ///< The engine has seen a higher fencing token.
    Refused, ///< The engine does not know the version, or another engine answered.
    Unknown, ///< No answer came; the engine may still execute the order.
};

struct RequestEngineState
{
    Target target;
};
struct SendWeightOrder
{
    Target target;
    std::string model;
    WeightVersion version{};
    LeadershipProof proof;
    /// The engine refuses the order if it has accepted a different number of orders.
    std::uint64_t expectedAcceptedOrders = 0;
};

struct WeightOrderSettings
{
    /// The share of the engines that may load at the same time; above it the platform's store slows
    /// down.
    std::uint32_t maxLoadingPercent = 20;
    /// The number of engines that may load at the same time in a fleet of any size.
    std::uint32_t minLoadingLimit = 2;
    /// The expected time of a load, including the lag of the engine's report; the engine's state is
    /// requested after it.
    Duration expectedLoadDuration = std::chrono::milliseconds(1000);
    /// The time between state requests to an engine that is still loading.
    Duration loadPollPeriod = std::chrono::milliseconds(100);
    /// The timeout of a state request and of an order.
    Duration replyTimeout = std::chrono::milliseconds(1500);
    /// The delay after a failed request or a refused order.
    Duration retryDelay = std::chrono::milliseconds(400);
};

/// The phase of the order to an engine.
enum class EnginePhase { Idle, AwaitingState, AwaitingReply, Loading };

/// The order in progress for one engine, and what the engine is known to have loaded.
struct EngineOrder
{
    EnginePhase phase = EnginePhase::Idle;
    /// When to request the state again; in the idle phase the earliest time of the next order.
    Time due{};
    /// The versions that the engine itself has confirmed; its row can be older.
    WeightMap confirmedWeights;
    std::string model; ///< The model of the order in progress.
    WeightVersion version{};
    std::uint64_t startedAt = 0; ///< The start of the engine that this state belongs to.
};

struct WeightOrders
{
    WeightOrderSettings settings;
    std::map<TargetId, EngineOrder> engines;
};

/// Starts orders for engines that lack the desired version of their assigned model, and continues
/// those in progress.
/// Invariants: each engine has at most one order in progress, and the number of engines that load
/// at the same time stays within the limit.
std::vector<RequestEngineState> planOrders(WeightOrders &orders, const Directory &directory,
                                           const EngineAssignments &assignments, Time now);

/// Handles the state that an engine returned, or its failure to answer.
/// \return the order to send to the engine, if it needs one.
std::optional<SendWeightOrder> onEngineStateReceived(WeightOrders &orders,
                                                     const Directory &directory,
                                                     const TargetId &target,
                                                     const std::optional<EngineState> &state,
                                                     const LeadershipProof &proof, Time now);

/// Handles the reply to an order.
void onWeightOrderReply(WeightOrders &orders, const TargetId &target, WeightOrderReply reply,
                        Time now);

/// \return the latest time of the next call of `planOrders`, if an order is in progress.
std::optional<Time> dueAt(const WeightOrders &orders);

} // namespace geraniumpulley::core
