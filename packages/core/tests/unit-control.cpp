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

bool allApplied(const Network &network, std::uint64_t version)
{
    return std::all_of(network.members.begin(), network.members.end(), [&](const auto &entry) {
        return versionInForce(entry.second.state) == ConfigurationVersion{version};
    });
}

std::size_t liveNodeCount(const ControlState &state)
{
    return static_cast<std::size_t>(
            std::count_if(state.nodes.begin(), state.nodes.end(), [](const auto &entry) {
                return entry.second.state != MemberState::Dead;
            }));
}

} // namespace

TEST_CASE("a late document with a lower version is ignored")
{
    ControlState state = makeControlState({{{"a"}, "a", "dc", 1}, {}});
    const Time now{1h};
    step(state, DocumentReceived{{ConfigurationVersion{3}, "s3", "ines", "", nullptr}}, now);
    const auto actions = step(
            state, DocumentReceived{{ConfigurationVersion{2}, "s2", "ines", "", nullptr}}, now);
    CHECK(actions.empty());
    CHECK(versionInForce(state) == ConfigurationVersion{3});
}

TEST_CASE("one of two concurrent submissions is accepted, the other gets author and differences")
{
    Network network = makeNetwork(2);
    network.submit(0, 0, "first");
    ConfigurationDocument concurrent{{}, "second", "jon", "", nullptr};
    auto changed = std::make_shared<Configuration>();
    changed->services.emplace_back().name = {"orders"};
    concurrent.configuration = changed;
    network.deliver(Network::addressOf(1), SubmissionReceived{ReplyToken{2}, {}, concurrent, {}});
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    REQUIRE(network.at(1).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Accepted);
    const AnswerSubmission &refusal = network.at(1).answers[0];
    CHECK(refusal.verdict == SubmissionVerdict::Conflict);
    CHECK(refusal.version == ConfigurationVersion{1});
    CHECK(refusal.author == "ines");
    CHECK(refusal.differences
          == std::vector<ConfigurationChange>{
                  {ConfigurationPart::Service, ChangeKind::Added, "orders"}});
    CHECK(network.audit.size() == 1);
}

TEST_CASE("a commit with lost answers is accepted exactly once after the store answers again")
{
    Network network = makeNetwork(1);
    network.losesCommitAnswers = true;
    network.submit(0, 0, "s1");
    network.run(3s);
    CHECK(network.at(0).answers.empty());
    network.losesCommitAnswers = false;
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Accepted);
    CHECK(network.storedDocuments.size() == 1);
    CHECK(network.audit.size() == 1);
}

TEST_CASE("a submission during a store outage gets the verdict unknown after the timeout")
{
    Network network = makeNetwork(1);
    network.isStoreAvailable = false;
    network.submit(0, 0, "s1");
    network.run(12s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Unknown);
    CHECK(network.at(0).answers[0].submissionId == "s1");
}

TEST_CASE("a retry with the same id reports the accepted version although later versions exist")
{
    Network network = makeNetwork(2);
    network.losesCommitAnswers = true;
    network.submit(0, 0, "s1");
    network.run(12s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Unknown);
    network.losesCommitAnswers = false;
    network.submit(1, 1, "s2");
    network.run(3s);
    network.submit(0, 0, "s1");
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 2);
    CHECK(network.at(0).answers[1].verdict == SubmissionVerdict::Accepted);
    CHECK(network.at(0).answers[1].version == ConfigurationVersion{1});
    CHECK(network.storedDocuments.size() == 2);
}

TEST_CASE("a submission whose base the store does not have is refused")
{
    Network network = makeNetwork(1);
    network.submit(0, 9, "s1");
    network.run(3s);
    REQUIRE(network.at(0).answers.size() == 1);
    CHECK(network.at(0).answers[0].verdict == SubmissionVerdict::Conflict);
    CHECK(network.storedDocuments.empty());
}

TEST_CASE("a change committed just before a store outage reaches every node")
{
    Network network = makeNetwork(40);
    network.run(20s);
    network.submit(3, 0, "s1", "text");
    network.run(15ms); // The commit has taken effect; its answer is in flight.
    network.isStoreAvailable = false;
    network.run(6s);
    CHECK(network.storedDocuments.size() == 1);
    CHECK(allApplied(network, 1));
}

TEST_CASE("a node that was paused during a change catches up when it resumes")
{
    Network network = makeNetwork(5);
    network.run(10s);
    network.at(4).isRunning = false;
    network.submit(0, 0, "s1");
    network.run(30s);
    CHECK(versionInForce(network.at(4).state) == ConfigurationVersion{});
    CHECK(liveNodeCount(network.at(0).state) == 3);
    network.isStoreAvailable = false;
    network.at(4).isRunning = true;
    network.run(15s);
    CHECK(allApplied(network, 1));
    CHECK(liveNodeCount(network.at(0).state) == 4);
}

TEST_CASE("a node started in a store outage adopts its peers' version, or none without peers")
{
    Network network = makeNetwork(3);
    network.submit(0, 0, "s1");
    network.run(5s);
    network.isStoreAvailable = false;
    network.start(3);
    network.run(5s);
    CHECK(allApplied(network, 1));

    Network singleNode = makeNetwork(1);
    singleNode.isStoreAvailable = false;
    singleNode.run(5s);
    CHECK(versionInForce(singleNode.at(0).state) == ConfigurationVersion{});
    CHECK(notReadyReason(AnswerStatus{}) == "the store does not answer and no other node is known");
}

TEST_CASE("partitioned regions converge on the latest of three changes when the partition ends")
{
    Network network = makeNetwork(8);
    network.run(10s);
    for (int i = 4; i < 8; ++i)
        network.at(i).region = 1;
    network.isPartitioned = true;
    network.isPollingEnabled = false; // Only the first region's operator reaches the store.
    for (std::uint64_t base = 0; base < 3; ++base) {
        network.submit(0, base, "s" + std::to_string(base));
        network.run(30s);
    }
    CHECK(versionInForce(network.at(5).state) == ConfigurationVersion{});
    CHECK(liveNodeCount(network.at(0).state) == 3);
    network.isStoreAvailable = false;
    network.isPartitioned = false;
    network.run(30s);
    CHECK(allApplied(network, 3));
    CHECK(liveNodeCount(network.at(0).state) == 7);
    CHECK(liveNodeCount(network.at(5).state) == 7);
}

TEST_CASE("a process learns from its peers that a newer process replaced it")
{
    Network network = makeNetwork(3);
    network.run(10s);
    Network::Member oldProcess = network.at(2);
    network.start(2, 2);
    network.run(10s);
    const auto &update = network.at(0).state.nodes.at({Network::addressOf(2)});
    Announcement announcement;
    announcement.sender = network.at(0).state.settings.self;
    announcement.updates.push_back({update.node, MemberState::Alive, 0});
    step(oldProcess.state, AnnouncementReceived{announcement}, network.now);
    CHECK(oldProcess.state.replaced);
    CHECK(oldProcess.state.leases.replaced);
}

TEST_CASE("a leaving target is gossiped although the platform's list still shows it as live")
{
    Network network = makeNetwork(20);
    const Target live{{"vm-1"}, {"orders"}, "1", "dc", false};
    network.targets = {live};
    network.run(15s);
    Target leaving = live;
    leaving.leaving = true;
    network.deliver(Network::addressOf(7), TargetsListed{{leaving}});
    network.run(4s);
    for (const auto &[address, member] : network.members)
        CHECK(member.state.targets.front().leaving);
}

TEST_CASE("a patch for a different text is not applied, and the complete text is requested")
{
    ControlState state = makeControlState({{{"a"}, "a", "dc", 1}, {}});
    const Node peer{{"b"}, "b", "dc", 1};
    const Time now{1h};
    step(state, DocumentReceived{{ConfigurationVersion{1}, "s1", "ines", "certain text", nullptr}},
         now);
    // Both texts have the same length, so only the digest distinguishes them.
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

TEST_CASE("version notices alone bring a new version to 90 % of the nodes before they tick")
{
    constexpr int nodeCount = 30;
    Network network = makeNetwork(nodeCount);
    network.run(30s);
    network.isPollingEnabled = false;
    network.submit(0, 0, "s1");
    network.run(200ms);
    int appliedCount = 0;
    for (int i = 0; i < nodeCount; ++i)
        appliedCount += versionInForce(network.at(i).state) == ConfigurationVersion{1} ? 1 : 0;
    CHECK(appliedCount >= nodeCount * 9 / 10);
}

TEST_CASE("partitioned regions rejoin although the seed node died during the partition")
{
    Network network = makeNetwork(6);
    network.run(10s);
    for (int i = 3; i < 6; ++i)
        network.at(i).region = 1;
    network.isPartitioned = true;
    network.run(30s);
    REQUIRE(liveNodeCount(network.at(1).state) == 2);
    network.at(0).isRunning = false;
    network.isPartitioned = false;
    network.run(60s);
    CHECK(liveNodeCount(network.at(1).state) == 4);
    CHECK(liveNodeCount(network.at(5).state) == 4);
}
