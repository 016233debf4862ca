#pragma once

#include <geraniumpulley/core/time.hpp>

/// The schedule of a planned stop, from the stop signal to the exit of the process.
namespace geraniumpulley::core {

struct StopSchedule
{
    /// When the listener and idle connections are closed: the load balancer sends no new
    /// connections any more.
    Time listenerClosesAt{};
    /// When every request has its final answer, and the rest of the time is for writing answers.
    Time answersDueAt{};
    Time exitsAt{}; ///< When the threads begin to stop.
};

/// \param start when the stop signal came.
/// \param stopTimeout the time between the stop signal and the forced kill.
StopSchedule makeStopSchedule(Time start, Duration stopTimeout);

} // namespace geraniumpulley::core
