#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Data types of the batches that trainers submit and of the results that trainers read.
namespace geraniumpulley::core {

/// A request to a scorer. The signature of the scorer's answer is the score of a completed text.
struct ScoringRequest
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One generation request of a batch.
struct BatchItem
{
    ItemId id;
    std::string path;
    std::vector<HttpHeader> headers; ///< The request headers that are forwarded to the engine.
    std::string body;
    std::uint64_t maxTokens = 0; ///< Maximum number of prompt and output tokens together.
    std::uint64_t expectedTokens = 0; ///< The trainer's estimate of output tokens; 0 if none.
    std::string group; ///< Items of one prompt share a group; trainers use whole groups.
    std::optional<ScoringRequest> scoring;
};

/// A batch as a trainer submits it.
struct BatchSpec
{
    BatchId id;
    std::string host;
    std::string path; ///< The path of the submission, which selects the route.
    std::string model;
    std::uint64_t step = 0;
    WeightVersion minVersion{}; ///< The oldest weights that may generate the texts.
    std::uint32_t requiredGroups = 0; ///< Complete groups that the trainer waits for.
    std::vector<BatchItem> items;
    std::string encoded; ///< The submitted body, which is stored unchanged.
};

/// \return the bytes that a batch takes while its owner runs it, without the texts of its items.
std::size_t memoryOf(const BatchSpec &spec);

enum class ItemOutcome { Completed, Lost };

/// The result of one item, as it is stored and returned to the trainer.
struct ItemResult
{
    ItemId id;
    ItemOutcome outcome = ItemOutcome::Lost;
    std::string text;
    std::vector<WeightVersion> versions; ///< Versions that generated the text, ascending.
    std::string score;

    bool operator==(const ItemResult &) const = default;
};

/// The part of an unfinished text that is stored, so that another owner can resume the item.
struct PartialText
{
    std::uint32_t itemIndex = 0; ///< Index of the item in the batch.
    std::string text;
    std::uint64_t lastEventId = 0;
    std::vector<WeightVersion> versions;
    SoftwareVersion software; ///< The software that generated the text.

    bool operator==(const PartialText &) const = default;
};

/// A batch with all of its rows in the store.
struct StoredBatch
{
    BatchHead head;
    std::shared_ptr<const BatchSpec> spec;
    std::vector<ItemResult> results; ///< Results in the order of their positions.
    std::vector<PartialText> partials;
};

} // namespace geraniumpulley::core
