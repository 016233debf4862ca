#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/rollouts/sample.hpp>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// The log that a step keeps in the store. Its records are numbered from 0 and never change; each
/// is appended on the condition that its number is free and the owner's lease is still in force.
namespace geraniumpulley::core {

struct StepOpened
{
    StepOrder order;
};
/// Finished samples; one for a slot that an earlier record holds takes its place.
struct SamplesFinished
{
    std::vector<std::pair<SampleSlot, Sample>> samples;
};
/// The batch may have been handed over from here on, so that nothing of it changes any more.
struct BatchSealed
{
    WeightVersion trainerVersion{};
    std::string digest;
};
struct BatchAcknowledged
{
    std::string digest;
};
using StepRecordContent = std::variant<StepOpened, SamplesFinished, BatchSealed, BatchAcknowledged>;

struct StepRecord
{
    std::string writeId; ///< Unique for each append; resolves a lost answer.
    Duration timeLeft{}; ///< To the due time when it was written.
    StepRecordContent content;
};

} // namespace geraniumpulley::core
