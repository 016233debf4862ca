#pragma once

#include <geraniumpulley/core/batch/batch_state.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What an unfinished batch waits for, as its owner sees it.
namespace geraniumpulley::core {

/// What an item needs before it is listed.
enum class WaitReason {
    Engine, ///< No engine that may run it has a free place.
    Text, ///< An engine generates its text.
    Score, ///< Its text is complete, and its scorer has not answered.
    Store, ///< Its result is final, and the store has not confirmed it.
};

/// An item that is not listed yet.
struct MissingItem
{
    ItemId id;
    std::string group;
    WaitReason waitsFor = WaitReason::Engine;
    TargetId target; ///< The engine of the current or last run; empty before the first one.
    std::string dataCentre; ///< Of that engine; empty if it has left.
    RunCause cause = RunCause::First; ///< Of the current or next run.
    std::uint64_t events = 0; ///< Events of the text so far.
    /// Time since the last event of a running item, or since the item began to wait for an engine.
    Duration waitTime{};
};

struct BatchProgress
{
    std::uint32_t itemCount = 0;
    std::uint32_t listedCount = 0;
    std::vector<MissingItem> missingItems; ///< In the order of the submission.
};

/// \return what the items of an owned batch that are not listed yet wait for. Complexity: linear in
/// items.
BatchProgress progressOf(const BatchState &state, const OwnedBatch &batch, Time now);

} // namespace geraniumpulley::core
