#pragma once

#include "client_history.hpp"

#include <geraniumpulley/core/time.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Callers and trainers that send requests to the nodes while faults are injected.
namespace soak {

struct LoadSettings
{
    /// Addresses of the proxies for callers. They stay the same when a node is restarted.
    std::vector<std::string> nodeAddresses;
    std::uint64_t seed = 1;
    std::size_t callerCount = 2;
    std::size_t trainerCount = 2;
    std::size_t streamReaderCount = 1;
};

/// Generates load. Each caller and each trainer has a thread of its own.
class Load
{
public:
    Load(LoadSettings settings, ClientHistory &history);
    ~Load();

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Sets the newest weight version that results may contain.
    void setNewestVersion(std::uint64_t version) { this->newestVersion = version; }
    /// Ends the load: starts no new work and waits for the batches in flight, which have to be
    /// complete by `deadline`.
    void finish(geraniumpulley::core::Time deadline);

private:
    struct Trainer;

    void runCaller(std::size_t index);
    void runTrainer(std::size_t index);
    void runStreamReader(std::size_t index);
    bool isStopping() const { return this->stopping; }
    bool isPastDeadline() const;
    /// Waits for a duration. A call of `finish()` ends the wait early.
    void pause(geraniumpulley::core::Duration duration);

    LoadSettings settings;
    ClientHistory &history;
    std::atomic<std::uint64_t> newestVersion = 1;
    std::atomic<bool> stopping = false;
    std::atomic<geraniumpulley::core::Time> deadline{geraniumpulley::core::Time::max()};
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::thread> threads;
};

} // namespace soak
