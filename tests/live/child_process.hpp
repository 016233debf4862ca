#pragma once

#include <geraniumpulley/core/time.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Child processes that a test starts and signals, and that never outlive it.
namespace live {

using geraniumpulley::core::Duration;

/// Wakes threads that wait for a condition whenever any process of the test logs a line.
struct LogWatch
{
    std::mutex mutex;
    std::condition_variable changed;
};

/// A child process whose standard output and standard error are read line by line. The destructor
/// kills the process if it still runs, and reaps it.
class ChildProcess
{
public:
    ChildProcess(std::shared_ptr<LogWatch> watch, const std::vector<std::string> &command);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int signalNumber) const;
    [[nodiscard]] pid_t id() const { return this->pid; }
    /// \return whether the process has ended; `status` is then its exit status, or 128 plus the
    /// number of the signal that terminated it.
    bool hasEnded(int &status);
    [[nodiscard]] std::vector<std::string> lines() const;

private:
    void readLines(int descriptor);

    std::shared_ptr<LogWatch> watch;
    std::vector<std::string> log;
    pid_t pid = -1;
    bool ended = false;
    int endStatus = 0;
    std::thread reader;
};

/// \return the value of a key in the first line with `event=EVENT`, or "".
std::string loggedField(const std::vector<std::string> &lines, const std::string &event,
                        const std::string &key);

/// Waits until a condition holds. The condition is checked at each logged line and at least every
/// 50 ms.
/// \return false when the timeout passed first.
bool waitUntil(LogWatch &watch, Duration timeout, const std::function<bool()> &condition);

} // namespace live
