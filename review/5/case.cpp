// A deployment whose grace_s is a fraction.
#include "harness.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr Milliseconds playTime{20000};
constexpr Milliseconds restartDelay{1000};
// "on a tenth of the machines in use (two at least) processes end by themselves three times"
constexpr int maxEnds = 3;
constexpr int maxMachines = 2;

struct Machine
{
    std::unique_ptr<Node> node;
    int ends = 0;
    bool isDown = false;
    Time restartAt{};
    bool wasReady = false;
    int answered = 0;
};

int run(Record &record, const std::string &folder, Store &store,
        std::vector<std::unique_ptr<Worker>> &workers)
{
    store.put("op", "config", makeConfig(7, 40));
    for (int i = 0; i < 2; ++i)
        workers.push_back(
                std::make_unique<Worker>(store, record, "i-app" + std::to_string(i), "app", ""));
    const std::string graceSeconds = hasTrouble() ? "7.5" : "8";
    record.write("grace_s is " + graceSeconds);
    std::vector<Machine> machines(nodeCount);
    std::vector<std::string> seeds;
    for (int i = 0; i < nodeCount; ++i) {
        machines[i].node = std::make_unique<Node>(record, folder, "front-" + std::to_string(i),
                                                  store.address(), seeds, graceSeconds);
        seeds.push_back(machines[i].node->peers());
        machines[i].node->start();
    }
    const Time end = Clock::now() + playTime;
    int number = 0;
    while (Clock::now() < end) {
        for (Machine &machine : machines) {
            if (!machine.isDown && machine.node->hasEnded()) {
                ++machine.ends;
                machine.isDown = true;
                machine.restartAt = Clock::now() + restartDelay;
            }
            if (machine.isDown && Clock::now() >= machine.restartAt) {
                machine.isDown = false;
                machine.node->start();
            }
            machine.wasReady = machine.wasReady || machine.node->isReady();
            const Response response = call(machine.node->callers(), "POST", "/lookup/1",
                                           {{"X-Attempt-Id", "lookup-" + std::to_string(number++)},
                                            {"X-Deadline-Ms", "2000"}},
                                           "x", Milliseconds(2500));
            machine.answered += response.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    int failing = 0;
    for (const Machine &machine : machines) {
        record.write("node " + machine.node->name() + ": ended by itself "
                     + std::to_string(machine.ends) + " times, "
                     + (machine.wasReady ? "was ready" : "was never ready") + ", "
                     + std::to_string(machine.answered) + " requests answered with 200");
        failing += machine.ends >= maxEnds ? 1 : 0;
    }
    record.write("machines whose process ended by itself three times: " + std::to_string(failing));
    return failing >= maxMachines ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = makeFolder();
    // Not destroyed, because their threads may still wait for clients.
    Store store(record);
    std::vector<std::unique_ptr<Worker>> workers;
    const int result = run(record, folder, store, workers);
    record.write("exit " + std::to_string(result));
    removeFolder(folder);
    std::fflush(nullptr);
    std::_Exit(result);
}
