#include <geraniumpulley/core/calls/load_balancing.hpp>

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// \return the candidates below the limit that are not ejected, or the ejected ones if all are.
std::vector<Candidate> availableCandidates(const std::vector<Candidate> &candidates,
                                           std::uint32_t limit)
{
    std::vector<Candidate> available;
    std::vector<Candidate> ejected;
    for (const Candidate &candidate : candidates) {
        if (candidate.ownInFlight < limit)
            (candidate.usable ? available : ejected).push_back(candidate);
    }
    // If every target is ejected, the fault is more likely on this node's side, so all are used.
    const bool allEjected = std::none_of(candidates.begin(), candidates.end(),
                                         [](const Candidate &c) { return c.usable; });
    return allEjected ? ejected : available;
}

} // namespace

// The SplitMix64 generator.
std::size_t draw(RandomSource &random, std::size_t bound)
{
    random.state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random.state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return mixed % bound;
}

const Target *chooseByReportedCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                                    RandomSource &)
{
    const std::vector<Candidate> available = availableCandidates(candidates, limit);
    const auto best = std::min_element(available.begin(), available.end(),
                                       [](const Candidate &a, const Candidate &b) {
                                           return a.reportedInFlight < b.reportedInFlight;
                                       });
    return best == available.end() ? nullptr : best->target;
}

const Target *chooseByOwnCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                               RandomSource &random)
{
    const std::vector<Candidate> available = availableCandidates(candidates, limit);
    const Target *best = nullptr;
    std::uint32_t bestOwn = 0;
    std::size_t ties = 0;
    for (const Candidate &candidate : available) {
        if (best != nullptr && candidate.ownInFlight > bestOwn)
            continue;
        ties = best != nullptr && candidate.ownInFlight == bestOwn ? ties + 1 : 1;
        if (ties == 1 || draw(random, ties) == 0)
            best = candidate.target;
        bestOwn = candidate.ownInFlight;
    }
    return best;
}

const Target *chooseBestOfTwo(const std::vector<Candidate> &candidates, std::uint32_t limit,
                              RandomSource &random)
{
    const std::vector<Candidate> available = availableCandidates(candidates, limit);
    if (available.empty())
        return nullptr;
    const Candidate &first = available[draw(random, available.size())];
    const Candidate &second = available[draw(random, available.size())];
    const bool isFirstBetter = std::tie(first.ownInFlight, first.reportedInFlight)
                               <= std::tie(second.ownInFlight, second.reportedInFlight);
    return isFirstBetter ? first.target : second.target;
}

std::vector<Candidate> subsetOf(const std::vector<Candidate> &candidates, std::size_t nodeIndex,
                                std::size_t size)
{
    if (candidates.size() <= size)
        return candidates;
    std::vector<Candidate> subset;
    for (std::size_t i = 0; i < size; ++i)
        subset.push_back(candidates[(nodeIndex * size + i) % candidates.size()]);
    return subset;
}

} // namespace geraniumpulley::core
