#include "single_batch_fixture.hpp"

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
