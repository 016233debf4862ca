#include "single_batch_fixture.hpp"

#include <string>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

// Submits a batch of a model of its own, opens it and ends it.
void runBatch(SingleBatchFixture &fixture, int number)
{
    const BatchId id{"batch-" + std::to_string(number)};
    auto spec = std::make_shared<BatchSpec>(*BatchSimulation::makeSpec(id.value, 1, 2));
    spec->model = "model-" + std::to_string(number);
    const auto version = static_cast<RowVersion>(100 + 2 * number);
    fixture.send(BatchSubmissionReceived{ReplyToken{9}, spec});
    fixture.send(SubmissionStored{id, StoreOutcome::Committed, version, std::nullopt});
    BatchHead head = fixture.state.ownedBatches.at(id).head;
    fixture.send(BatchEndRequested{ReplyToken{10}, id});
    head.ended = true;
    fixture.send(HeadStored{head, StoreOutcome::Committed, next(version), std::nullopt});
    CHECK(fixture.state.ownedBatches.count(id) == 0);
}

void sendDirectory(SingleBatchFixture &fixture)
{
    fixture.send(BatchDirectoryChanged{std::make_shared<Directory>(*fixture.state.directory)});
}

} // namespace

// Guards against state that grows with each batch and model that a client has ever named.
TEST_CASE("nothing is kept of batches that have ended and left the directory")
{
    constexpr int batches = 100;
    SingleBatchFixture fixture;
    for (int i = 0; i < batches; ++i)
        runBatch(fixture, i);
    sendDirectory(fixture);
    CHECK(fixture.state.engineLists.size() <= 1);
    CHECK(fixture.state.closedBatches.size() == batches);
    fixture.now += fixture.state.settings.closedRetention;
    sendDirectory(fixture);
    CHECK(fixture.state.closedBatches.empty());
}
