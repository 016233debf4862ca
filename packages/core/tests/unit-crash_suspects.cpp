#include <geraniumpulley/core/calls/crash_suspects.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
const RequestDigest request{"poison"};

CrashRecord makeRecord(const std::string &target, const RequestDigest &digest = request)
{
    return {digest, {{target}, 1}, 10min};
}

TargetsProbed makeProbed(std::uint64_t check, ProbeOutcome outcome)
{
    return {OperationId{check}, {outcome, ProbeOutcome::Accepted}};
}

std::shared_ptr<const CrashLog> makeStored(const std::vector<CrashRecord> &records)
{
    auto log = std::make_shared<CrashLog>();
    for (const CrashRecord &record : records)
        (*log)[record.request][record.crashed] = record.expiresAt;
    return log;
}

} // namespace

TEST_CASE("records are written once, and again after a failed write")
{
    CrashSuspects suspects;
    addRecord(suspects, makeRecord("a"));
    CHECK_FALSE(dueCrashWrite(suspects, start).has_value());
    shareRecords(suspects, request);
    const auto write = dueCrashWrite(suspects, start);
    REQUIRE(write.has_value());
    CHECK(write->records == std::vector{makeRecord("a")});
    recordCrashWrite(suspects, false, start);
    CHECK_FALSE(dueCrashWrite(suspects, start).has_value());
    REQUIRE(dueCrashWrite(suspects, start + 1s).has_value());
    recordCrashWrite(suspects, true, start + 1s);
    shareRecords(suspects, request);
    CHECK_FALSE(dueCrashWrite(suspects, start + 2s).has_value());
}

TEST_CASE("a record that was removed from the store does not count any more")
{
    CrashSuspects suspects;
    addRecord(suspects, makeRecord("a"));
    replaceStored(suspects, makeStored({makeRecord("a"), makeRecord("b")}));
    CHECK(suspects.log.at(request).size() == 2);
    replaceStored(suspects, makeStored({}));
    CHECK(suspects.log.empty());
}

TEST_CASE("a request that a target has answered is cleared here and in the store")
{
    CrashSuspects suspects;
    addRecord(suspects, makeRecord("a"));
    shareRecords(suspects, request);
    REQUIRE(dueCrashWrite(suspects, start).has_value());
    replaceStored(suspects, makeStored({makeRecord("b")}));
    addToCheck(suspects, OperationId{1}, {{"c"}, 1}, request);
    clearRequest(suspects, request);
    CHECK(suspects.log.empty());
    CHECK(recordCrashProbe(suspects, makeProbed(1, ProbeOutcome::Refused), 0s, start).empty());
    recordCrashWrite(suspects, true, start);
    const auto write = dueCrashWrite(suspects, start);
    REQUIRE(write.has_value());
    CHECK(write->removals.size() == 2);
    replaceStored(suspects, makeStored({makeRecord("a"), makeRecord("b")}));
    CHECK(suspects.log.empty());
}

TEST_CASE("a check of a target gathers its requests and gives records only for a crash")
{
    CrashSuspects suspects;
    const TargetIncarnation target{{"a"}, 7};
    CHECK(addToCheck(suspects, OperationId{1}, target, request) == OperationId{1});
    CHECK(addToCheck(suspects, OperationId{2}, target, {"other"}) == OperationId{1});
    CHECK(addToCheck(suspects, OperationId{3}, {{"b"}, 7}, request) == OperationId{3});
    CHECK(recordCrashProbe(suspects, makeProbed(1, ProbeOutcome::Refused), 0s, start).size() == 2);
    CHECK(recordCrashProbe(suspects, makeProbed(3, ProbeOutcome::Silent), 0s, start).empty());
    CHECK(suspects.checks.empty());
}

TEST_CASE("a target that ends is found out though its listening socket outlives its connections")
{
    CrashSuspects suspects;
    addToCheck(suspects, OperationId{1}, {{"a"}, 7}, request);
    CHECK(recordCrashProbe(suspects, makeProbed(1, ProbeOutcome::Accepted), 0s, start).empty());
    CHECK(dueCrashProbes(suspects, start).empty());
    CHECK(dueAt(suspects) == start + 50ms);
    CHECK(dueCrashProbes(suspects, start + 50ms) == std::vector{OperationId{1}});
    CHECK_FALSE(dueAt(suspects).has_value());
    CHECK(recordCrashProbe(suspects, makeProbed(1, ProbeOutcome::Refused), 0s, start).size() == 1);
    addToCheck(suspects, OperationId{2}, {{"a"}, 8}, request);
    recordCrashProbe(suspects, makeProbed(2, ProbeOutcome::Accepted), 0s, start);
    dueCrashProbes(suspects, start + 50ms);
    CHECK(recordCrashProbe(suspects, makeProbed(2, ProbeOutcome::Accepted), 0s, start).empty());
    CHECK(suspects.checks.empty());
}

TEST_CASE("expired records are dropped and removed from the store")
{
    CrashSuspects suspects;
    replaceStored(suspects, makeStored({makeRecord("a")}));
    addRecord(suspects, makeRecord("b"));
    sweepRecords(suspects, 5min);
    CHECK_FALSE(dueCrashWrite(suspects, start).has_value());
    sweepRecords(suspects, 10min);
    CHECK(suspects.local.empty());
    const auto write = dueCrashWrite(suspects, start);
    REQUIRE(write.has_value());
    CHECK(write->removals == std::vector{makeRecord("a")});
}

TEST_CASE("many different requests that crash targets fill neither the memory nor the store")
{
    CrashSuspects suspects;
    constexpr int flood = 5000;
    addRecord(suspects, makeRecord("a"));
    addRecord(suspects, makeRecord("b"));
    std::size_t written = 0;
    for (int i = 0; i < flood; ++i) {
        const RequestDigest digest{std::to_string(i)};
        addRecord(suspects, makeRecord("a", digest));
        shareRecords(suspects, digest);
        while (const auto write = dueCrashWrite(suspects, start)) {
            written += write->records.size();
            recordCrashWrite(suspects, true, start);
            std::vector<CrashRecord> stored = write->records;
            if (suspects.stored) {
                for (const auto &[known, crashes] : *suspects.stored)
                    stored.push_back(makeRecord("a", known));
            }
            replaceStored(suspects, makeStored(stored));
        }
    }
    CHECK(written == suspects.settings.maxStoredRecords);
    CHECK(suspects.log.size()
          <= suspects.settings.maxStoredRecords + suspects.settings.maxLocalRecords);
    CHECK(suspects.log.at(request).size() == 2);
    CHECK(suspects.unstored.size() <= suspects.settings.maxLocalRecords);
}
