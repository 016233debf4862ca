#include "fleet.hpp"

#include <cpprest/json.h>
#include <doctest/doctest.h>

#include <csignal>

namespace {

constexpr std::size_t groupCount = 3;
constexpr std::size_t groupSize = 4;

const char *const stepSpec = R"({"trainer": "plotter-quotes", "step": 1, "group_size": 4,
 "prompts": ["A1 roll, 90 g", "A0 roll, 120 g", "vellum"], "max_tokens": 256,
 "trainer_version": 1})";

void startEngines(live::Fleet &fleet)
{
    fleet.startStandin("engine-1", "engine", "quoting-model", "sala-bilbao");
    fleet.startStandin("engine-2", "engine", "quoting-model", "sala-santander");
    fleet.startStandin("scorer-1", "scorer", "quote-scorer", "sala-bilbao");
    fleet.startNode("node-a", "sala-bilbao");
    fleet.startNode("node-b", "sala-santander");
}

std::size_t countOccurrences(const std::string &body, const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t position = body.find(text); position != std::string::npos;
         position = body.find(text, position + 1))
        ++count;
    return count;
}

// Opens the step again, as a trainer does, until the batch is ready. Opening a step is idempotent:
// an equal specification opens the same step.
bool waitForBatch(live::Fleet &fleet, const std::string &node, std::string &batch)
{
    return fleet.waitFor([&] {
        live::fetch(fleet.callerUri(node) + "/v1/steps", "POST", stepSpec);
        batch = live::fetch(fleet.callerUri(node) + "/v1/steps/plotter-quotes/1", "GET").body;
        return batch.find(R"("state":"ready")") != std::string::npos;
    });
}

} // namespace

TEST_CASE("a step is whole though an engine is killed while it generates samples")
{
    live::Fleet fleet;
    startEngines(fleet);
    REQUIRE(fleet.waitUntilConverged());
    live::fetch(fleet.callerUri("node-a") + "/v1/steps", "POST", stepSpec);
    REQUIRE(fleet.waitFor([&] { return fleet.runCount("engine-1", "request") > 0; }));
    fleet.process("engine-1").signal(SIGKILL);
    std::string batch;
    REQUIRE(waitForBatch(fleet, "node-a", batch));
    CHECK(countOccurrences(batch, R"("reward")") == groupCount * groupSize);
}

// Either node may own the step, so each is killed once.
TEST_CASE("a step is whole though a node is killed during the step")
{
    for (const char *killedNode : {"node-a", "node-b"}) {
        CAPTURE(killedNode);
        const std::string survivingNode = killedNode == std::string("node-a") ? "node-b" : "node-a";
        live::Fleet fleet;
        startEngines(fleet);
        REQUIRE(fleet.waitUntilConverged());
        live::fetch(fleet.callerUri(survivingNode) + "/v1/steps", "POST", stepSpec);
        REQUIRE(fleet.waitFor([&] {
            return fleet.runCount("engine-1", "request") + fleet.runCount("engine-2", "request")
                   > 0;
        }));
        fleet.process(killedNode).signal(SIGKILL);
        std::string batch;
        REQUIRE(waitForBatch(fleet, survivingNode, batch));
        CHECK(countOccurrences(batch, R"("reward")") == groupCount * groupSize);
    }
}

TEST_CASE("a step is whole though the store is unavailable for its first requests")
{
    live::Fleet fleet;
    startEngines(fleet);
    REQUIRE(fleet.waitUntilConverged());
    constexpr std::uint64_t failingRequests = 20;
    fleet.setFault("platform", "down", failingRequests);
    std::string batch;
    REQUIRE(waitForBatch(fleet, "node-a", batch));
    CHECK(countOccurrences(batch, R"("reward")") == groupCount * groupSize);
    const std::string repeatedBatch =
            live::fetch(fleet.callerUri("node-b") + "/v1/steps/plotter-quotes/1", "GET").body;
    CHECK(repeatedBatch == batch);
}
