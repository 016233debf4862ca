#include <geraniumpulley/core/calls/admission.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

using Levels = std::map<std::uint32_t, CustomerQueues, std::greater<>>;
using Customers = std::map<std::string, std::deque<OperationId>>;

// Adjusts the size and removes queues that became empty, after a call of `customer` was removed.
void updateAfterRemoval(AdmissionQueue &queue, Levels::iterator level, Customers::iterator customer)
{
    --queue.size;
    if (customer->second.empty())
        level->second.customers.erase(customer);
    if (level->second.customers.empty())
        queue.levels.erase(level);
}

OperationId shedCall(AdmissionQueue &queue)
{
    const auto level = std::prev(queue.levels.end());
    Customers &customers = level->second.customers;
    const auto longestQueue =
            std::max_element(customers.begin(), customers.end(), [](const auto &a, const auto &b) {
                return a.second.size() < b.second.size();
            });
    const OperationId call = longestQueue->second.back();
    longestQueue->second.pop_back();
    updateAfterRemoval(queue, level, longestQueue);
    return call;
}

} // namespace

std::optional<OperationId> enqueue(AdmissionQueue &queue, const std::string &customer,
                                   std::uint32_t priority, OperationId call, std::size_t bound)
{
    queue.levels[priority].customers[customer].push_back(call);
    ++queue.size;
    if (queue.size <= bound)
        return std::nullopt;
    return shedCall(queue);
}

std::optional<OperationId> dequeue(AdmissionQueue &queue)
{
    if (queue.levels.empty())
        return std::nullopt;
    const auto level = queue.levels.begin();
    Customers &customers = level->second.customers;
    auto customer = customers.upper_bound(level->second.lastServedCustomer);
    if (customer == customers.end())
        customer = customers.begin();
    level->second.lastServedCustomer = customer->first;
    const OperationId call = customer->second.front();
    customer->second.pop_front();
    updateAfterRemoval(queue, level, customer);
    return call;
}

void removeQueued(AdmissionQueue &queue, const std::string &customer, std::uint32_t priority,
                  OperationId call)
{
    const auto level = queue.levels.find(priority);
    if (level == queue.levels.end())
        return;
    const auto calls = level->second.customers.find(customer);
    if (calls == level->second.customers.end())
        return;
    const auto position = std::find(calls->second.begin(), calls->second.end(), call);
    if (position == calls->second.end())
        return;
    calls->second.erase(position);
    updateAfterRemoval(queue, level, calls);
}

} // namespace geraniumpulley::core
