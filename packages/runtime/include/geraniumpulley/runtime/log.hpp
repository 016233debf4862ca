#pragma once

#include <geraniumpulley/runtime/duty.hpp>

#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpulley::runtime {

/// One key=value pair of a log line.
struct LogField
{
    std::string_view key;
    std::string value;
};

/// \return a log field with `value` formatted by fmt.
template<typename T>
LogField field(std::string_view key, const T &value)
{
    return {key, fmt::format("{}", value)};
}

/// Writes log lines to standard output on its own thread.
///
/// A line is dropped and counted if the ring is full or too many lines were written within a
/// second: a slow reader of the log must not block calls, and high load must not flood the log.
class Logger
{
public:
    Logger();
    ~Logger();

    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// Writes a line of the form `time=... event=... key=value ...`. Values that are empty or
    /// contain blanks, quotes, backslashes or `=` are quoted.
    template<typename... Fields>
    void write(std::string_view event, const Fields &...fields)
    {
        std::string line = beginLine(event);
        (appendField(line, fields), ...);
        this->enqueue(std::move(line));
    }

    /// \return the number of lines dropped so far, because the ring was full or the rate limit was
    /// exceeded.
    [[nodiscard]] std::uint64_t droppedLines() const { return this->droppedLineCount; }

private:
    static std::string beginLine(std::string_view event);
    static void appendField(std::string &line, const LogField &field);
    void enqueue(std::string line);
    void print(const std::string &line);

    std::atomic<std::uint64_t> droppedLineCount = 0;
    core::Time windowStart{}; // This and the next two are accessed by the writer's thread only.
    std::uint64_t windowLines = 0;
    std::uint64_t reportedDroppedLines = 0;
    Duty<std::string> writer;
};

} // namespace geraniumpulley::runtime
