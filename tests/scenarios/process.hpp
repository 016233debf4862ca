#pragma once

#include "simulation.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

/// A process of the virtual world and what passes between two of them.
namespace scenario {

struct Process
{
    std::string name;
    std::string dataCentre;
    bool alive = true;
    bool frozen = false;
    std::uint64_t incarnation = 1; ///< Rises with each start.
    std::deque<std::function<void()>> held = {}; ///< Events that came while it was frozen.
    std::vector<std::function<void()>> openExchanges = {}; ///< Broken when the process is killed.
};

/// How a request that brought no answer failed.
enum class ExchangeFailure { NotSent, Lost };

/// Gives the asker its answer; run in the asker's process.
using Answer = std::function<void(std::function<void()> deliver)>;

struct Exchange
{
    std::function<void(Answer)> serve; ///< Runs in the process that is asked.
    std::function<void(ExchangeFailure)> failed; ///< Runs in the asker's process.
};

} // namespace scenario
