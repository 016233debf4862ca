#include <geraniumpulley/core/calls/admission.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

TEST_CASE("the lowest priority is shed first, within it the customer with the most waiting calls")
{
    AdmissionQueue queue;
    std::uint64_t next = 1;
    const auto add = [&](const char *customer, std::uint32_t priority) {
        return enqueue(queue, customer, priority, OperationId{next++}, 4);
    };
    CHECK_FALSE(add("busy", 0));
    CHECK_FALSE(add("busy", 0));
    CHECK_FALSE(add("quiet", 0));
    CHECK_FALSE(add("busy", 1));
    CHECK(add("quiet", 1) == OperationId{2});
    CHECK(add("quiet", 0) == OperationId{6});
    CHECK(queue.size == 4);
    CHECK(dequeue(queue) == OperationId{4});
    CHECK(dequeue(queue) == OperationId{5});
    removeQueued(queue, "busy", 0, OperationId{1});
    CHECK(dequeue(queue) == OperationId{3});
    CHECK_FALSE(dequeue(queue));
}
