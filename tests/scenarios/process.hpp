#pragma once

#include "simulation.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

/// A simulated process and a request between two of them.
namespace scenario {

struct Process
{
    std::string name;
    std::string dataCentre;
    bool alive = true;
    bool paused = false;
    std::uint64_t incarnation = 1; ///< Increases with each start.
    std::deque<std::function<void()>> deferredEvents = {}; ///< Events deferred while frozen.
    std::vector<std::function<void()>> abortCallbacks = {}; ///< Called on a kill to fail requests.
};

/// Why a request has no answer.
enum class ExchangeFailure { NotSent, AnswerLost };

/// Sends an answer: `deliver` runs in the process that sent the request.
using Responder = std::function<void(std::function<void()> deliver)>;

struct Exchange
{
    std::function<void(Responder)> handleRequest; ///< Runs in the receiving process.
    std::function<void(ExchangeFailure)> onFailure; ///< Runs in the sending process.
};

} // namespace scenario
