#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// What clients observe during a run, and the checks of those observations.
namespace soak {

/// A call that may run at most once, with the answer that its client received.
struct UnsafeCall
{
    std::string id;
    std::uint32_t status = 0; ///< The HTTP status; 0 when no complete answer was received.
};

/// The observations and violations of a run. Load threads add to it concurrently.
class ClientHistory
{
public:
    void recordCall(const UnsafeCall &call);
    void incrementCounter(const std::string &name);
    void recordViolation(const std::string &description);

    [[nodiscard]] std::vector<UnsafeCall> calls() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> counts() const;
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    mutable std::mutex mutex;
    std::vector<UnsafeCall> unsafeCalls;
    std::map<std::string, std::uint64_t> counters;
    std::vector<std::string> recordedViolations;
};

/// How often targets have executed a request, by the id of the request.
using RunCounts = std::map<std::string, std::uint64_t>;

/// \return whether a status guarantees that a request has not run and never will.
bool guaranteesNotRun(std::uint32_t status);

/// Compares the answers of calls that may run at most once with what the targets executed.
/// \return a description of each violation.
std::vector<std::string> checkCalls(const std::vector<UnsafeCall> &calls, const RunCounts &runs);

/// \return the text that a stand-in engine generates for an item.
std::string expectedText(const std::string &item);
/// \return the stream of events with which a stand-in engine sends that text.
std::string expectedStream(const std::string &item);

/// The results of a batch that its trainer has read.
struct ReceivedBatch
{
    std::string id;
    std::vector<std::string> results; ///< Results as JSON, by position.
};

/// Adds results that were read from a position on.
/// \return a description of each position whose result differs from an earlier read.
std::vector<std::string> mergeResults(ReceivedBatch &batch, std::uint64_t firstPosition,
                                      const std::vector<std::string> &results);

/// Checks a batch whose results have all been read.
/// \return a description of each violation.
std::vector<std::string> checkBatch(const ReceivedBatch &batch, std::size_t itemCount,
                                    std::uint64_t newestVersion);

} // namespace soak
