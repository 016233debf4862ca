#pragma once

#include <cstdint>

/// A limit on retries as a share of calls, so that an outage is not multiplied.
namespace geraniumpulley::core {

struct RetryBudget
{
    std::uint32_t percent = 10; ///< Retries allowed for a hundred calls.
    std::uint32_t mostSaved = 1000; ///< Hundredths of a retry that a quiet time saves up.
    std::uint32_t saved = 1000; ///< Hundredths of a retry.
};

/// Notes a call's first attempt.
void noteCall(RetryBudget &budget);

/// \return whether a retry may be sent; it is then taken from the budget.
bool takeRetry(RetryBudget &budget);

} // namespace geraniumpulley::core
