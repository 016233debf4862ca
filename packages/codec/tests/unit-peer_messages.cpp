#include <geraniumpulley/codec/peer_messages.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley;

TEST_CASE("a forwarded call round-trips, including zero bytes")
{
    const core::Call call{{"orders"}, "clerk", "POST", "/book", "text/plain", {"a\0b", 3}, "k1"};
    const auto decoded = codec::decodeForwardedCall(
            codec::encodePeer(codec::ForwardedCall{call, std::chrono::milliseconds(250)}));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().call.body == call.body);
    CHECK(decoded.value().timeLeft == std::chrono::milliseconds(250));
}

TEST_CASE("truncated and random bytes are rejected")
{
    const core::CallAnswer answer{core::Outcome::Ran, core::Reason::Served, 200, "t", "body"};
    const std::string encoded = codec::encodePeer(answer);
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(codec::decodeCallAnswer(encoded.substr(0, length)).has_value());
    std::mt19937 random(7);
    for (int round = 0; round < 1000; ++round) {
        std::string bytes(random() % 64, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        CHECK_FALSE(codec::decodeAnnouncement(bytes).has_value());
    }
}

// Guards against an answer that a node of an earlier build passes on.
TEST_CASE("a forwarded call whose status is none may have run")
{
    for (const std::uint32_t status : {0U, 99U, 101U, 600U, 999U}) {
        CAPTURE(status);
        const core::CallAnswer answer{core::Outcome::Ran, core::Reason::Served, status, "t", "b"};
        const auto decoded = codec::decodeCallAnswer(codec::encodePeer(answer));
        REQUIRE(decoded.has_value());
        CHECK(decoded.value().outcome == core::Outcome::Unknown);
        CHECK(decoded.value().status == 502);
        CHECK(decoded.value().body.empty());
    }
}
