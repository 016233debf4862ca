#pragma once

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpulley::net::test {

/// A TCP server that reads the head of one request on each connection, writes a prepared response
/// and closes the connection. The responses are used in order, the last one again and again, or
/// chosen by a function of the request's head.
class RawServer
{
public:
    explicit RawServer(std::string response)
        : RawServer(std::vector<std::string>{std::move(response)})
    {
    }

    using Responder = std::function<std::string(const std::string &requestHead)>;

    explicit RawServer(std::vector<std::string> responses)
        : RawServer([this, responses = std::move(responses)](const std::string &) {
              return responses[std::min<std::size_t>(this->count, responses.size() - 1)];
          })
    {
    }

    explicit RawServer(Responder responder)
        : responder(std::move(responder)),
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
            const std::string response = this->responder(request);
            if (!error)
                ++this->count;
            boost::asio::write(socket, boost::asio::buffer(response), error);
        }
    }

    Responder responder;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t boundPort;
    std::atomic<std::size_t> count = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

} // namespace geraniumpulley::net::test
