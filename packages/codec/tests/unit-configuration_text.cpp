#include <geraniumpulley/codec/configuration_text.hpp>

#include <doctest/doctest.h>

using geraniumpulley::codec::parseConfiguration;

TEST_CASE("a syntax error is reported as one problem that names the line")
{
    const auto parsed = parseConfiguration("{\n \"deployment\": }");
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].problem.find("Line 2") != std::string::npos);
}

TEST_CASE("unknown keys, wrong types and out-of-range values are reported together")
{
    const auto parsed = parseConfiguration(
            R"({"deployment": 3, "services": [{"name": "a", "max_in_flight": 0, "colour": 1}]})");
    REQUIRE(parsed.problems.size() == 3);
    CHECK(parsed.problems[0].place == "/deployment");
    CHECK(parsed.problems[1].place == "/services/0/max_in_flight");
    CHECK(parsed.problems[2].place == "/services/0/colour");
}

TEST_CASE("a valid text is parsed into a configuration")
{
    const auto parsed = parseConfiguration(
            R"({"deployment": "d", "services": [{"name": "orders", "timeout_ms": 800}]})");
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.configuration.services.at(0).timeout == std::chrono::milliseconds(800));
}
