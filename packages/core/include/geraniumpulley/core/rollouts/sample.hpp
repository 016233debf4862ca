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

/// What trainers ask for and get: steps, samples and their labels.
namespace geraniumpulley::core {

struct StepId
{
    TrainerName trainer;
    std::uint64_t step = 0;

    auto operator<=>(const StepId &) const = default;
};

/// Tokens [first, last) of a sample that one engine process made with one weight version.
struct VersionSpan
{
    WeightVersion version{};
    std::string incarnation; ///< Of the engine process.
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    auto operator<=>(const VersionSpan &) const = default;
};

/// The place of one sample in its step.
struct SampleSlot
{
    StepId step;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const SampleSlot &) const = default;
};

struct Sample
{
    std::string text;
    std::vector<VersionSpan> spans;
    double reward = 0;

    bool operator==(const Sample &) const = default;
};

/// What a trainer asks for.
struct StepOrder
{
    StepId id;
    std::vector<std::string> prompts; ///< One for each group.
    std::uint32_t groupSize = 1;
    std::uint32_t maxTokens = 256;
    WeightVersion trainerVersion{};
    Duration due = std::chrono::minutes(5); ///< From the opening to when the batch is wanted.
    std::optional<std::uint64_t> stalenessBound = {}; ///< In versions; else the trainer's own.
};

enum class StepVerdict {
    Running,
    Ready, ///< `samples` holds the whole batch.
    Acknowledged,
    Differs, ///< The step was opened before with another order.
    UnknownStep,
    UnknownTrainer,
    NotReady,
    OwnerLost,
    Stale, ///< The sealed batch is older than the bound at the trainer's version of now.
    WrongDigest, ///< The acknowledgement names another batch than the sealed one.
};

struct StepAnswer
{
    StepVerdict verdict = StepVerdict::Running;
    std::uint64_t finished = 0; ///< Samples generated and scored so far.
    std::uint64_t total = 0;
    std::vector<std::pair<SampleSlot, Sample>> samples = {}; ///< In slot order; only when ready.
    std::string digest = {}; ///< Of the sealed batch; the acknowledgement repeats it.
    std::string detail = {}; ///< What to change, where the verdict is an error.
    std::uint64_t discarded = 0; ///< Samples that grew stale before hand-over and were made again.
    bool durable = false; ///< The order is in the store.
};

// Requests of trainers

struct OpenStep
{
    StepOrder order;
};
struct FetchStep
{
    StepId id;
    WeightVersion trainerVersion{}; ///< 0 when the trainer does not tell.
    Duration wait{}; ///< How long the answer may wait for the batch.
};
struct AcknowledgeStep
{
    StepId id;
    std::string digest = {};
};
using StepRequest = std::variant<OpenStep, FetchStep, AcknowledgeStep>;

/// \return the trainer that a request belongs to.
const TrainerName &trainerOf(const StepRequest &request);

/// \return the step that a request is about.
const StepId &stepOf(const StepRequest &request);

/// Adds a span behind the others; it is joined to the last one when the same engine process and
/// version made both. Complexity: constant.
void appendSpan(std::vector<VersionSpan> &spans, VersionSpan span);

/// \return whether any token of the sample is more than `bound` versions older than
/// `trainerVersion`. Complexity: linear in spans.
bool isStale(const Sample &sample, WeightVersion trainerVersion, std::uint64_t bound);

/// \return the name of the first field in which two orders differ, or null when they are the same.
const char *differingField(const StepOrder &a, const StepOrder &b);

/// \return a digest of samples with their slots, rewards and labels, in hexadecimal.
/// Complexity: linear in their size.
std::string digestOf(const std::vector<std::pair<SampleSlot, Sample>> &samples);

} // namespace geraniumpulley::core
