#pragma once

#include <geraniumpulley/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// The bounded queue of calls that wait for a target: fair between customers, shed by priority.
namespace geraniumpulley::core {

/// The waiting calls of one priority.
struct CustomerQueues
{
    std::map<std::string, std::deque<OperationId>> customers; ///< None of them empty.
    std::string lastServed;
};

struct AdmissionQueue
{
    std::map<std::uint32_t, CustomerQueues, std::greater<>> levels; ///< By priority, none empty.
    std::size_t size = 0;
};

/// Adds a call. When `bound` calls wait already, one is shed: of the lowest priority, of the
/// customer with the most waiting calls there, the newest.
/// \return the shed call, which may be the one just added, or nothing.
/// Complexity: linear in customers when it sheds, else logarithmic.
std::optional<OperationId> enqueue(AdmissionQueue &queue, const std::string &customer,
                                   std::uint32_t priority, OperationId call, std::size_t bound);

/// Takes the next call: of the highest priority, customers in turn, oldest first.
/// Complexity: logarithmic in customers.
std::optional<OperationId> dequeue(AdmissionQueue &queue);

/// Removes a call that waits no longer. Complexity: linear in the customer's calls.
void removeQueued(AdmissionQueue &queue, const std::string &customer, std::uint32_t priority,
                  OperationId call);

} // namespace geraniumpulley::core
