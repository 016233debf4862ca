#include <geraniumpulley/core/calls/routing.hpp>

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

std::vector<Candidate> openTo(const std::vector<Candidate> &candidates, std::uint32_t limit)
{
    std::vector<Candidate> open;
    std::vector<Candidate> ejected;
    for (const Candidate &candidate : candidates) {
        if (candidate.own < limit)
            (candidate.usable ? open : ejected).push_back(candidate);
    }
    // With every target ejected the fault is likelier on this side, so they are used again.
    const bool allEjected = std::none_of(candidates.begin(), candidates.end(),
                                         [](const Candidate &c) { return c.usable; });
    return allEjected ? ejected : open;
}

} // namespace

// SplitMix64.
std::size_t draw(RandomSource &random, std::size_t bound)
{
    random.state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random.state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    return mixed % bound;
}

const Target *chooseByReport(const std::vector<Candidate> &candidates, std::uint32_t limit,
                             RandomSource &)
{
    const std::vector<Candidate> open = openTo(candidates, limit);
    const auto best =
            std::min_element(open.begin(), open.end(), [](const Candidate &a, const Candidate &b) {
                return a.reported < b.reported;
            });
    return best == open.end() ? nullptr : best->target;
}

const Target *chooseByOwnCount(const std::vector<Candidate> &candidates, std::uint32_t limit,
                               RandomSource &random)
{
    const std::vector<Candidate> open = openTo(candidates, limit);
    const Target *best = nullptr;
    std::uint32_t bestOwn = 0;
    std::size_t ties = 0;
    for (const Candidate &candidate : open) {
        if (best != nullptr && candidate.own > bestOwn)
            continue;
        ties = best != nullptr && candidate.own == bestOwn ? ties + 1 : 1;
        if (ties == 1 || draw(random, ties) == 0)
            best = candidate.target;
        bestOwn = candidate.own;
    }
    return best;
}

const Target *chooseOfTwo(const std::vector<Candidate> &candidates, std::uint32_t limit,
                          RandomSource &random)
{
    const std::vector<Candidate> open = openTo(candidates, limit);
    if (open.empty())
        return nullptr;
    const Candidate &first = open[draw(random, open.size())];
    const Candidate &second = open[draw(random, open.size())];
    const bool firstIsBetter =
            std::tie(first.own, first.reported) <= std::tie(second.own, second.reported);
    return firstIsBetter ? first.target : second.target;
}

std::vector<Candidate> subsetOf(const std::vector<Candidate> &candidates, std::size_t seat,
                                std::size_t size)
{
    if (candidates.size() <= size)
        return candidates;
    std::vector<Candidate> subset;
    for (std::size_t i = 0; i < size; ++i)
        subset.push_back(candidates[(seat * size + i) % candidates.size()]);
    return subset;
}

} // namespace geraniumpulley::core
