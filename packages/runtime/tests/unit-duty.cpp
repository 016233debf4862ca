#include <geraniumpulley/runtime/duty.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace geraniumpulley;

TEST_CASE("the captures of a handler outlive the thread, for callbacks that run after it has ended")
{
    auto state = std::make_shared<int>(0);
    const std::weak_ptr<int> weakState = state;
    {
        runtime::Duty<int> duty(4);
        duty.start("test", [state = std::move(state)](int &&message) { *state += message; });
        CHECK(duty.inbox().push(2));
        duty.stop();
        REQUIRE_FALSE(weakState.expired());
        CHECK(*weakState.lock() == 2);
    }
    CHECK(weakState.expired());
}

TEST_CASE("messages queued when a duty stops are handled, later ones are rejected")
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
