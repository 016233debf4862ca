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

/// \return a field whose value is formatted by fmt.
template<typename T>
LogField field(std::string_view key, const T &value)
{
    return {key, fmt::format("{}", value)};
}

/// Writes log lines to standard output on a thread of its own.
///
/// When its ring is full, or too many lines come in a second, a line is dropped and counted: a slow
/// reader of the log must not hold up calls, and load must not fill the log.
class Logger
{
public:
    Logger();
    ~Logger();

    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// Writes `time=... event=... key=value ...`; values with blanks are quoted.
    template<typename... Fields>
    void write(std::string_view event, const Fields &...fields)
    {
        std::string line = beginLine(event);
        (appendField(line, fields), ...);
        this->submit(std::move(line));
    }

    /// \return the number of lines dropped because the ring was full.
    [[nodiscard]] std::uint64_t droppedLines() const { return this->dropped; }

private:
    static std::string beginLine(std::string_view event);
    static void appendField(std::string &line, const LogField &field);
    void submit(std::string line);
    void print(const std::string &line);

    std::atomic<std::uint64_t> dropped = 0;
    core::Time windowStart{}; // Used on the writer's thread, as the next two.
    std::uint64_t linesOfWindow = 0;
    std::uint64_t droppedTold = 0;
    Duty<std::string> writer;
};

} // namespace geraniumpulley::runtime
