#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace geraniumpulley::core {

/// A batch that a trainer submitted.
using BatchId = Identifier<struct BatchTag>;
/// One request of a batch.
using ItemId = Identifier<struct ItemTag>;

/// The row that says who works on a batch. Its version is the owner's fencing number: whatever the
/// owner writes is conditional on it.
struct BatchHead
{
    BatchId id;
    NodeId owner; ///< Empty when the last owner gave the batch up.
    std::uint64_t ownerIncarnation = 0;
    bool ended = false; ///< The trainer wants no more results.
    std::uint32_t total = 0; ///< Items of the batch.
    Duration submittedAt{}; ///< On the store's clock.
    std::string model; ///< That makes its texts.
    WeightVersion leastVersion{}; ///< Older weights may not make them.
    std::uint64_t expectedTokens = 0; ///< Of all its texts together, as the trainer guesses.
    RowVersion version{};
};

using BatchMap = std::map<BatchId, BatchHead>;

} // namespace geraniumpulley::core
