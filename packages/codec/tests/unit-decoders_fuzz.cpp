#include "mutated_bytes.hpp"

#include <geraniumpulley/codec/claim_messages.hpp>
#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/codec/permit_messages.hpp>
#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/codec/relay_messages.hpp>
#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/target_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley;

namespace {

// Passes the bytes to the decoders under test. Their results are ignored: the test only checks that
// none of them throws or crashes.
void decodeAll(const std::string &bytes)
{
    static_cast<void>(codec::decodeAnnouncement(bytes));
    static_cast<void>(codec::decodeDocument(bytes));
    static_cast<void>(codec::decodeForwardedCall(bytes));
    static_cast<void>(codec::decodeCallAnswer(bytes));
    static_cast<void>(codec::decodeStepRequest(bytes));
    static_cast<void>(codec::decodeStepAnswer(bytes));
    static_cast<void>(codec::decodeRows(bytes));
    static_cast<void>(codec::decodeClaimRows(bytes));
    static_cast<void>(codec::decodeClaimRow({"claims/1/x", bytes, 1}));
    static_cast<void>(codec::decodeTargets(bytes));
    static_cast<void>(codec::decodeScore(bytes));
    static_cast<void>(codec::parseStepSpec(bytes));
    static_cast<void>(codec::parseConfiguration(bytes));
    static_cast<void>(codec::decodeBatchHead({"b"}, bytes, core::RowVersion{1}));
    static_cast<void>(codec::decodeItemResult(bytes));
    static_cast<void>(codec::decodePartialText(bytes));
    static_cast<void>(codec::decodeStreamOrigin(bytes));
    static_cast<void>(codec::decodeRelayedAttempt(bytes));
    static_cast<void>(codec::decodeRelayedAnswer(bytes));
    static_cast<void>(codec::decodeCrashRecord("crash/r/1/t", bytes));
    static_cast<void>(codec::decodeCrashRecord(bytes, {}));
    static_cast<void>(codec::decodeCrashRecords(bytes));
    static_cast<void>(codec::decodeHeartbeat(bytes));
    static_cast<void>(codec::decodeWeightOrderLease(bytes, core::RowVersion{1}));
    static_cast<void>(codec::decodeSubmittedBody(bytes));
    static_cast<void>(codec::decodeRowCopies(bytes));
    static_cast<void>(codec::decodeRelayedCall(bytes));
    static_cast<void>(codec::decodeRelayedReply(bytes));
    static_cast<void>(codec::decodePermitRequest(bytes));
    static_cast<void>(codec::decodePermitGrant(bytes));
    static_cast<void>(codec::decodeDocumentRequest(bytes));
    static_cast<void>(codec::decodePatch(bytes));
    static_cast<void>(codec::decodeAcknowledgement(bytes));
    static_cast<void>(codec::decodeSamples(bytes, {}));
    static_cast<void>(codec::decodeStepIndex(bytes));
    static_cast<void>(codec::decodeStepRecord(bytes, {}));
    static_cast<void>(codec::decodeVersionRow(bytes));
    static_cast<void>(codec::decodeConfigurationRow(bytes));
    static_cast<void>(codec::decodeLeaseRecord(bytes));
    static_cast<void>(codec::decodeFenceRows({{"fence/1", bytes, 1}, {bytes, "", 1}}));
    static_cast<void>(codec::decodeLoadReport(bytes, {"e"}));
    static_cast<void>(codec::decodeWeightOrderAnswer(200, bytes, core::WeightVersion{3}));
    static_cast<void>(codec::decodeWeightOrderAnswer(409, bytes, core::WeightVersion{3}));
    static_cast<void>(codec::decodeWeightsRow(bytes));
    static_cast<void>(codec::decodeClaimRow(bytes, "g"));
    static_cast<void>(codec::decodeEngineReports(bytes));
    static_cast<void>(codec::decodeDesiredWeights(bytes));
    codec::GenerationStream stream;
    static_cast<void>(codec::decodeGenerationBytes(stream, bytes));
}

} // namespace

TEST_CASE("no decoder throws or crashes on corrupted input")
{
    const core::Call call{{"orders"}, "clerk", "POST", "/book", "text/plain", "body", "k", false};
    const core::CallAnswer answer{core::Outcome::Ran, core::Reason::Served, 200, "t", "body"};
    core::CommitClaims commit;
    commit.row.claims = {{"id", 7, {}}};
    commit.row.answers = {{"id", answer}};
    // Each input is a valid message that is truncated, has bytes overwritten or removed, repeats a
    // part of itself or contains deeply nested brackets.
    const std::string validMessages[] = {
            codec::encodePeer(codec::ForwardedCall{call, std::chrono::milliseconds(5)}),
            codec::encodePeer(answer),
            codec::claimTransaction(commit).writes.at(0).value,
            R"({"rows":[{"key":"k","value":"v","version":1}]})",
            R"({"vms":[{"vm":"a","service":"s","address":"127.0.0.1:1"}]})",
            R"({"deployment":"d","services":[{"name":"a","calls":[]}],"trainers":[]})",
            R"({"trainer":"t","step":1,"prompts":["p"],"group_size":1,"max_tokens":1})",
            R"({"reward":0.5})",
            codec::encodeBatchHead({{"b"}, {"node"}, 7, false, 2, core::Duration(5), {}}),
            codec::encodeItemResult({{"i"}, core::ItemOutcome::Completed, "t", {{}, {}}, "s"}),
            codec::encodePartialText({1, "t", 3, {core::WeightVersion{2}}, {"v1"}}),
            codec::encodeStreamOrigin({{"v1"}, core::Duration(7)}),
            codec::encodeRelayedAttempt({"i",
                                         "a:1",
                                         "GET",
                                         "/",
                                         "h",
                                         "r",
                                         "X",
                                         {{"A", "b"}},
                                         "c",
                                         core::Duration(5),
                                         true}),
            codec::encodeRelayedAnswer(
                    {codec::RelayedAnswer::Delivery::Answered, true, true, 200, {{"A", "b"}}, "c"}),
            codec::encodeCrashRecord({{"r"}, {{"t"}, 1}, core::Duration(7)}),
            codec::encodeCrashRecords({{{"r"}, {{"t"}, 1}, core::Duration(7)}}),
            codec::encodeHeartbeat({{{"node"}, "a:1", "zone", 7}, 9, true}),
            codec::encodeRowCopies({{core::FleetTable::Targets, "k", "v", core::RowVersion{4}}}),
            codec::encodeRelay(codec::RelayedCall{"GET", "/x", "b", core::Duration(5)}),
            codec::encodeRelay(codec::RelayedReply{codec::RelayOutcome::Answered, 200, "b"}),
            codec::encodePermits(core::PermitRequest{{"t"}, "n/calls", {2.5}, 3}),
            codec::encodePermits(core::PermitGrant{1, core::Duration(5), core::Duration(9)}),
            codec::encodePeer(std::vector<core::EngineReport>(2)),
            codec::encodePeer(core::DesiredWeightsReceived{}),
            codec::encodePeer(core::Announcement{}),
            codec::encodePeer(core::ConfigurationDocument{}),
            codec::encodePeer(core::StepRequest{}),
            codec::encodePeer(core::StepAnswer{}),
            codec::encodeSamples({{core::SampleSlot{}, core::Sample{}}}),
            R"({"running":3,"waiting":1,"slots":8,"version":4,"incarnation":9,"loading":false})",
            R"({"digest":"d","desired":7,"version":7,"model":"m","key":"k","value":"v"})",
    };
    constexpr std::uint64_t seedCount = 20'000;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const std::string bytes =
                test::mutate(validMessages[random() % std::size(validMessages)], random);
        REQUIRE_NOTHROW(decodeAll(bytes));
    }
}
