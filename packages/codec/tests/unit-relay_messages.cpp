#include <geraniumpulley/codec/relay_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;

TEST_CASE("a relayed attempt and its answer decode to the values that were encoded")
{
    const codec::RelayedAttempt attempt{
            "n/1/7", "10.0.0.1:80", "POST", "/p?q=1",          "host", "r1",
            "X-Id",  {{"A", "b"}},  "body", core::Duration(9), true};
    const auto decoded = codec::decodeRelayedAttempt(codec::encodeRelayedAttempt(attempt));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().id == attempt.id);
    CHECK(decoded.value().address == attempt.address);
    CHECK(decoded.value().method == attempt.method);
    CHECK(decoded.value().target == attempt.target);
    CHECK(decoded.value().host == attempt.host);
    CHECK(decoded.value().requestId == attempt.requestId);
    CHECK(decoded.value().idHeader == attempt.idHeader);
    CHECK(decoded.value().headers == attempt.headers);
    CHECK(decoded.value().body == attempt.body);
    CHECK(decoded.value().timeLeft == attempt.timeLeft);
    CHECK(decoded.value().reuseConnection);
    const codec::RelayedAnswer answer{
            codec::RelayedAnswer::Delivery::Answered, true, false, 200, {{"A", "b"}}, "body"};
    const auto decodedAnswer = codec::decodeRelayedAnswer(codec::encodeRelayedAnswer(answer));
    REQUIRE(decodedAnswer.has_value());
    CHECK(decodedAnswer.value().delivery == answer.delivery);
    CHECK(decodedAnswer.value().closedByTarget);
    CHECK_FALSE(decodedAnswer.value().isSelfDelimited);
    CHECK(decodedAnswer.value().status == 200);
    CHECK(decodedAnswer.value().headers == answer.headers);
    CHECK(decodedAnswer.value().body == answer.body);
    CHECK_FALSE(codec::decodeRelayedAttempt("x").has_value());
    CHECK_FALSE(codec::decodeRelayedAnswer("").has_value());
}

// Guards against an answer that a node of an earlier build passes on.
TEST_CASE("a relayed answer whose status is none is no answer")
{
    using Delivery = codec::RelayedAnswer::Delivery;
    for (const std::uint32_t status : {0U, 99U, 101U, 600U, 999U, 4'000'000'000U}) {
        CAPTURE(status);
        CHECK_FALSE(codec::decodeRelayedAnswer(
                            codec::encodeRelayedAnswer(
                                    {Delivery::Answered, false, true, status, {}, {}}))
                            .has_value());
        CHECK(codec::decodeRelayedAnswer(
                      codec::encodeRelayedAnswer({Delivery::NotSent, false, true, status, {}, {}}))
                      .has_value());
    }
}
