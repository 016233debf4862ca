#include <geraniumpulley/runtime/duty.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace geraniumpulley;

TEST_CASE("what a handler refers to outlives its thread, since callbacks of parts may come later")
{
    auto state = std::make_shared<int>(0);
    const std::weak_ptr<int> watch = state;
    {
        runtime::Duty<int> duty(4);
        duty.start("test", [state = std::move(state)](int &&message) { *state += message; });
        CHECK(duty.inbox().push(2));
        duty.stop();
        REQUIRE_FALSE(watch.expired());
        CHECK(*watch.lock() == 2);
    }
    CHECK(watch.expired());
}

TEST_CASE("messages that are inside when a duty stops are still handled, later ones refused")
{
    int sum = 0;
    runtime::Duty<int> duty(4);
    CHECK(duty.inbox().push(1));
    CHECK(duty.inbox().push(2));
    duty.start("test", [&sum](int &&message) { sum += message; });
    duty.stop();
    CHECK(sum == 3);
    CHECK_FALSE(duty.inbox().push(4));
    CHECK_FALSE(duty.deliver(4));
}
