#include <geraniumpulley/core/calls/retry_budget.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr std::uint32_t hundredthsPerRetry = 100;

} // namespace

void recordCall(RetryBudget &budget)
{
    budget.creditHundredths =
            std::min(budget.creditHundredths + budget.retryPercent, budget.maxCreditHundredths);
}

bool tryConsumeRetry(RetryBudget &budget)
{
    if (budget.creditHundredths < hundredthsPerRetry)
        return false;
    budget.creditHundredths -= hundredthsPerRetry;
    return true;
}

} // namespace geraniumpulley::core
