#include <geraniumpulley/core/calls/retry_budget.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t hundredthsPerRetry = 100;

} // namespace

void noteCall(RetryBudget &budget)
{
    budget.saved = std::min(budget.saved + budget.percent, budget.mostSaved);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.saved < hundredthsPerRetry)
        return false;
    budget.saved -= hundredthsPerRetry;
    return true;
}

} // namespace geraniumpulley::core
