#include <geraniumpulley/runtime/metrics.hpp>

#include <doctest/doctest.h>

using geraniumpulley::runtime::Metrics;

TEST_CASE("metrics render counters and distributions")
{
    Metrics metrics;
    metrics.count("calls");
    metrics.count("calls", 2);
    metrics.observe("call_time", std::chrono::microseconds(40));
    const std::string text = metrics.render();
    CHECK(text.find("calls 3\n") != std::string::npos);
    CHECK(text.find("call_time_max_us 40\n") != std::string::npos);
}
