#include <geraniumpulley/core/fleet/presence.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

NodeBeat makeBeat(const std::string &id, std::uint64_t incarnation, std::uint64_t counter)
{
    return {{{id}, id + ":1", "zone", incarnation}, counter, false};
}

// Beats of this node, each 600 ms, which show that the feed is heard.
void hearSelf(Presence &presence, Time from, Time until)
{
    for (Time time = from; time <= until; time += 600ms)
        noteBeat(presence,
                 makeBeat("self", 1, static_cast<std::uint64_t>(time.time_since_epoch().count())),
                 time);
}

} // namespace

TEST_CASE("a node that is silent for longer than the limit is gone")
{
    Presence presence = makePresence({"self"}, {}, start);
    noteBeat(presence, makeBeat("other", 1, 1), start);
    hearSelf(presence, start, start + 3s);
    CHECK_FALSE(isGone(presence, {"other"}, 1, start + 1900ms));
    CHECK(isGone(presence, {"other"}, 1, start + 2100ms));
}

TEST_CASE("a node that was never heard is gone after the limit")
{
    Presence presence = makePresence({"self"}, {}, start);
    hearSelf(presence, start, start + 3s);
    CHECK_FALSE(isGone(presence, {"never"}, 1, start + 1900ms));
    CHECK(isGone(presence, {"never"}, 1, start + 2100ms));
}

TEST_CASE("a newer start of a node ends the older one at once")
{
    Presence presence = makePresence({"self"}, {}, start);
    noteBeat(presence, makeBeat("other", 1, 9), start);
    noteBeat(presence, makeBeat("other", 2, 1), start + 100ms);
    CHECK(isGone(presence, {"other"}, 1, start + 100ms));
    CHECK_FALSE(isGone(presence, {"other"}, 2, start + 100ms));
    // A late row of the older start does not bring it back.
    noteBeat(presence, makeBeat("other", 1, 10), start + 200ms);
    CHECK(isGone(presence, {"other"}, 1, start + 200ms));
}

TEST_CASE("without own beats nobody is taken for gone, and silence starts anew after that")
{
    Presence presence = makePresence({"self"}, {}, start);
    noteBeat(presence, makeBeat("other", 1, 1), start);
    CHECK(isDeaf(presence, start + 5s));
    CHECK_FALSE(isGone(presence, {"other"}, 1, start + 5s));
    noteBeat(presence, makeBeat("self", 1, 2), start + 5s);
    CHECK_FALSE(isGone(presence, {"other"}, 1, start + 5s));
    hearSelf(presence, start + 5s + 600ms, start + 8s);
    CHECK(isGone(presence, {"other"}, 1, start + 7100ms));
}

TEST_CASE("nodes that leave take nothing over, and are not gone")
{
    Presence presence = makePresence({"self"}, {}, start);
    NodeBeat leaving = makeBeat("other", 1, 1);
    leaving.leaving = true;
    noteBeat(presence, leaving, start);
    noteBeat(presence, makeBeat("self", 1, 1), start);
    const std::vector<Node> live = liveNodes(presence, start);
    REQUIRE(live.size() == 1);
    CHECK(live[0].id.value == "self");
    CHECK_FALSE(isGone(presence, {"other"}, 1, start));
}
