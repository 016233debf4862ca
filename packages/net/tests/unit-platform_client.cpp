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

struct Watched
{
    explicit Watched(const std::string &address)
    {
        net::PlatformSettings settings;
        settings.uri = "http://" + address;
        settings.onServedChanged = [this](bool served) {
            const std::lock_guard lock(this->mutex);
            this->changes += served ? "served " : "failed ";
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

    // \return the changes in order, separated by blanks.
    std::string told()
    {
        const std::lock_guard lock(this->mutex);
        return this->changes;
    }

    std::mutex mutex;
    std::string changes;
    std::unique_ptr<net::PlatformClient> client;
};

} // namespace

TEST_CASE("calls that fail one after the other are told once")
{
    const RawServer server("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n");
    Watched watched(server.address());
    for (int i = 0; i < 3; ++i)
        CHECK(watched.call("/rows").status == 503);
    CHECK(watched.told() == "failed ");
}

TEST_CASE("the first call that is served again is told")
{
    const std::string failed = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n"
                               "Connection: close\r\n\r\n";
    const std::string served = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    const RawServer server(std::vector<std::string>{failed, failed, served});
    Watched watched(server.address());
    for (int i = 0; i < 4; ++i)
        watched.call("/rows");
    CHECK(watched.told() == "failed served ");
}

TEST_CASE("a conflict or a missing row counts as served")
{
    const RawServer server("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n"
                           "Connection: close\r\n\r\n");
    Watched watched(server.address());
    CHECK(watched.call("/rows").status == 409);
    CHECK(watched.told().empty());
}
