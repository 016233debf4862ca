// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_door.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

// A door that answers each request with its body.
struct EchoDoor
{
    explicit EchoDoor(const net::DoorSettings &settings = {})
    {
        this->door = std::move(net::HttpDoor::create(settings, [this](net::DoorRequest &&request) {
                                   net::DoorAnswer answer;
                                   answer.token = request.token;
                                   answer.body = std::move(request.body);
                                   this->door->answer(std::move(answer));
                                   return true;
                               }).value());
    }

    // Sends bytes, then reads until the door closes.
    std::string exchange(const std::string &bytes, bool halfClose = true) const
    {
        boost::asio::io_context io;
        Tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), this->door->port()});
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        if (halfClose)
            socket.shutdown(Tcp::socket::shutdown_send, error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

    std::unique_ptr<net::HttpDoor> door;
};

std::string post(const std::string &headers, const std::string &body)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

} // namespace

TEST_CASE("the caller's request id comes back with the answer")
{
    const EchoDoor door;
    const std::string answer =
            door.exchange(post("X-Request-Id: r-17\r\nContent-Length: 2\r\n", "hi"), false);
    CHECK(answer.find("X-Request-Id: r-17\r\n") != std::string::npos);
    CHECK(answer.ends_with("hi"));
}

TEST_CASE("a body that is announced as too large is refused before it is read")
{
    const EchoDoor door;
    const std::string answer = door.exchange(post("Content-Length: 300000000\r\n", ""), false);
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(answer.find("body_too_large") != std::string::npos);
}

TEST_CASE("too many header bytes are refused")
{
    const EchoDoor door;
    const std::string answer = door.exchange(post("X: " + std::string(20'000, 'x') + "\r\n", ""));
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 431")));
}

TEST_CASE("all bodies together stay within the door's budget")
{
    net::DoorSettings settings;
    settings.maxBufferedBytes = 100;
    const EchoDoor door(settings);
    const std::string refused =
            door.exchange(post("Content-Length: 101\r\n", std::string(101, 'x')), false);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    // What was reserved is given back, so that as many requests as one likes fit one by one.
    for (int i = 0; i < 20; ++i) {
        const std::string taken =
                door.exchange(post("Content-Length: 90\r\n", std::string(90, 'x')), false);
        CHECK(taken.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("a half-sent request is closed by the read timeout")
{
    net::DoorSettings settings;
    settings.readTimeout = 50ms;
    const EchoDoor door(settings);
    CHECK(door.exchange("POST / HTTP/1.1\r\nHost:", false).empty());
}

TEST_CASE("raw bytes never stop the door")
{
    const EchoDoor door;
    const std::string valid = post("Content-Length: 5\r\nX-Request-Id: r\r\n", "hello");
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::string bytes = valid;
        for (std::size_t i = 0; i < 1 + random() % 8; ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        static_cast<void>(door.exchange(bytes));
    }
    CHECK(door.exchange(valid, false).starts_with("HTTP/1.1 200"));
}
