#include <geraniumpulley/runtime/log.hpp>

#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/chrono.h>

#include <cstdio>

namespace geraniumpulley::runtime {

namespace {
constexpr std::size_t ringCapacity = 4096;
// Longer than any id, address or error text of this system.
constexpr std::size_t maxValueBytes = 512;
// The maximum number of lines written within `rateWindow`; further lines are dropped and counted.
constexpr std::uint64_t maxLinesPerWindow = 1000;
constexpr core::Duration rateWindow = std::chrono::seconds(1);
} // namespace

Logger::Logger() : writer(ringCapacity)
{
    this->writer.start("log", [this](std::string &&line) { this->print(line); });
}

// Runs on the writer's thread. Standard output is flushed only when the ring is empty, so that
// lines queued together are written in one call.
void Logger::print(const std::string &line)
{
    const core::Time time = now();
    if (time - this->windowStart >= rateWindow) {
        this->windowStart = time;
        this->windowLines = 0;
        if (const std::uint64_t droppedTotal = this->droppedLineCount;
            droppedTotal > this->reportedDroppedLines) {
            fmt::print("{}\n",
                       beginLine("log_lines_dropped") + fmt::format(" total={}", droppedTotal));
            this->reportedDroppedLines = droppedTotal;
        }
    }
    if (++this->windowLines > maxLinesPerWindow)
        ++this->droppedLineCount;
    else
        fmt::print("{}\n", line);
    if (this->writer.inbox().size() == 0)
        std::fflush(stdout);
}

Logger::~Logger()
{
    this->writer.stop();
}

std::string Logger::beginLine(std::string_view event)
{
    const auto time = std::chrono::time_point_cast<std::chrono::milliseconds>(wallNow());
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(time);
    return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z event={}", seconds,
                       (time - seconds).count(), event);
}

// Values may come from clients and be as long as a head.
void Logger::appendField(std::string &line, const LogField &field)
{
    const std::string_view value = std::string_view(field.value).substr(0, maxValueBytes);
    const char *const cut = value.size() < field.value.size() ? "..." : "";
    const bool needsQuotes =
            value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
    if (needsQuotes)
        line += fmt::format(" {}={:?}{}", field.key, value, cut);
    else
        line += fmt::format(" {}={}{}", field.key, value, cut);
}

void Logger::enqueue(std::string line)
{
    if (!this->writer.inbox().tryPush(std::move(line)))
        ++this->droppedLineCount;
}

} // namespace geraniumpulley::runtime
