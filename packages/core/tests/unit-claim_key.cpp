#include <geraniumpulley/core/calls/claim_key.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

namespace {

Call makeCall(const char *customer, const char *key)
{
    return {{"orders"}, customer, "POST", "/book", "", "{}", key};
}

} // namespace

TEST_CASE("the creation time is read from a key, and malformed keys are rejected")
{
    CHECK(keyCreationTime("1700000000-a1b2c3d4") == WallTime(std::chrono::seconds(1'700'000'000)));
    for (const char *malformed : {"", "abc", "-a1b2c3d4", "1700000000", "1700000000-short",
                                  "17x-a1b2c3d4", "1700000000-a1b2c3d4 ", "999999999999-a1b2c3d4"})
        CHECK_FALSE(keyCreationTime(malformed));
}

TEST_CASE("the customer is part of a request's identity")
{
    const auto one = claimKeyOf(makeCall("depot-1", "1700000000-a1b2c3d4"));
    const auto other = claimKeyOf(makeCall("depot-2", "1700000000-a1b2c3d4"));
    REQUIRE(one);
    REQUIRE(other);
    CHECK(one->identity != other->identity);
}

TEST_CASE("a call without a key is identified by its content")
{
    Call call = makeCall("depot-1", "");
    const auto first = claimKeyOf(call);
    CHECK(claimKeyOf(call) == first);
    call.body = "{ }";
    CHECK(claimKeyOf(call)->identity != first->identity);
}
