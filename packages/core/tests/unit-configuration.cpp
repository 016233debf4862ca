#include <geraniumpulley/core/configuration/configuration.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

namespace {

Service makeService(const char *name, std::vector<ServiceName> dependsOn)
{
    Service service;
    service.name = {name};
    service.dependsOn = std::move(dependsOn);
    return service;
}

} // namespace

TEST_CASE("a valid configuration has no problems")
{
    Configuration configuration;
    configuration.services = {makeService("orders", {{"stock"}}), makeService("stock", {})};
    CHECK(validate(configuration).empty());
}

TEST_CASE("validation reports all problems, each with its JSON pointer")
{
    Configuration configuration;
    configuration.services = {makeService("a", {{"b"}}), makeService("b", {{"a"}}),
                              makeService("b", {{"nowhere"}})};
    configuration.services[2].maxInFlight = 0;
    const auto problems = validate(configuration);
    REQUIRE(problems.size() == 4);
    CHECK(problems[0].place == "/services/2/name");
    CHECK(problems[1].place == "/services/2/max_in_flight");
    CHECK(problems[2].place == "/services/2/depends_on/0");
    CHECK(problems[3].place == "/services/0/depends_on");
}

TEST_CASE("a call that matches no rule is not repeatable")
{
    Service service = makeService("orders", {});
    service.callRules = {{"GET", "/", true}, {"POST", "/quote", true}};
    CHECK(isRepeatable(service, "GET", "/status/7"));
    CHECK(isRepeatable(service, "POST", "/quote"));
    CHECK_FALSE(isRepeatable(service, "POST", "/book"));
}
