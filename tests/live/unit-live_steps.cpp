#include "fleet.hpp"

#include <cpprest/json.h>
#include <doctest/doctest.h>

#include <csignal>

namespace {

constexpr std::size_t groupCount = 3;
constexpr std::size_t groupSize = 4;

const char *const order = R"({"trainer": "plotter-quotes", "step": 1, "group_size": 4,
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

std::size_t countOf(const std::string &body, const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = body.find(text); at != std::string::npos; at = body.find(text, at + 1))
        ++count;
    return count;
}

// A trainer opens its step again until the batch is there; the same order is the same step.
bool waitForBatch(live::Fleet &fleet, const std::string &node, std::string &batch)
{
    return fleet.waitFor([&] {
        live::fetch(fleet.callers(node) + "/v1/steps", "POST", order);
        batch = live::fetch(fleet.callers(node) + "/v1/steps/plotter-quotes/1", "GET").body;
        return batch.find(R"("state":"ready")") != std::string::npos;
    });
}

} // namespace

TEST_CASE("a step is whole though an engine is killed in its midst")
{
    live::Fleet fleet;
    startEngines(fleet);
    REQUIRE(fleet.settle());
    live::fetch(fleet.callers("node-a") + "/v1/steps", "POST", order);
    REQUIRE(fleet.waitFor([&] { return fleet.runsOf("engine-1", "request") > 0; }));
    fleet.process("engine-1").signal(SIGKILL);
    std::string batch;
    REQUIRE(waitForBatch(fleet, "node-a", batch));
    CHECK(countOf(batch, R"("reward")") == groupCount * groupSize);
}

// Either node may be the owner of the step, so each is killed once.
TEST_CASE("a step is whole though a node is killed in its midst")
{
    for (const char *victim : {"node-a", "node-b"}) {
        CAPTURE(victim);
        const std::string other = victim == std::string("node-a") ? "node-b" : "node-a";
        live::Fleet fleet;
        startEngines(fleet);
        REQUIRE(fleet.settle());
        live::fetch(fleet.callers(other) + "/v1/steps", "POST", order);
        REQUIRE(fleet.waitFor([&] {
            return fleet.runsOf("engine-1", "request") + fleet.runsOf("engine-2", "request") > 0;
        }));
        fleet.process(victim).signal(SIGKILL);
        std::string batch;
        REQUIRE(waitForBatch(fleet, other, batch));
        CHECK(countOf(batch, R"("reward")") == groupCount * groupSize);
    }
}

TEST_CASE("a step is whole though the store is out for its end")
{
    live::Fleet fleet;
    startEngines(fleet);
    REQUIRE(fleet.settle());
    constexpr std::uint64_t lostAnswers = 20;
    fleet.setFault("platform", "down", lostAnswers);
    std::string batch;
    REQUIRE(waitForBatch(fleet, "node-a", batch));
    CHECK(countOf(batch, R"("reward")") == groupCount * groupSize);
    const std::string again =
            live::fetch(fleet.callers("node-b") + "/v1/steps/plotter-quotes/1", "GET").body;
    CHECK(again == batch);
}
