#include "raw_server.hpp"

#include <geraniumpulley/net/platform_client.hpp>

#include <doctest/doctest.h>

#include <future>
#include <mutex>
#include <string>
#include <vector>

using namespace geraniumpulley;
using net::test::RawServer;

namespace {

struct ClientWithRecordedChanges
{
    explicit ClientWithRecordedChanges(const std::string &address)
    {
        net::PlatformClientSettings settings;
        settings.uri = "http://" + address;
        settings.onAvailabilityChanged = [this](bool isAvailable) {
            const std::lock_guard lock(this->mutex);
            this->changes += isAvailable ? "available " : "unavailable ";
        };
        this->client = std::move(net::PlatformClient::create(settings).value());
    }

    net::PlatformReply call(const std::string &path)
    {
        std::promise<net::PlatformReply> done;
        this->client->send({"GET", path, {}, [&done](net::PlatformReply &&reply) {
                                done.set_value(std::move(reply));
                            }});
        return done.get_future().get();
    }

    // \return the reported changes in order, each followed by a space.
    std::string reportedChanges()
    {
        const std::lock_guard lock(this->mutex);
        return this->changes;
    }

    std::mutex mutex;
    std::string changes;
    std::unique_ptr<net::PlatformClient> client;
};

} // namespace

TEST_CASE("consecutive failures report the platform as unavailable once")
{
    const RawServer server("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n");
    ClientWithRecordedChanges client(server.address());
    for (int i = 0; i < 3; ++i)
        CHECK(client.call("/rows").status == 503);
    CHECK(client.reportedChanges() == "unavailable ");
}

TEST_CASE("the first success after failures reports the platform as available")
{
    const std::string failureResponse =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n";
    const std::string successResponse =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    const RawServer server(
            std::vector<std::string>{failureResponse, failureResponse, successResponse});
    ClientWithRecordedChanges client(server.address());
    for (int i = 0; i < 4; ++i)
        client.call("/rows");
    CHECK(client.reportedChanges() == "unavailable available ");
}

TEST_CASE("a conflict response does not report the platform as unavailable")
{
    const RawServer server("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n");
    ClientWithRecordedChanges client(server.address());
    CHECK(client.call("/rows").status == 409);
    CHECK(client.reportedChanges().empty());
}
