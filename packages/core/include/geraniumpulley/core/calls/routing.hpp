#pragma once

#include <geraniumpulley/core/calls/target_health.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

/// The choice of a target among those of a service.
namespace geraniumpulley::core {

/// What a node knows of one target when it chooses.
struct Candidate
{
    const Target *target = nullptr;
    std::uint32_t own = 0; ///< Calls of this node in flight; does not lag.
    std::uint32_t reported = 0; ///< Calls of all nodes as last reported; lags by seconds.
    bool usable = true; ///< Not ejected.
};

/// A source of random numbers that the core's caller seeds.
struct RandomSource
{
    std::uint64_t state = 0;
};

/// \return the next number below `bound`, which is at least 1.
std::size_t draw(RandomSource &random, std::size_t bound);

/// Chooses among candidates; null when none has less than `limit` own calls in flight. Candidates
/// that are ejected are taken only when no other is left.
using ChooseTarget = const Target *(*)(const std::vector<Candidate> &candidates,
                                       std::uint32_t limit, RandomSource &random);

/// The fewest reported calls; ties by order. Complexity: linear.
const Target *chooseByReport(const std::vector<Candidate> &candidates, std::uint32_t limit,
                             RandomSource &random);

/// The fewest own calls; ties at random. Complexity: linear.
const Target *chooseByOwnCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                               RandomSource &random);

/// The better of two drawn at random, by own calls, then by report. Complexity: linear.
const Target *chooseOfTwo(const std::vector<Candidate> &candidates, std::uint32_t limit,
                          RandomSource &random);

/// As `chooseByOwnCount` among a subset that differs from node to node.
/// \param seat the node's place among the nodes, \param size of the subset.
std::vector<Candidate> subsetOf(const std::vector<Candidate> &candidates, std::size_t seat,
                                std::size_t size);

} // namespace geraniumpulley::core
