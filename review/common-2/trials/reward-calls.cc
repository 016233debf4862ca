// A trainer ends a batch while reward calls of its items are at the scorer. The answer of one call
// is lost, and the node sends that call again, later than `cancel_ms` after the end was
// acknowledged.

#include "../batches.hh"

using namespace mini;

namespace {

constexpr int nodeCount = 2;
constexpr double cancelMs = 3000; // `cancel_ms`.
constexpr int batchCount = 3;
constexpr int lostEvery = 20; // One answer in twenty is lost.

} // namespace

int main(int, char **arguments)
{
    Test test(arguments[1]);
    test.addNodes(nodeCount);
    BatchTest batches;
    batches.engineCount = 3;
    batches.itemsPerBatch = 24;
    batches.eventsPerText = 10;
    batches.eventBytes = 40;
    batches.scorerCount = 1;
    batches.scoreMs = 4500;
    batches.scoreTimeoutMs = 10000;
    batches.startWorkers(test.store);
    std::atomic<int> answers = 0;
    if (troubleEnabled())
        batches.plains[0]->losesAnswer = [&] { return ++answers % lostEvery == 0; };
    test.startNodes();
    sleepMs(2500);

    int late = 0;
    int calls = 0;
    for (int b = 1; b <= batchCount; ++b) {
        if (batches.submit(test.nodes[0], b) != 202)
            test.finish(2);
        sleepMs(900);
        const Response response =
                call(test.nodes[1].callers, "DELETE", "/-/lots/" + BatchTest::batchId(b),
                     {{"Host", "site.example"}, {"Connection", "close"}}, "", 4000);
        const double ackedAt = nowMs();
        record("end of %s acknowledged: %d", BatchTest::batchId(b).c_str(), response.status);
        if (response.status != 200)
            test.finish(2);
        sleepMs(11000);
        for (int i = 0; i < batches.itemsPerBatch; ++i) {
            const std::string id = "s" + BatchTest::idOf(b, i);
            const std::lock_guard lock(runLog.mutex);
            for (const RunLog::Span &span : runLog.spans[id]) {
                ++calls;
                if (span.from <= ackedAt + cancelMs)
                    continue;
                record("reward call %s reached the scorer and ran %.1f s after the ack of the end",
                       id.c_str(), (span.from - ackedAt) / 1000);
                ++late;
            }
        }
    }
    record("%d reward calls ran, %d of them later than cancel_ms after the ack of the end", calls,
           late);
    test.finish(calls == 0 ? 2 : late > 0 ? 1 : 0);
}
