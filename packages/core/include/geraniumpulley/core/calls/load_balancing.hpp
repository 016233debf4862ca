#pragma once

#include <geraniumpulley/core/calls/target_health.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

/// Load balancing: chooses one of a service's targets for a call.
namespace geraniumpulley::core {

/// A target that may be chosen, with its load as this node knows it.
struct Candidate
{
    const Target *target = nullptr;
    std::uint32_t ownInFlight = 0; ///< This node's calls in flight; always current.
    std::uint32_t reportedInFlight = 0; ///< All nodes' calls as last reported; may be seconds old.
    bool usable = true; ///< Whether the target may get a call, that is, is not ejected.
};

/// The state of a pseudo-random number generator, seeded by the code that uses the core.
struct RandomSource
{
    std::uint64_t state = 0;
};

/// \return the next random number below `bound`, which must be at least 1.
std::size_t draw(RandomSource &random, std::size_t bound);

/// A load-balancing policy. \return the chosen target, or null when every usable candidate has
/// `limit` own calls in flight. Ejected candidates are considered only when all are ejected.
using ChooseTarget = const Target *(*)(const std::vector<Candidate> &candidates,
                                       std::uint32_t limit, RandomSource &random);

/// Chooses the fewest reported calls; the first candidate wins a tie. Complexity: linear.
const Target *chooseByReportedCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                                    RandomSource &random);

/// Chooses the fewest own calls; ties are broken at random. Complexity: linear.
const Target *chooseByOwnCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                               RandomSource &random);

/// Power of two choices: the less loaded of two random candidates, by own calls, then by reported
/// calls. Complexity: linear.
const Target *chooseBestOfTwo(const std::vector<Candidate> &candidates, std::uint32_t limit,
                              RandomSource &random);

/// Selects the subset of the candidates that one node uses; it differs from node to node.
/// \param nodeIndex the node's position among the nodes.
/// \param size the number of candidates in the subset.
std::vector<Candidate> subsetOf(const std::vector<Candidate> &candidates, std::size_t nodeIndex,
                                std::size_t size);

} // namespace geraniumpulley::core
