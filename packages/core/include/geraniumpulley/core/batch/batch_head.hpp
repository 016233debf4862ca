#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace geraniumpulley::core {

/// Identifies a batch that a trainer submitted.
using BatchId = Identifier<struct BatchTag>;
/// Identifies one item of a batch.
using ItemId = Identifier<struct ItemTag>;

/// The row that names the owner of a batch. Its version is the owner's fencing token: every write
/// of the owner is conditional on it.
struct BatchHead
{
    BatchId id;
    NodeId owner; ///< The owning node; empty if no node owns the batch.
    std::uint64_t ownerIncarnation = 0;
    bool ended = false; ///< The trainer has ended the batch and reads no more results.
    std::uint32_t itemCount = 0; ///< Number of items in the batch.
    Duration submittedAt{}; ///< Time of the submission on the store's clock.
    std::string model; ///< The model that generates the texts.
    WeightVersion minVersion{}; ///< The oldest weights that may generate the texts.
    std::uint64_t expectedTokens = 0; ///< Estimated output tokens of all items together.
    RowVersion version{}; ///< Version of the row, used as the fencing token.
};

using BatchMap = std::map<BatchId, BatchHead>;

} // namespace geraniumpulley::core
