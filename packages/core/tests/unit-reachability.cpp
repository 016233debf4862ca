#include <geraniumpulley/core/calls/reachability.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
constexpr OperationId probe{1};

TargetsProbed makeProbed(ProbeOutcome first, ProbeOutcome second)
{
    return {probe, {first, second}};
}

} // namespace

TEST_CASE("targets are probed after one failure in a quiet time, or after failures of two targets")
{
    Reachability reachability;
    recordReached(reachability, start);
    CHECK_FALSE(isProbeDue(reachability, start + 5s));
    recordUnreached(reachability, {"a"});
    CHECK_FALSE(isProbeDue(reachability, start));
    CHECK(isProbeDue(reachability, start + 1s));
    CHECK(dueAt(reachability) == start + 1s);
    recordUnreached(reachability, {"b"});
    CHECK(isProbeDue(reachability, start));
    recordReached(reachability, start);
    CHECK_FALSE(isProbeDue(reachability, start + 5s));
}

TEST_CASE("a node is cut off while no probed target accepts a connection")
{
    Reachability reachability;
    recordUnreached(reachability, {"a"});
    CHECK(recordProbe(reachability, makeProbed(ProbeOutcome::Refused, ProbeOutcome::Silent),
                      start));
    CHECK(reachability.isCutOff);
    // Answers on old connections do not show that new ones can be opened.
    recordReached(reachability, start);
    CHECK(reachability.isCutOff);
    CHECK(isProbeDue(reachability, start + 500ms));
    CHECK_FALSE(recordProbe(reachability, makeProbed(ProbeOutcome::Silent, ProbeOutcome::Silent),
                            start + 500ms));
    CHECK(recordProbe(reachability, makeProbed(ProbeOutcome::Refused, ProbeOutcome::Accepted),
                      start + 1s));
    CHECK_FALSE(reachability.isCutOff);
    CHECK_FALSE(dueAt(reachability).has_value());
}

TEST_CASE("while targets are reached, probes keep their distance")
{
    Reachability reachability;
    recordProbe(reachability, makeProbed(ProbeOutcome::Accepted, ProbeOutcome::Silent), start);
    recordUnreached(reachability, {"a"});
    recordUnreached(reachability, {"b"});
    CHECK_FALSE(isProbeDue(reachability, start + 1s));
    CHECK(isProbeDue(reachability, start + 2s));
}
