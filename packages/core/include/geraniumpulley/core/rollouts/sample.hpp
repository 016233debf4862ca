#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Steps, samples and version labels, as trainers submit and receive them.
namespace geraniumpulley::core {

/// Identifies a step of a trainer.
struct StepId
{
    TrainerName trainer;
    std::uint64_t step = 0;

    auto operator<=>(const StepId &) const = default;
};

/// The half-open range [first, last) of a sample's tokens that one engine process generated with
/// one weight version.
struct VersionSpan
{
    WeightVersion version{};
    std::string incarnation; ///< Identifies the engine process.
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    auto operator<=>(const VersionSpan &) const = default;
};

/// The position of one sample in its step.
struct SampleSlot
{
    StepId step;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const SampleSlot &) const = default;
};

/// A generated text with its version labels and its reward.
struct Sample
{
    std::string text;
    std::vector<VersionSpan> spans;
    double reward = 0;

    bool operator==(const Sample &) const = default;
};

/// The specification of a step, as submitted by a trainer.
struct StepSpec
{
    StepId id;
    std::vector<std::string> prompts; ///< One prompt per group.
    std::uint32_t groupSize = 1;
    std::uint32_t maxTokens = 256;
    WeightVersion trainerVersion{};
    Duration dueIn = std::chrono::minutes(5); ///< Time from opening the step to the due time.
    std::optional<std::uint64_t> stalenessBound = {}; ///< Versions; the trainer's own when empty.
};

/// The result of a trainer's request.
enum class StepVerdict {
    Running,
    Ready, ///< `StepAnswer::samples` holds the complete batch.
    Acknowledged,
    Differs, ///< The step is already open with a different specification.
    UnknownStep,
    UnknownTrainer,
    NotReady,
    OwnerLost,
    Stale, ///< The sealed batch exceeds the staleness bound at the trainer's version.
    WrongDigest, ///< The acknowledged digest is not that of the sealed batch.
};

/// The answer to a trainer's request.
struct StepAnswer
{
    StepVerdict verdict = StepVerdict::Running;
    std::uint64_t finished = 0; ///< Samples generated and scored so far.
    std::uint64_t total = 0; ///< Samples in the batch.
    /// The batch in slot order; empty unless ready.
    std::vector<std::pair<SampleSlot, Sample>> samples = {};
    std::string digest = {}; ///< Digest of the sealed batch; an acknowledgement must repeat it.
    std::string detail = {}; ///< For an error, what the trainer has to change.
    std::uint64_t discarded = 0; ///< Samples regenerated because they became stale before delivery.
    bool durable = false; ///< The step's specification is committed in the store.
};

// Requests of trainers

/// Opens a step; repeating it with the same specification has no further effect.
struct OpenStep
{
    StepSpec spec;
};
/// Requests the batch of a step.
struct FetchStep
{
    StepId id;
    WeightVersion trainerVersion{}; ///< 0 when the trainer does not report it.
    Duration maxWait{}; ///< Maximum time to wait for the batch before answering.
};
/// Confirms that the trainer has received the batch.
struct AcknowledgeStep
{
    StepId id;
    std::string digest = {};
};
using StepRequest = std::variant<OpenStep, FetchStep, AcknowledgeStep>;

/// \return the trainer that sent a request.
const TrainerName &trainerOf(const StepRequest &request);

/// \return the step that a request refers to.
const StepId &stepOf(const StepRequest &request);

/// Appends a span and merges it with the last one when both have the same engine process and
/// version. Complexity: constant.
void appendSpan(std::vector<VersionSpan> &spans, VersionSpan span);

/// \return whether any token of the sample is more than `bound` versions older than
/// `trainerVersion`. Complexity: linear in spans.
bool isStale(const Sample &sample, WeightVersion trainerVersion, std::uint64_t bound);

/// \return the name of the first field in which two specifications differ, or null when they are
/// equal.
const char *differingField(const StepSpec &a, const StepSpec &b);

/// \return the hexadecimal digest of the samples including slots, rewards and version labels.
/// Complexity: linear in the total size of the samples.
std::string digestOf(const std::vector<std::pair<SampleSlot, Sample>> &samples);

} // namespace geraniumpulley::core
