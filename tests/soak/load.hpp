#pragma once

#include "ledger.hpp"

#include <geraniumpulley/core/time.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Clients and trainers that use the nodes while faults are injected.
namespace soak {

struct LoadSettings
{
    std::vector<std::string> doors; ///< Addresses of the nodes' doors; they never change.
    std::uint64_t seed = 1;
    std::size_t callers = 2;
    std::size_t trainers = 2;
};

/// Each client and each trainer has a thread of its own.
class Load
{
public:
    Load(LoadSettings settings, Ledger &ledger);
    ~Load();

    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Tells that trainers may see results of that version.
    void noteVersion(std::uint64_t version) { this->newestVersion = version; }
    /// Ends the load: no new work; batches under way have to be whole by `limit`.
    void finish(geraniumpulley::core::Time limit);

private:
    struct Trainer;

    void runCaller(std::size_t index);
    void runTrainer(std::size_t index);
    bool isStopping() const { return this->stopping; }
    bool isLate() const;
    void pause(geraniumpulley::core::Duration time);

    LoadSettings settings;
    Ledger &ledger;
    std::atomic<std::uint64_t> newestVersion = 1;
    std::atomic<bool> stopping = false;
    std::atomic<geraniumpulley::core::Time> finishBy{geraniumpulley::core::Time::max()};
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::thread> threads;
};

} // namespace soak
