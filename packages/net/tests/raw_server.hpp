#pragma once

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpulley::net::test {

/// A TCP server that reads one request on each connection, writes a prepared response and closes
/// the connection. The responses are used in order; the last one is repeated.
class RawServer
{
public:
    explicit RawServer(std::string response)
        : RawServer(std::vector<std::string>{std::move(response)})
    {
    }

    explicit RawServer(std::vector<std::string> responses)
        : responses(std::move(responses)),
          acceptor(this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          boundPort(this->acceptor.local_endpoint().port()), thread([this] { this->run(); })
    {
    }

    ~RawServer()
    {
        this->stopping = true;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket waker(this->io);
        waker.connect({boost::asio::ip::make_address("127.0.0.1"), this->boundPort}, ignored);
        this->thread.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->boundPort);
    }
    /// \return the number of connections on which a request was read.
    [[nodiscard]] std::size_t requestCount() const { return this->count; }

private:
    void run()
    {
        while (true) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(this->io);
            this->acceptor.accept(socket, error);
            if (this->stopping || error)
                return;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    error);
            const std::string &response =
                    this->responses[std::min<std::size_t>(this->count, this->responses.size() - 1)];
            if (!error)
                ++this->count;
            boost::asio::write(socket, boost::asio::buffer(response), error);
        }
    }

    std::vector<std::string> responses;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort;
    std::atomic<std::size_t> count = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace geraniumpulley::net::test
