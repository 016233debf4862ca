#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Batches as trainers submit them, and the results that they read.
namespace geraniumpulley::core {

/// A request whose answer's signature is the score of a finished text.
struct ScoringRequest
{
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

struct BatchItem
{
    ItemId id;
    std::string path;
    std::vector<HttpHeader> headers; ///< Passed on to the engine.
    std::string body;
    std::uint64_t tokens = 0; ///< Of the prompt and the longest output together.
    std::uint64_t expectedTokens = 0; ///< The trainer's guess of the output; 0 when it has none.
    std::string group; ///< Items of one prompt; a trainer uses whole groups.
    std::optional<ScoringRequest> scoring;
};

struct BatchOrder
{
    BatchId id;
    std::string host;
    std::string path; ///< That the batch was submitted under; selects its route.
    std::string model;
    std::uint64_t step = 0;
    WeightVersion leastVersion{}; ///< Older weights may not make its texts.
    std::uint32_t wantedGroups = 0; ///< The trainer goes on when so many are complete.
    std::vector<BatchItem> items;
    std::string encoded; ///< The body that it was decoded from; it is stored as it is.
};

enum class ItemOutcome { Completed, Lost };

struct ItemResult
{
    ItemId id;
    ItemOutcome outcome = ItemOutcome::Lost;
    std::string text;
    std::vector<WeightVersion> versions; ///< Each that made a part of the text, in order.
    std::string score;

    bool operator==(const ItemResult &) const = default;
};

/// What was made of a text before its batch changed hands.
struct PartialText
{
    std::uint32_t item = 0; ///< Index in the order.
    std::string text;
    std::uint64_t lastEvent = 0;
    std::vector<WeightVersion> versions;

    bool operator==(const PartialText &) const = default;
};

/// A batch as the store holds it.
struct StoredBatch
{
    BatchHead head;
    BatchOrder order;
    std::vector<ItemResult> results; ///< By position.
    std::vector<PartialText> partials;
};

} // namespace geraniumpulley::core
