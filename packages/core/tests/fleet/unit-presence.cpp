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

NodeHeartbeat makeHeartbeat(const std::string &id, std::uint64_t incarnation, std::uint64_t counter)
{
    return {{{id}, id + ":1", "zone", incarnation}, counter, false};
}

// Records own heartbeats each 600 ms, which show that the feed is up to date.
void recordOwnHeartbeats(Presence &presence, Time from, Time until)
{
    for (Time time = from; time <= until; time += 600ms) {
        recordHeartbeat(presence,
                        makeHeartbeat("self", 1,
                                      static_cast<std::uint64_t>(time.time_since_epoch().count())),
                        time);
    }
}

} // namespace

TEST_CASE("a node is dead after the heartbeat timeout")
{
    Presence presence = makePresence({"self"}, {}, start);
    recordHeartbeat(presence, makeHeartbeat("other", 1, 1), start);
    recordOwnHeartbeats(presence, start, start + 3s);
    CHECK_FALSE(isDead(presence, {"other"}, 1, start + 1900ms));
    CHECK(isDead(presence, {"other"}, 1, start + 2100ms));
}

TEST_CASE("a node that never sent a heartbeat is dead after the timeout")
{
    Presence presence = makePresence({"self"}, {}, start);
    recordOwnHeartbeats(presence, start, start + 3s);
    CHECK_FALSE(isDead(presence, {"never"}, 1, start + 1900ms));
    CHECK(isDead(presence, {"never"}, 1, start + 2100ms));
}

TEST_CASE("a newer incarnation of a node ends the older one at once")
{
    Presence presence = makePresence({"self"}, {}, start);
    recordHeartbeat(presence, makeHeartbeat("other", 1, 9), start);
    recordHeartbeat(presence, makeHeartbeat("other", 2, 1), start + 100ms);
    CHECK(isDead(presence, {"other"}, 1, start + 100ms));
    CHECK_FALSE(isDead(presence, {"other"}, 2, start + 100ms));
    // A late row of the older incarnation does not revive it.
    recordHeartbeat(presence, makeHeartbeat("other", 1, 10), start + 200ms);
    CHECK(isDead(presence, {"other"}, 1, start + 200ms));
}

TEST_CASE("while the feed is stale no node is dead, and the timeouts restart after that")
{
    Presence presence = makePresence({"self"}, {}, start);
    recordHeartbeat(presence, makeHeartbeat("other", 1, 1), start);
    CHECK(isFeedStale(presence, start + 5s));
    CHECK_FALSE(isDead(presence, {"other"}, 1, start + 5s));
    recordHeartbeat(presence, makeHeartbeat("self", 1, 2), start + 5s);
    CHECK_FALSE(isDead(presence, {"other"}, 1, start + 5s));
    recordOwnHeartbeats(presence, start + 5s + 600ms, start + 8s);
    CHECK(isDead(presence, {"other"}, 1, start + 7100ms));
}

TEST_CASE("leaving nodes take over no work and are not dead")
{
    Presence presence = makePresence({"self"}, {}, start);
    NodeHeartbeat leaving = makeHeartbeat("other", 1, 1);
    leaving.leaving = true;
    recordHeartbeat(presence, leaving, start);
    recordHeartbeat(presence, makeHeartbeat("self", 1, 1), start);
    const std::vector<Node> live = liveNodes(presence, start);
    REQUIRE(live.size() == 1);
    CHECK(live[0].id.value == "self");
    CHECK_FALSE(isDead(presence, {"other"}, 1, start));
}

TEST_CASE("takeover ranks are distinct and start at 0")
{
    std::vector<std::size_t> ranks;
    for (const char *self : {"a", "b", "c", "d"}) {
        Presence presence = makePresence({self}, {}, start);
        for (const char *id : {"a", "b", "c", "d"})
            recordHeartbeat(presence, makeHeartbeat(id, 1, 1), start);
        ranks.push_back(takeoverRank(presence, "key", start));
    }
    std::sort(ranks.begin(), ranks.end());
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
}

TEST_CASE("nodes of low capacity rank last, and leaving or timed-out nodes are left out")
{
    Presence presence = makePresence({"self"}, {}, start);
    const auto add = [&](const char *id, std::uint32_t capacity, bool leaving = false) {
        NodeHeartbeat heartbeat = makeHeartbeat(id, 1, 1);
        heartbeat.capacityMillicores = capacity;
        heartbeat.leaving = leaving;
        recordHeartbeat(presence, heartbeat, start);
    };
    add("small", 120);
    add("large", 500);
    add("medium", 250);
    add("leaving", 500, true);
    recordOwnHeartbeats(presence, start, start + 1s);
    for (const char *key : {"a", "b", "c", "d", "e"}) {
        const std::vector<Node> nodes = rankNodes(presence, key, start + 1s);
        REQUIRE(nodes.size() == 4);
        // The heartbeats of this node report no capacity, so it ranks below these two.
        CHECK((nodes[0].id.value == "large" || nodes[0].id.value == "medium"));
        CHECK((nodes[1].id.value == "large" || nodes[1].id.value == "medium"));
    }
    CHECK(rankNodes(presence, "a", start + 3s).size() == 1);
}

TEST_CASE("keys spread over nodes of equal capacity, and keep their node while it is live")
{
    Presence presence = makePresence({"n0"}, {}, start);
    for (int i = 0; i < 10; ++i)
        recordHeartbeat(presence, makeHeartbeat("n" + std::to_string(i), 1, 1), start);
    std::set<std::string> owners;
    for (int i = 0; i < 40; ++i) {
        const std::string key = "model-" + std::to_string(i);
        const std::vector<Node> before = rankNodes(presence, key, start);
        owners.insert(before[0].id.value);
        Presence withoutOtherNode = presence;
        withoutOtherNode.nodes.erase(before[5].id);
        CHECK(rankNodes(withoutOtherNode, key, start)[0].id == before[0].id);
    }
    CHECK(owners.size() >= 8);
}

TEST_CASE("nodes that reach no target take work over last and are no peers for requests")
{
    Presence presence = makePresence({"self"}, {}, start);
    recordHeartbeat(presence, makeHeartbeat("self", 1, 1), start);
    for (const char *id : {"a", "b"})
        recordHeartbeat(presence, makeHeartbeat(id, 1, 1), start);
    const NodeId first = rankNodes(presence, "key", start).front().id;
    NodeHeartbeat cutOff = makeHeartbeat(first.value, 1, 2);
    cutOff.reachesTargets = false;
    recordHeartbeat(presence, cutOff, start);
    CHECK(rankNodes(presence, "key", start).back().id == first);
    CHECK(liveNodes(presence, start).size() == 3);
    for (const Node &node : peersThatReachTargets(presence, start)) {
        CHECK(node.id != first);
        CHECK(node.id.value != "self");
    }
    CHECK(peersThatReachTargets(presence, start).size() == (first.value == "self" ? 2 : 1));
}
