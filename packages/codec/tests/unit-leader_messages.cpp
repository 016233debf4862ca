#include <geraniumpulley/codec/leader_messages.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace geraniumpulley;

TEST_CASE("counts of usage and reports of demand survive encoding and decoding")
{
    const core::UsageCounts counts{{{"a"}, 3}, {{"b/\u00e9"}, 1}};
    CHECK(codec::decodeUsageCounts(codec::encodeUsageCounts(counts)).value() == counts);
    CHECK(codec::decodeUsageCounts(codec::encodeUsageCounts({})).value().empty());
    const core::DemandReport report{{"node"}, {{{"engines"}, {4, 90}}, {{"other"}, {0, 0}}}};
    CHECK(codec::decodeDemandReport(codec::encodeDemandReport(report)).value() == report);
}

TEST_CASE("a malformed row or message is an error")
{
    const std::string counts = codec::encodeUsageCounts({{{"a"}, 3}});
    const std::string report = codec::encodeDemandReport({{"node"}, {{{"engines"}, {4, 90}}}});
    for (const std::string &bytes :
         {std::string(), std::string("\xc1"), counts.substr(0, counts.size() - 1), report}) {
        CHECK_FALSE(codec::decodeUsageCounts(bytes).has_value());
    }
    for (const std::string &bytes : {std::string(), counts, report.substr(0, report.size() - 1)})
        CHECK_FALSE(codec::decodeDemandReport(bytes).has_value());
}
