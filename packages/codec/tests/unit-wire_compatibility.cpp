#include <geraniumpulley/codec/permit_messages.hpp>
#include <geraniumpulley/codec/relay_messages.hpp>
#include <geraniumpulley/codec/row_messages.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <string>

using namespace geraniumpulley;

namespace {

// One message of each kind that nodes of two builds exchange, directly or through the store.
std::map<std::string, std::string> encodeMessages()
{
    core::BatchHead head;
    head.owner = {"node"};
    head.ownerIncarnation = 7;
    head.ended = true;
    head.itemCount = 2;
    head.submittedAt = core::Duration(5);
    head.model = "m";
    head.minVersion = core::WeightVersion{6};
    head.expectedTokens = 640;
    core::NodeHeartbeat heartbeat{{{"node"}, "a:1", "zone", 7}, 9, true, 500};
    heartbeat.reachesTargets = false;
    const core::CrashRecord crash{{"0a1b"}, {{"i-1/x"}, 1700000000000}, core::Duration(9)};
    return {{"batch head", codec::encodeBatchHead(head)},
            {"item result", codec::encodeItemResult({{"i"},
                                                     core::ItemOutcome::Completed,
                                                     "a\nb",
                                                     {core::WeightVersion{6}},
                                                     "score"})},
            {"partial text",
             codec::encodePartialText({3, "text", 4, {core::WeightVersion{6}}, {"v2"}})},
            {"submitted body", codec::encodeSubmittedBody({"host", "/path", "body"})},
            {"stream origin", codec::encodeStreamOrigin({{"v2"}, core::Duration(9)})},
            {"crash record", codec::encodeCrashRecord(crash)},
            {"crash record key", codec::crashRecordKey(crash)},
            {"crash records", codec::encodeCrashRecords({crash})},
            {"heartbeat", codec::encodeHeartbeat(heartbeat)},
            {"weight order lease", codec::encodeWeightOrderLease({{"node"}, 7, {}})},
            {"row copies",
             codec::encodeRowCopies({{core::FleetTable::Targets, "k", "v", core::RowVersion{4}}})},
            {"relayed call",
             codec::encodeRelay(codec::RelayedCall{"GET", "/x", "b", core::Duration(5)})},
            {"relayed reply",
             codec::encodeRelay(codec::RelayedReply{codec::RelayOutcome::Answered, 200, "b"})},
            {"relayed attempt", codec::encodeRelayedAttempt({"i",
                                                             "a:1",
                                                             "GET",
                                                             "/",
                                                             "h",
                                                             "r",
                                                             "X",
                                                             {{"A", "b"}},
                                                             "c",
                                                             core::Duration(5),
                                                             true})},
            {"relayed answer", codec::encodeRelayedAnswer({codec::RelayedAnswer::Delivery::Answered,
                                                           true,
                                                           true,
                                                           200,
                                                           {{"A", "b"}},
                                                           "c"})},
            {"permit request",
             codec::encodePermits(core::PermitRequest{{"t"}, "n/calls", {2.5}, 3})},
            {"permit grant",
             codec::encodePermits(core::PermitGrant{1, core::Duration(5), core::Duration(9)})}};
}

// The same messages as build 1d1d052 encodes them, in hexadecimal.
std::map<std::string, std::string> messagesOfProduction()
{
    return {
            {"batch head", "98a46e6f646507c30205a16d06cd0280"},
            {"crash record", "9109"},
            {"crash record key", "63726173682f306131622f313730303030303030303030302f692d312f78"},
            {"crash records",
             "919192be63726173682f306131622f313730303030303030303030302f692d312f7809"},
            {"heartbeat", "98a46e6f6465a3613a31a47a6f6e650709c3cd01f4c2"},
            {"item result", "95a169c3a3610a629106a573636f7265"},
            {"partial text", "9503a474657874049106a27632"},
            {"permit grant", "950105090000"},
            {"permit request", "95a174a76e2f63616c6c73cb40040000000000000300"},
            {"relayed answer", "9600c3c3ccc89192a141a162a163"},
            {"relayed attempt", "9ba169a3613a31a3474554a12fa168a172a1589192a141a162a16305c3"},
            {"relayed call", "94a3474554a22f78a16205"},
            {"relayed reply", "9300ccc8a162"},
            {"row copies", "91919401a16ba17604"},
            {"stream origin", "92a2763209"},
            {"submitted body", "93a4686f7374a52f70617468a4626f6479"},
            {"weight order lease", "92a46e6f646507"},
    };
}

std::string toHex(const std::string &bytes)
{
    std::string hex;
    for (const unsigned char byte : bytes)
        hex += fmt::format("{:02x}", byte);
    return hex;
}

} // namespace

// Guards against an upgrade in which nodes of the build in production and of this one cannot read
// each other's rows and messages. Where the bytes are the same, both directions hold.
TEST_CASE("rows and peer messages are those of the build in production")
{
    const std::map<std::string, std::string> messages = encodeMessages();
    const std::map<std::string, std::string> expected = messagesOfProduction();
    REQUIRE(messages.size() == expected.size());
    for (const auto &message : messages) {
        CAPTURE(message.first);
        CHECK(toHex(message.second) == expected.at(message.first));
    }
}
