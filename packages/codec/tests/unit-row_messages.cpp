#include <geraniumpulley/codec/row_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;

TEST_CASE("batch rows decode to the values that were encoded")
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
    const auto decodedHead =
            codec::decodeBatchHead({"b"}, codec::encodeBatchHead(head), core::RowVersion{9});
    REQUIRE(decodedHead.has_value());
    CHECK(decodedHead.value().owner == head.owner);
    CHECK(decodedHead.value().ownerIncarnation == 7);
    CHECK(decodedHead.value().ended);
    CHECK(decodedHead.value().itemCount == 2);
    CHECK(decodedHead.value().submittedAt == core::Duration(5));
    CHECK(decodedHead.value().model == "m");
    CHECK(decodedHead.value().minVersion == core::WeightVersion{6});
    CHECK(decodedHead.value().expectedTokens == 640);
    CHECK(decodedHead.value().version == core::RowVersion{9});

    const core::ItemResult result{
            {"i"}, core::ItemOutcome::Completed, "a\nb", {core::WeightVersion{6}}, "score"};
    CHECK(codec::decodeItemResult(codec::encodeItemResult(result)).value() == result);
    const core::PartialText partial{3, "text", 4, {core::WeightVersion{6}}, {"v2"}};
    CHECK(codec::decodePartialText(codec::encodePartialText(partial)).value() == partial);
    const codec::StoredOrigin origin{{"v2"}, core::Duration(9)};
    CHECK(codec::decodeStreamOrigin(codec::encodeStreamOrigin(origin)).value() == origin);
}

TEST_CASE("a crash record is decoded from the key and value of its row")
{
    const core::CrashRecord record{{"0a1b"}, {{"i-1/x"}, 1700000000000}, core::Duration(9)};
    const std::string key = codec::crashRecordKey(record);
    CHECK(codec::isCrashRecordKey(key));
    CHECK(codec::decodeCrashRecord(key, codec::encodeCrashRecord(record)).value() == record);
    CHECK(codec::decodeCrashRecords(codec::encodeCrashRecords({record})).value()
          == std::vector{record});
    for (const char *malformed : {"crash/0a1b", "crash/0a1b/x/i-1", "head/0a1b/1/i-1", "crash//"})
        CHECK_FALSE(codec::decodeCrashRecord(malformed, codec::encodeCrashRecord(record)));
}

TEST_CASE("heartbeats, leases and relayed calls decode to the values that were encoded")
{
    const core::LeaseInUse inUse{core::RowVersion{7}};
    CHECK(codec::decodeLeaseInUse(codec::encodeLeaseInUse(inUse)).value().lease == inUse.lease);
    CHECK_FALSE(codec::decodeLeaseInUse("").has_value());
    const core::NodeHeartbeat heartbeat{{{"node"}, "a:1", "zone", 7}, 9, true, 500};
    const auto decodedHeartbeat = codec::decodeHeartbeat(codec::encodeHeartbeat(heartbeat));
    core::NodeHeartbeat cutOff = heartbeat;
    cutOff.reachesTargets = false;
    CHECK(codec::decodeHeartbeat(codec::encodeHeartbeat(cutOff)).value() == cutOff);
    REQUIRE(decodedHeartbeat.has_value());
    CHECK(decodedHeartbeat.value().node == heartbeat.node);
    CHECK(decodedHeartbeat.value().counter == 9);
    CHECK(decodedHeartbeat.value().leaving);
    const auto lease = codec::decodeWeightOrderLease(
            codec::encodeWeightOrderLease({{"node"}, 7, {}}), core::RowVersion{4});
    REQUIRE(lease.has_value());
    CHECK(lease.value().holder.value == "node");
    CHECK(lease.value().version == core::RowVersion{4});
    const auto call = codec::decodeRelayedCall(
            codec::encodeRelay(codec::RelayedCall{"GET", "/x", "b", core::Duration(5)}));
    REQUIRE(call.has_value());
    CHECK(call.value().requestTarget == "/x");
    CHECK(call.value().timeLeft == core::Duration(5));
    const auto reply = codec::decodeRelayedReply(
            codec::encodeRelay(codec::RelayedReply{codec::RelayOutcome::NotSent, 0, ""}));
    REQUIRE(reply.has_value());
    CHECK(reply.value().outcome == codec::RelayOutcome::NotSent);
}

TEST_CASE("bytes of another schema are rejected")
{
    CHECK_FALSE(codec::decodeBatchHead({"b"}, "", {}).has_value());
    CHECK_FALSE(codec::decodeItemResult("text").has_value());
    CHECK_FALSE(
            codec::decodeHeartbeat(codec::encodeWeightOrderLease({{"node"}, 7, {}})).has_value());
    CHECK_FALSE(
            codec::decodeRowCopies(codec::encodeWeightOrderLease({{"node"}, 7, {}})).has_value());
}
