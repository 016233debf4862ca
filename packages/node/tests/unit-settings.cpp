#include <geraniumpulley/node/settings.hpp>

#include <doctest/doctest.h>

using geraniumpulley::node::parseSettings;

TEST_CASE("all problems of the settings are reported at once, each with its key")
{
    const auto parsed = parseSettings(
            R"({"node": "a", "data_centre": "d", "callers": "localhost:1", "operators": "127.0.0.1:0",
                "peers": "127.0.0.1:0", "platform": "nowhere", "control_period_ms": "soon",
                "colour": 1})");
    REQUIRE(parsed.problems.size() == 4);
    CHECK(parsed.problems[0].place == "/callers");
    CHECK(parsed.problems[1].place == "/platform");
    CHECK(parsed.problems[2].place == "/control_period_ms");
    CHECK(parsed.problems[3].place == "/colour");
}
