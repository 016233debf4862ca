#include <geraniumpulley/entry/settings.hpp>

#include <cpprest/json.h>
#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>

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

using TemplateValues = std::map<std::string, std::string>;

TemplateValues templateValues()
{
    return {{"node|json", R"("n")"},
            {"zone|json", R"("z")"},
            {"listen.front|json", R"("127.0.0.1:1")"},
            {"listen.ready|json", R"("127.0.0.1:2")"},
            {"listen.control|json", R"("127.0.0.1:3")"},
            {"ip", "127.0.0.1"},
            {"internal_ports.0", "4"},
            {"provider.address|json", R"("127.0.0.1:5")"},
            {"seeds|json", R"(["127.0.0.1:6"])"},
            {"limits.cpu_share", "0.5"},
            {"limits.cores", "1"},
            {"bounds.grace_s", "8"},
            {"bounds.lease_ms", "3000"}};
}

// Keeps or drops the sections of a template, "{{#NAME}}...{{/NAME}}", which do not nest.
void renderSections(std::string &text, const TemplateValues &values)
{
    for (std::size_t start = text.find("{{#"); start != std::string::npos;
         start = text.find("{{#")) {
        const std::size_t begin = text.find("}}", start) + 2;
        const std::string name = text.substr(start + 3, begin - start - 5);
        const std::string endMark = "{{/" + name + "}}";
        const std::size_t end = text.find(endMark, begin);
        const std::string content =
                values.count(name) == 0 ? std::string() : text.substr(begin, end - begin);
        text.replace(start, end + endMark.size() - start, content);
    }
}

// Fills in the template of the deployment as the platform does. Without a value nothing is written.
std::string renderTemplate(const TemplateValues &values)
{
    std::ifstream file(SOURCE_DIRECTORY "/deploy/settings.json.in");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    renderSections(text, values);
    for (std::size_t start = text.find("{{"); start != std::string::npos; start = text.find("{{")) {
        const std::size_t end = text.find("}}", start);
        const auto value = values.find(text.substr(start + 2, end - start - 2));
        text.replace(start, end + 2 - start, value == values.end() ? "" : value->second);
    }
    return text;
}

entry::ParsedSettings parseTemplate(const std::string &name, const std::string &value)
{
    TemplateValues values = templateValues();
    values[name] = value;
    return entry::parseSettings(renderTemplate(values));
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

// Guards against nodes that do not start where the time up to the forced kill is a fraction.
TEST_CASE("a time in the template's settings may be a whole number or a fraction")
{
    const std::map<std::string, core::Duration> stopTimeouts{
            {"8", 8s}, {"7.5", 7500ms}, {"0.25", 250ms}, {"8.0", 8s}, {"12.125", 12125ms}};
    for (const auto &timeout : stopTimeouts) {
        CAPTURE(timeout.first);
        const entry::ParsedSettings parsed = parseTemplate("bounds.grace_s", timeout.first);
        REQUIRE(parsed.problems.empty());
        CHECK(parsed.settings.stopTimeout == timeout.second);
    }
    CHECK(parseTemplate("bounds.lease_ms", "2500.5").settings.leaseDuration == 2500500us);
    CHECK(parseTemplate("limits.cores", "2").settings.capacityMillicores == 1000);
    CHECK(parseTemplate("limits.cores", "1.5").settings.capacityMillicores == 750);
}

TEST_CASE("values that the platform does not have read as the defaults")
{
    for (const char *name : {"bounds.grace_s", "bounds.lease_ms", "limits.cpu_share",
                             "limits.cores", "seeds|json", "internal_ports.0"}) {
        CAPTURE(name);
        TemplateValues values = templateValues();
        values.erase(name);
        const entry::ParsedSettings parsed = entry::parseSettings(renderTemplate(values));
        CHECK(parsed.problems.empty());
    }
    CHECK(parseTemplate("internal_ports.0", "").settings.metricsAddress.empty());
    CHECK(parseTemplate("seeds|json", "null").problems.empty());
    CHECK(parseTemplate("seeds|json", "[]").problems.empty());
}

TEST_CASE("a value that makes no sense is one problem that names its key and what is allowed")
{
    const std::map<std::string, std::string> places{{"bounds.grace_s", "/stop_limit_ms"},
                                                    {"bounds.lease_ms", "/lease_time_ms"},
                                                    {"limits.cpu_share", "/core_share"}};
    for (const auto &place : places) {
        for (const char *value : {"true", "-1", "1e9"}) {
            CAPTURE(place.first);
            CAPTURE(value);
            const entry::ParsedSettings parsed = parseTemplate(place.first, value);
            REQUIRE(parsed.problems.size() == 1);
            // Digits behind "true" are no JSON, so that there is no key to name.
            const bool isSyntaxError = parsed.problems.front().place.empty();
            if (!isSyntaxError)
                CHECK(parsed.problems.front().place == place.second);
            CHECK_FALSE(parsed.problems.front().allowed.empty());
        }
    }
}

TEST_CASE("the stop limit can be given in seconds, but not twice")
{
    const std::string inSeconds =
            replaced(settingsText, R"("stop_limit_ms":8000)", R"("stop_limit_s":7.5)");
    const entry::ParsedSettings parsed = entry::parseSettings(inSeconds);
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.settings.stopTimeout == 7500ms);
    const std::string twice = replaced(settingsText, R"("stop_limit_ms":8000)",
                                       R"("stop_limit_ms":8000,"stop_limit_s":8)");
    REQUIRE(entry::parseSettings(twice).problems.size() == 1);
    CHECK(entry::parseSettings(twice).problems.front().place == "/stop_limit_ms");
}

// Guards against an upgrade in which nodes of the earlier build cannot read the settings: they know
// these keys only, and read times as whole milliseconds.
TEST_CASE("the build before this one can read the template's settings where times are whole")
{
    const web::json::value settings = web::json::value::parse(renderTemplate(templateValues()));
    const std::set<std::string> knownKeys{
            "interface",     "node",       "data_centre", "callers", "readiness",
            "peers",         "metrics",    "store",       "seeds",   "stop_limit_ms",
            "lease_time_ms", "core_share", "core_speed"};
    for (const auto &field : settings.as_object()) {
        CAPTURE(field.first);
        CHECK(knownKeys.count(field.first) == 1);
    }
    CHECK(settings.at("stop_limit_ms").as_number().is_uint64());
    CHECK(settings.at("stop_limit_ms").as_number().to_uint64() == 8000);
    CHECK(settings.at("lease_time_ms").as_number().is_uint64());
}

// Guards against a deployment without a provider whose nodes send usage reports, and one with a
// provider whose nodes do not find it.
TEST_CASE("the template names the provider only where the deployment has one")
{
    CHECK(entry::parseSettings(renderTemplate(templateValues())).settings.providerAddress.empty());
    TemplateValues values = templateValues();
    values["cloud.address"] = "127.0.0.1:9";
    values["cloud.address|json"] = R"("127.0.0.1:9")";
    values["bounds.report_window_s"] = "2.5";
    values["bounds.usage_late_s"] = "8";
    const entry::ParsedSettings parsed = entry::parseSettings(renderTemplate(values));
    REQUIRE(parsed.problems.empty());
    CHECK(parsed.settings.providerAddress == "127.0.0.1:9");
    CHECK(parsed.settings.usageWindow == 2500ms);
    CHECK(parsed.settings.usageDueAfter == 8s);
}

TEST_CASE("the memory is that of the machine, unless the settings name another")
{
    CHECK(entry::parseSettings(settingsText).settings.memoryBytes == runtime::machineMemory());
    const auto withMemory = [](const std::string &value) {
        return entry::parseSettings(replaced(settingsText, R"("core_share")",
                                             R"("memory_mb":)" + value + R"(,"core_share")"));
    };
    CHECK(withMemory("120").settings.memoryBytes == 120U * 1024 * 1024);
    CHECK(withMemory("null").problems.empty());
    for (const char *value : {"0", "63", "-1", "1e12", R"("120")"})
        CHECK(withMemory(value).problems.size() == 1);
}
