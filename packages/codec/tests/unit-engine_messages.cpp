#include <geraniumpulley/codec/engine_messages.hpp>

#include <geraniumpulley/codec/error.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;

TEST_CASE("an engine's load answer is decoded into a report with its age")
{
    const auto report = codec::decodeLoadReport(R"({"in_flight":3,"version":7,"incarnation":"i1",)"
                                                R"("loading":true,"sequence":9,"age_ms":1500})",
                                                {"engine-1"});
    REQUIRE(report.has_value());
    CHECK(report.value().version == core::WeightVersion{7});
    CHECK(report.value().swapping);
    CHECK(report.value().age == std::chrono::milliseconds(1500));
    CHECK_FALSE(codec::decodeLoadReport(R"({"version":7})", {"engine-1"}).has_value());
}

TEST_CASE(
        "a weight order has succeeded only if the answer names the ordered version or a higher one")
{
    using core::WeightOrderResult;
    using core::WeightVersion;
    const auto decode = codec::decodeWeightOrderAnswer;
    CHECK(decode(200, R"({"version":7})", WeightVersion{7}) == WeightOrderResult::Done);
    CHECK(decode(200, R"({"version":6})", WeightVersion{7}) == WeightOrderResult::Failed);
    CHECK(decode(200, "{}", WeightVersion{7}) == WeightOrderResult::Failed);
    CHECK(decode(500, "oops", WeightVersion{7}) == WeightOrderResult::Failed);
    CHECK(decode(409, R"({"refused":"old fence"})", WeightVersion{7})
          == WeightOrderResult::StaleFencingToken);
}

TEST_CASE("engine reports round-trip through encoding, and truncated ones are rejected")
{
    const std::vector<core::EngineReport> reports{{{"engine-1"},
                                                   core::WeightVersion{7},
                                                   "i1",
                                                   3,
                                                   true,
                                                   {},
                                                   std::chrono::milliseconds(20),
                                                   11}};
    const std::string encoded = codec::encodePeer(reports);
    const auto decoded = codec::decodeEngineReports(encoded);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value().at(0).sequence == 11);
    CHECK(decoded.value().at(0).age == std::chrono::milliseconds(20));
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(codec::decodeEngineReports(encoded.substr(0, length)).has_value());
}

TEST_CASE("the desired-weights row is written conditionally on its version and decoded again")
{
    const auto transaction = codec::weightsTransaction({{"quotes"}, core::WeightVersion{8}, 3});
    REQUIRE(transaction.checks.size() == 1);
    CHECK(transaction.checks[0].version == 3);
    const auto read = codec::decodeWeightsRow(
            R"({"rows":[{"key":"weights/quotes","value":"{\"version\":8}","version":4}]})");
    REQUIRE(read.has_value());
    CHECK(read.value().version == core::WeightVersion{8});
    CHECK(read.value().rowVersion == 4);
    CHECK(codec::decodeWeightsRow(R"({"rows":[]})").value().rowVersion == 0);
}

TEST_CASE("a weights update without a valid version is reported with the place of the problem")
{
    const auto parsed = codec::parseWeightsUpdate(R"({"model":"quotes","version":0})");
    REQUIRE(parsed.problems.size() == 1);
    CHECK(parsed.problems[0].place == "/version");
}
