#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// What clients have seen in a run, and what must not have happened.
namespace soak {

/// A call that may run at most once, as its client saw it end.
struct UnsafeCall
{
    std::string id;
    std::uint32_t status = 0; ///< 0 when no whole answer came.
};

/// Filled by the threads of the load.
class Ledger
{
public:
    void note(const UnsafeCall &call);
    void count(const std::string &what);
    void violate(const std::string &what);

    [[nodiscard]] std::vector<UnsafeCall> calls() const;
    [[nodiscard]] std::map<std::string, std::uint64_t> counts() const;
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    mutable std::mutex mutex;
    std::vector<UnsafeCall> unsafeCalls;
    std::map<std::string, std::uint64_t> counters;
    std::vector<std::string> found;
};

/// Requests that targets ran, by id.
using RunCounts = std::map<std::string, std::uint64_t>;

/// \return whether a status promises that a request has not run and never will.
bool promisesNotRun(std::uint32_t status);

/// \return what the runs of the targets show to be wrong with calls that may run at most once.
std::vector<std::string> checkCalls(const std::vector<UnsafeCall> &calls, const RunCounts &runs);

/// \return the text that an engine makes of an item.
std::string textOf(const std::string &item);

/// A batch's results as its trainer has read them, by position.
struct ReadBatch
{
    std::string id;
    std::vector<std::string> results; ///< As JSON.
};

/// Takes results read from a position on.
/// \return what is wrong: a position that holds another result than before.
std::vector<std::string> takeResults(ReadBatch &batch, std::uint64_t after,
                                     const std::vector<std::string> &results);

/// \return what is wrong with a batch whose results are all there.
std::vector<std::string> checkBatch(const ReadBatch &batch, std::size_t items,
                                    std::uint64_t newestVersion);

} // namespace soak
