#include <geraniumpulley/core/fleet/presence.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

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

TEST_CASE("ranks of a takeover differ from node to node and name one first node")
{
    std::vector<std::size_t> ranks;
    for (const char *self : {"a", "b", "c", "d"}) {
        Presence presence = makePresence({self}, {}, start);
        for (const char *id : {"a", "b", "c", "d"})
            noteBeat(presence, makeBeat(id, 1, 1), start);
        ranks.push_back(takeoverRank(presence, "key", start));
    }
    std::sort(ranks.begin(), ranks.end());
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
}

TEST_CASE("nodes with little processor time take work last, and leaving or silent ones none")
{
    Presence presence = makePresence({"self"}, {}, start);
    const auto beat = [&](const char *id, std::uint32_t capacity, bool leaving = false) {
        NodeBeat beat = makeBeat(id, 1, 1);
        beat.capacity = capacity;
        beat.leaving = leaving;
        noteBeat(presence, beat, start);
    };
    beat("small", 120);
    beat("large", 500);
    beat("medium", 250);
    beat("leaving", 500, true);
    hearSelf(presence, start, start + 1s);
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        const std::vector<Node> nodes = rankNodes(presence, key, start + 1s);
        REQUIRE(nodes.size() == 4);
        // This node's beat does not tell its capacity.
        CHECK((nodes[0].id.value == "large" || nodes[0].id.value == "medium"));
        CHECK((nodes[1].id.value == "large" || nodes[1].id.value == "medium"));
    }
    CHECK(rankNodes(presence, "a", start + 3s).size() == 1);
}

TEST_CASE("keys spread over nodes of equal capacity, and keep their node while it lives")
{
    Presence presence = makePresence({"n0"}, {}, start);
    for (int i = 0; i < 10; ++i)
        noteBeat(presence, makeBeat("n" + std::to_string(i), 1, 1), start);
    std::set<std::string> owners;
    for (int i = 0; i < 40; ++i) {
        const std::string key = "model-" + std::to_string(i);
        const std::vector<Node> before = rankNodes(presence, key, start);
        owners.insert(before[0].id.value);
        Presence fewer = presence;
        fewer.nodes.erase(before[5].id);
        CHECK(rankNodes(fewer, key, start)[0].id == before[0].id);
    }
    CHECK(owners.size() >= 8);
}
