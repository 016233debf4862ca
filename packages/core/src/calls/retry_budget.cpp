#include <geraniumpulley/core/calls/retry_budget.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t oneRetry = 100; // hundredths

} // namespace

void noteCall(RetryBudget &budget)
{
    budget.saved = std::min(budget.saved + budget.percent, budget.mostSaved);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.saved < oneRetry)
        return false;
    budget.saved -= oneRetry;
    return true;
}

} // namespace geraniumpulley::core
