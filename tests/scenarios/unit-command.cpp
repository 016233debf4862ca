#include "command.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE("a line is parsed into a command with its arguments")
{
    const auto parsed = scenario::parseScenario(
            "# a comment\n\ncall c1 orders POST /book at a within 20ms key k1\nstore down\n");
    REQUIRE(parsed.problems.empty());
    REQUIRE(parsed.commands.size() == 2);
    CHECK(parsed.commands[0].lineNumber == 3);
    CHECK(parsed.commands[0].argument("KEY") == "k1");
    CHECK(parsed.commands[0].duration("DURATION") == 20ms);
    CHECK(parsed.commands[1].pattern == "store down");
}

TEST_CASE("every malformed line is reported with its line number")
{
    const auto parsed = scenario::parseScenario("node a in bilbao\nnode b bilbao\nsing\n"
                                                "advance 3\nexpect version a 1 within soon\n"
                                                "call c1 orders GET / at a key k1 key k2\n");
    REQUIRE(parsed.problems.size() == 5);
    CHECK(parsed.problems[0] == "line 2: usage: node NODE in CENTRE");
    CHECK(parsed.problems[1] == "line 3: unknown verb 'sing'");
    CHECK(parsed.problems[2] == "line 4: usage: advance DURATION");
    CHECK(parsed.problems[3].starts_with("line 5: usage: expect version NODE VALUE"));
    CHECK(parsed.problems[4].starts_with("line 6: usage: call NAME"));
}
