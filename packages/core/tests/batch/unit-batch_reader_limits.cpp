#include "single_batch_fixture.hpp"

#include <geraniumpulley/core/batch/batch.hpp>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

ReplyToken readerToken(std::uint64_t number)
{
    constexpr std::uint64_t first = 1000;
    return static_cast<ReplyToken>(first + number);
}

// A fixture whose node may answer for its batch.
struct OwnerFixture : SingleBatchFixture
{
    OwnerFixture()
    {
        auto directory = std::make_shared<Directory>(*this->state.directory);
        directory->ownershipValidUntil = this->now + 1h;
        this->send(BatchDirectoryChanged{directory});
    }
};

} // namespace

TEST_CASE("a reader waits for results no longer than the limit")
{
    OwnerFixture fixture;
    fixture.send(ResultsRequested{ReplyToken{7}, {"b"}, 0, 24h});
    CHECK(fixture.count<AnswerResults>() == 0);
    fixture.now += fixture.state.settings.maxResultsWait;
    fixture.send(BatchTick{});
    CHECK(fixture.count<AnswerResults>() == 1);
}

TEST_CASE("beyond the limit readers do not wait")
{
    OwnerFixture fixture;
    const std::size_t limit = fixture.state.settings.maxWaitingReaders;
    for (std::size_t i = 0; i < limit; ++i) {
        fixture.send(ResultsRequested{readerToken(i), {"b"}, 0, 1s});
        CHECK(fixture.count<AnswerResults>() == 0);
    }
    fixture.send(ResultsRequested{readerToken(limit), {"b"}, 0, 1s});
    CHECK(fixture.count<AnswerResults>() == 1);
}

TEST_CASE("reads of the store in flight are bounded, also by readers that leave")
{
    SingleBatchFixture fixture;
    const std::size_t limit = fixture.state.settings.maxReadsInFlight;
    for (std::size_t i = 0; i < limit; ++i) {
        fixture.send(ResultsRequested{readerToken(i), {"other"}, 0, 1s});
        CHECK(fixture.count<ReadResults>() == 1);
        fixture.send(RequesterDisconnected{readerToken(i)});
    }
    fixture.send(ResultsRequested{readerToken(limit), {"other"}, 0, 1s});
    CHECK(fixture.count<ReadResults>() == 0);
    CHECK(fixture.count<AnswerResults>() == 1);
    ResultsRead read;
    read.reply = readerToken(0);
    fixture.send(read);
    fixture.send(ResultsRequested{readerToken(limit), {"other"}, 0, 1s});
    CHECK(fixture.count<ReadResults>() == 1);
}

TEST_CASE("a batch without room is refused, unless it is known already")
{
    SingleBatchFixture fixture;
    const auto spec = BatchSimulation::makeSpec("c", 1, 1);
    fixture.send(BatchSubmissionReceived{ReplyToken{2}, spec, false});
    CHECK(fixture.count<AnswerBatchSubmission>() == 1);
    CHECK(fixture.count<StoreSubmission>() == 0);
    fixture.send(
            BatchSubmissionReceived{ReplyToken{3}, BatchSimulation::makeSpec("b", 1, 2), false});
    CHECK(fixture.count<AnswerBatchSubmission>() == 1);
    CHECK(std::get<AnswerBatchSubmission>(fixture.actions.front()).verdict
          == SubmitVerdict::Accepted);
}

TEST_CASE("the memory of a batch counts its items and not only its bytes")
{
    BatchSpec spec;
    const std::size_t empty = memoryOf(spec);
    spec.items.resize(1000);
    CHECK(memoryOf(spec) - empty >= 1000 * sizeof(BatchItem));
    spec.encoded = std::string(1000, 'x');
    spec.items.front().headers = {{"X-Model", std::string(500, 'm')}};
    CHECK(memoryOf(spec) - empty >= 1000 * sizeof(BatchItem) + 1500);
}
