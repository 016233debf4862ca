#pragma once

#include <geraniumpulley/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// A bounded queue of calls that wait for a target: fair between customers, with load shedding by
/// priority.
namespace geraniumpulley::core {

/// The waiting calls of one priority, by customer.
struct CustomerQueues
{
    /// Oldest call first; no queue is empty.
    std::map<std::string, std::deque<OperationId>> customers;
    std::string lastServedCustomer; ///< The customer whose call was dequeued last.
};

/// The waiting calls of one service, by priority and customer.
struct AdmissionQueue
{
    /// By priority; no level is empty.
    std::map<std::uint32_t, CustomerQueues, std::greater<>> levels;
    std::size_t size = 0;
};

/// Adds a call. If more than `bound` calls then wait, sheds one: at the lowest priority, the newest
/// call of the customer with the most waiting calls.
/// \return the shed call, which may be the one just added, or nothing.
/// Complexity: linear in customers when a call is shed, otherwise logarithmic.
std::optional<OperationId> enqueue(AdmissionQueue &queue, const std::string &customer,
                                   std::uint32_t priority, OperationId call, std::size_t bound);

/// Removes the next call: the oldest one of the highest priority, with customers served
/// round-robin.
/// \return the call, or nothing if the queue is empty. Complexity: logarithmic in customers.
std::optional<OperationId> dequeue(AdmissionQueue &queue);

/// Removes a call from any position of the queue; does nothing if the call is not queued.
/// Complexity: linear in the customer's calls.
void removeQueued(AdmissionQueue &queue, const std::string &customer, std::uint32_t priority,
                  OperationId call);

} // namespace geraniumpulley::core
