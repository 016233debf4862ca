#include "platform_fleet.hpp"
#include "raw_worker.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace {

// Promises nothing, which is true of a request that may have run. The status 504 would mean that
// the request was held until its time was up.
constexpr std::uint32_t badGateway = 502;

std::string answerWith(const std::string &status, const live::RawWorker::Request &request)
{
    return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                       "Content-Length: 2\r\n\r\nhi",
                       status, request.header("X-Attempt-Id"));
}

} // namespace

// Guards against bytes in the place of a status that reach the client as the answer to its request,
// or that hold the request until its time is up.
TEST_CASE("on the platform a status that is none reaches no client")
{
    const std::vector<std::string> statuses{"000 X", "099 X",  "101 Switching Protocols",
                                            "600 X", "999 X",  "1000 X",
                                            " X",    "-200 X", "20 X"};
    for (const std::string &status : statuses) {
        CAPTURE(status);
        const live::RawWorker worker([&status](const live::RawWorker::Request &request) {
            return answerWith(status, request);
        });
        live::PlatformFleet fleet;
        REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
        fleet.addWorker("orders-1", "orders", worker.address());
        fleet.addWorker("engine-1", "engines", worker.address());
        fleet.startNode("node-a");
        REQUIRE(fleet.waitUntilReady());

        const auto safe = fleet.call("node-a", "POST", "/lookup/1", "safe", "x");
        CHECK(safe.status == badGateway);
        const std::size_t before = worker.heads().size();
        const auto unsafe = fleet.call("node-a", "POST", "/book/1", "unsafe", "x");
        CHECK(unsafe.status == badGateway);
        CHECK(worker.heads().size() == before + 1);
        const auto stream =
                fleet.call("node-a", "POST", "/chat/1", "stream", "x", {{"X-Deadline-Ms", "3000"}});
        CHECK(stream.status == badGateway);
        int ended = 0;
        CHECK_FALSE(fleet.process("node-a").hasEnded(ended));
    }
}

// Guards against requests that wait for a response behind interim ones without end.
TEST_CASE("on the platform interim responses without end are no answer")
{
    std::string interims;
    for (int i = 0; i < 1000; ++i)
        interims += "HTTP/1.1 102 Processing\r\n\r\n";
    const live::RawWorker worker(
            [&interims](const live::RawWorker::Request &) { return interims; });
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.addWorker("orders-1", "orders", worker.address());
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    // The route allows 2 s: an answer that comes at its end was only given up then.
    CHECK(fleet.call("node-a", "POST", "/book/1", "unsafe", "x").status == badGateway);
}
