#include "control_network.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using fake::Network;

namespace {

Network makeNetwork(int count, std::uint64_t seed = 7)
{
    Network network(seed);
    for (int i = 0; i < count; ++i)
        network.start(i);
    return network;
}

bool allHave(const Network &network, std::uint64_t version)
{
    return std::all_of(network.members.begin(), network.members.end(), [&](const auto &entry) {
        return versionInForce(entry.second.state) == ConfigurationVersion{version};
    });
}

std::size_t liveMembers(const ControlState &state)
{
    return static_cast<std::size_t>(
            std::count_if(state.nodes.begin(), state.nodes.end(), [](const auto &entry) {
                return entry.second.state != MemberState::Dead;
            }));
}

} // namespace

TEST_CASE("a late document of a lower version changes nothing")
{
    ControlState state = makeControlState({{{"a"}, "a", "dc", 1}, {}});
    const Time now{1h};
    step(state, DocumentReceived{{ConfigurationVersion{3}, "s3", "ines", "", nullptr}}, now);
    const auto actions = step(
            state, DocumentReceived{{ConfigurationVersion{2}, "s2", "ines", "", nullptr}}, now);
    CHECK(actions.empty());
    CHECK(versionInForce(state) == ConfigurationVersion{3});
}

TEST_CASE("of two operators at once one is accepted, and the other learns who won and how")
{
    Network network = makeNetwork(2);
    network.submit(0, 0, "first");
    ConfigurationDocument other{{}, "second", "jon", "", nullptr};
    auto changed = std::make_shared<Configuration>();
    changed->services.emplace_back().name = {"orders"};
    other.configuration = changed;
    network.give(Network::addressOf(1), SubmissionReceived{ReplyToken{2}, {}, other, {}});
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    REQUIRE(network.at(1).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Accepted);
    const AnswerSubmission &loser = network.at(1).answers[0];
    CHECK(loser.verdict == SubmissionVerdict::Conflict);
    CHECK(loser.version == ConfigurationVersion{1});
    CHECK(loser.author == "ines");
    CHECK(loser.differences
          == std::vector<ConfigurationChange>{
                  {ConfigurationPart::Service, ChangeKind::Added, "orders"}});
    CHECK(network.audit.size() == 1);
}

TEST_CASE("a commit whose answers are lost is accepted once when the store answers again")
{
    Network network = makeNetwork(1);
    network.loseCommitAnswers = true;
    network.submit(0, 0, "s1");
    network.run(3s);
    CHECK(network.at(0).answers.empty());
    network.loseCommitAnswers = false;
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Accepted);
    CHECK(network.stored.size() == 1);
    CHECK(network.audit.size() == 1);
}

TEST_CASE("while the store stays out the verdict is unknown in bounded time")
{
    Network network = makeNetwork(1);
    network.storeRuns = false;
    network.submit(0, 0, "s1");
    network.run(12s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Unknown);
    CHECK(network.at(0).answers[0].submissionId == "s1");
}

TEST_CASE("asking again with the same id names the accepted version though later ones followed")
{
    Network network = makeNetwork(2);
    network.loseCommitAnswers = true;
    network.submit(0, 0, "s1");
    network.run(12s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Unknown);
    network.loseCommitAnswers = false;
    network.submit(1, 1, "s2");
    network.run(3s);
    network.submit(0, 0, "s1");
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 2);
    CHECK(network.at(0).answers[1].verdict == SubmissionVerdict::Accepted);
    CHECK(network.at(0).answers[1].version == ConfigurationVersion{1});
    CHECK(network.stored.size() == 2);
}

TEST_CASE("a base that the store does not have is refused")
{
    Network network = makeNetwork(1);
    network.submit(0, 9, "s1");
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Conflict);
    CHECK(network.stored.empty());
}

TEST_CASE("a change committed just before the store fails reaches every node")
{
    Network network = makeNetwork(40);
    network.run(20s);
    network.submit(3, 0, "s1", "text");
    network.run(15ms); // The commit has taken effect; its answer is on the way.
    network.storeRuns = false;
    network.run(6s);
    CHECK(network.stored.size() == 1);
    CHECK(allHave(network, 1));
}

TEST_CASE("a node that was frozen over a change follows when it wakes")
{
    Network network = makeNetwork(5);
    network.run(10s);
    network.at(4).runs = false;
    network.submit(0, 0, "s1");
    network.run(30s);
    CHECK(versionInForce(network.at(4).state) == ConfigurationVersion{});
    CHECK(liveMembers(network.at(0).state) == 3);
    network.storeRuns = false;
    network.at(4).runs = true;
    network.run(15s);
    CHECK(allHave(network, 1));
    CHECK(liveMembers(network.at(0).state) == 4);
}

TEST_CASE("a fresh node in an outage takes the highest version of its peers, and none without")
{
    Network network = makeNetwork(3);
    network.submit(0, 0, "s1");
    network.run(5s);
    network.storeRuns = false;
    network.start(3);
    network.run(5s);
    CHECK(allHave(network, 1));

    Network alone = makeNetwork(1);
    alone.storeRuns = false;
    alone.run(5s);
    CHECK(versionInForce(alone.at(0).state) == ConfigurationVersion{});
    CHECK(notReadyReason(AnswerStatus{}) == "the store does not answer and no other node is known");
}

TEST_CASE("parted regions converge on the highest of three changes when they meet")
{
    Network network = makeNetwork(8);
    network.run(10s);
    for (int i = 4; i < 8; ++i)
        network.at(i).region = 1;
    network.parted = true;
    network.polls = false; // Only one region's operator reaches the store.
    for (std::uint64_t base = 0; base < 3; ++base) {
        network.submit(0, base, "s" + std::to_string(base));
        network.run(30s);
    }
    CHECK(versionInForce(network.at(5).state) == ConfigurationVersion{});
    CHECK(liveMembers(network.at(0).state) == 3);
    network.storeRuns = false;
    network.parted = false;
    network.run(30s);
    CHECK(allHave(network, 3));
    CHECK(liveMembers(network.at(0).state) == 7);
    CHECK(liveMembers(network.at(5).state) == 7);
}

TEST_CASE("a process learns from its peers that a newer one replaced it")
{
    Network network = makeNetwork(3);
    network.run(10s);
    Network::Member frozen = network.at(2);
    network.start(2, 2);
    network.run(10s);
    const auto &update = network.at(0).state.nodes.at({Network::addressOf(2)});
    Announcement news;
    news.sender = network.at(0).state.settings.self;
    news.updates.push_back({update.node, MemberState::Alive, 0});
    step(frozen.state, AnnouncementReceived{news}, network.now);
    CHECK(frozen.state.replaced);
    CHECK(frozen.state.leases.superseded);
}

TEST_CASE("a leaving target is told on though the platform's list still says live")
{
    Network network = makeNetwork(20);
    const Target live{{"vm-1"}, {"orders"}, "1", "dc", false};
    network.targets = {live};
    network.run(15s);
    Target leaving = live;
    leaving.leaving = true;
    network.give(Network::addressOf(7), TargetsListed{{leaving}});
    network.run(4s);
    for (const auto &[address, member] : network.members)
        CHECK(member.state.targets.front().leaving);
}

TEST_CASE("a patch for another text is not applied, and the whole text is asked for")
{
    ControlState state = makeControlState({{{"a"}, "a", "dc", 1}, {}});
    const Node peer{{"b"}, "b", "dc", 1};
    const Time now{1h};
    step(state, DocumentReceived{{ConfigurationVersion{1}, "s1", "ines", "certain text", nullptr}},
         now);
    // Of the same length, so that only the digest tells the texts apart.
    const TextPatch patch = makePatch("another text", "another, longer text");
    const auto actions = step(
            state,
            PatchReceived{peer,
                          {ConfigurationVersion{2}, ConfigurationVersion{1}, "s2", "ines", patch}},
            now);
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<RequestDocument>(actions[0]));
    CHECK(applyPatch("another text", patch) == "another, longer text");
}

TEST_CASE("news alone brings a new version to nearly all nodes before they tick")
{
    constexpr int nodes = 30;
    Network network = makeNetwork(nodes);
    network.run(30s);
    network.polls = false;
    network.submit(0, 0, "s1");
    network.run(200ms);
    int reached = 0;
    for (int i = 0; i < nodes; ++i)
        reached += versionInForce(network.at(i).state) == ConfigurationVersion{1} ? 1 : 0;
    CHECK(reached >= nodes * 9 / 10);
}

TEST_CASE("regions that were parted find each other again though the seed died meanwhile")
{
    Network network = makeNetwork(6);
    network.run(10s);
    for (int i = 3; i < 6; ++i)
        network.at(i).region = 1;
    network.parted = true;
    network.run(30s);
    REQUIRE(liveMembers(network.at(1).state) == 2);
    network.at(0).runs = false;
    network.parted = false;
    network.run(60s);
    CHECK(liveMembers(network.at(1).state) == 4);
    CHECK(liveMembers(network.at(5).state) == 4);
}
