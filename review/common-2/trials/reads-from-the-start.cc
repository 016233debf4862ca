// Clients read the results of a batch from the start. A node that does not own the batch reads all
// results behind the position from the store, however few fit into the answer.

#include "../batches.hh"

using namespace mini;

namespace {

constexpr double memoryMb = 290; // The machines of the site.
constexpr int nodeCount = 3;
constexpr int readerCount = 12;
constexpr double readingMs = 30000;

} // namespace

int main(int, char **arguments)
{
    Test test(arguments[1]);
    test.addNodes(nodeCount);
    BatchTest batches;
    batches.itemsPerBatch = 2000;
    batches.startWorkers(test.store);
    test.startNodes();
    sleepMs(2500);
    MemoryWatch watch(test.nodes, memoryMb);
    if (batches.submit(test.nodes[0], 1) != 202) {
        watch.stop();
        test.finish(2);
    }

    // The trainer reads each result once, as it comes.
    std::size_t position = 0;
    std::size_t turn = 0;
    for (const double endAt = nowMs() + 60000;
         position < static_cast<std::size_t>(batches.itemsPerBatch) && nowMs() < endAt; sleepMs(20))
        position += static_cast<std::size_t>(
                std::max(BatchTest::read(test.nodes[turn++ % nodeCount], 1, position), 0));
    record("the trainer has read %zu results", position);
    if (position < static_cast<std::size_t>(batches.itemsPerBatch)) {
        watch.stop();
        test.finish(2);
    }

    // Other clients read it about twice a second, with the disruption from the start, else from
    // near its end. A failed read is repeated at the next node.
    const double endAt = nowMs() + readingMs;
    std::atomic<int> answered = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> readers;
    for (int r = 0; r < readerCount; ++r)
        readers.emplace_back([&, r] {
            const std::size_t total = static_cast<std::size_t>(batches.itemsPerBatch);
            const std::size_t first = troubleEnabled() ? 0 : total - 20;
            std::size_t after = first;
            for (std::size_t t = static_cast<std::size_t>(r); nowMs() < endAt; ++t) {
                const int count = BatchTest::read(test.nodes[t % nodeCount], 1, after);
                ++(count < 0 ? failed : answered);
                after += static_cast<std::size_t>(std::max(count, 0));
                if (after >= total)
                    after = first;
                sleepMs(500);
            }
        });
    for (std::thread &reader : readers)
        reader.join();
    watch.stop();
    record("%d reads answered, %d failed", answered.load(), failed.load());
    test.finish(watch.nodesThatEnded(3) >= 2 ? 1 : 0);
}
