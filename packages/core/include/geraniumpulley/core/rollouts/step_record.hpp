#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/rollouts/sample.hpp>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Records of a step's log in the store. Records are numbered from 0 and immutable; an append
/// succeeds only when its number is free and the owner's lease is still in force.
namespace geraniumpulley::core {

/// The first record of a log: the specification of the step.
struct StepOpened
{
    StepSpec spec;
};
/// Finished samples. A sample replaces that of an earlier record for the same slot.
struct SamplesFinished
{
    std::vector<std::pair<SampleSlot, Sample>> samples;
};
/// From this record on, the batch may have been delivered, so it no longer changes.
struct BatchSealed
{
    WeightVersion trainerVersion{};
    std::string digest;
};
/// The trainer has confirmed the batch; the step is complete.
struct BatchAcknowledged
{
    std::string digest;
};
using StepRecordContent = std::variant<StepOpened, SamplesFinished, BatchSealed, BatchAcknowledged>;

/// One record of a step's log.
struct StepRecord
{
    std::string writeId; ///< Unique per append; identifies the record after a lost answer.
    Duration timeLeft{}; ///< Time until the step was due when the record was written.
    StepRecordContent content;
};

} // namespace geraniumpulley::core
