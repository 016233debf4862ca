#include <geraniumpulley/codec/permit_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;
using namespace std::chrono_literals;

TEST_CASE("requests for permits and grants decode to the values that were encoded")
{
    const auto request = codec::decodePermitRequest(
            codec::encodePermits(core::PermitRequest{{"i-1"}, "node/calls", {6.8}, 3, 150ms}));
    REQUIRE(request.has_value());
    CHECK(request.value().target == core::TargetId{"i-1"});
    CHECK(request.value().requester == "node/calls");
    CHECK(request.value().limit == core::RequestRate{6.8});
    CHECK(request.value().count == 3);
    CHECK(request.value().maxWait == 150ms);
    const core::PermitGrant grant{2, 5ms, 150ms, 100ms, 300ms};
    const auto decoded = codec::decodePermitGrant(codec::encodePermits(grant));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == grant);
}

TEST_CASE("a grant with a negative delay is rejected")
{
    const core::PermitGrant grant{1, 5ms, 150ms, -1ms, 300ms};
    CHECK_FALSE(codec::decodePermitGrant(codec::encodePermits(grant)).has_value());
}
