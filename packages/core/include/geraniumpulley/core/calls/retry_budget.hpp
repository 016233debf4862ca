#pragma once

#include <cstdint>

/// A retry budget: limits retries to a share of the calls, so that retries do not multiply the load
/// during an outage.
namespace geraniumpulley::core {

/// A token bucket that first attempts fill and retries drain.
struct RetryBudget
{
    std::uint32_t retryPercent = 10; ///< Retries allowed per hundred calls.
    /// Upper limit of the credit, in hundredths of a retry.
    std::uint32_t maxCreditHundredths = 1000;
    std::uint32_t creditHundredths = 1000; ///< Unused credit, in hundredths of a retry.
};

/// Adds the credit of a call's first attempt.
void recordCall(RetryBudget &budget);

/// Takes one retry from the budget. \return whether the credit sufficed, so the retry may be sent.
bool tryConsumeRetry(RetryBudget &budget);

} // namespace geraniumpulley::core
