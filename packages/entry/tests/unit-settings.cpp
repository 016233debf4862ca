#include <geraniumpulley/entry/settings.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

const std::string settingsText = R"({"interface":"platform","node":"n","data_centre":"z",
  "callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3",
  "metrics":"127.0.0.1:4","store":"127.0.0.1:5","seeds":["127.0.0.1:6"],
  "core_share":0.12,"core_speed":2,"stop_limit_ms":8000,"lease_time_ms":3000})";

std::string replaced(std::string original, const std::string &from, const std::string &to)
{
    original.replace(original.find(from), from.size(), to);
    return original;
}

} // namespace

TEST_CASE("settings for the platform's interface are parsed")
{
    CHECK(entry::isForPlatform(settingsText));
    const entry::ParsedSettings parsed = entry::parseSettings(settingsText);
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.settings.nodeName == "n");
    CHECK(parsed.settings.storeAddress == "127.0.0.1:5");
    CHECK(parsed.settings.seedAddresses.size() == 1);
    CHECK(parsed.settings.stopTimeout == 8s);
    CHECK(parsed.settings.leaseDuration == 3s);
    CHECK(parsed.settings.capacityMillicores == 240);
}

TEST_CASE("settings of the product's own interface are not for the platform")
{
    CHECK_FALSE(entry::isForPlatform(R"({"node":"n","platform":"http://127.0.0.1:1"})"));
    CHECK_FALSE(entry::isForPlatform("not json"));
    CHECK_FALSE(entry::isForPlatform(R"({"interface":7})"));
}

TEST_CASE("all problems are reported at once, each with its key")
{
    std::string broken =
            replaced(settingsText, R"("callers":"127.0.0.1:1")", R"("callers":"here")");
    broken = replaced(broken, R"("store":"127.0.0.1:5",)", "");
    broken = replaced(broken, R"("stop_limit_ms":8000)", R"("stop_limit_ms":-1)");
    broken = replaced(broken, R"("metrics":"127.0.0.1:4")", R"("metrics":"x","extra":1)");
    broken = replaced(broken, R"("core_share":0.12)", R"("core_share":-1)");
    const entry::ParsedSettings parsed = entry::parseSettings(broken);
    std::string places;
    for (const core::ConfigurationProblem &problem : parsed.problems)
        places += problem.place + " ";
    for (const char *key :
         {"callers", "store", "stop_limit_ms", "metrics", "extra", "core_share"}) {
        CAPTURE(places);
        CHECK(places.find(key) != std::string::npos);
    }
}
