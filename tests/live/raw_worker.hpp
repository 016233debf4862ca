#pragma once

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace live {

/// A worker whose answers a test writes byte for byte.
class RawWorker
{
public:
    /// A request as it arrived.
    struct Request
    {
        std::string head;
        std::string body;

        /// \return the value of a header, or "".
        [[nodiscard]] std::string header(const std::string &name) const;
    };

    /// \return the bytes of the answer; the connection stays open without an answer if it is empty.
    using Responder = std::function<std::string(const Request &)>;

    explicit RawWorker(Responder responder);
    ~RawWorker();

    RawWorker(const RawWorker &) = delete;
    RawWorker &operator=(const RawWorker &) = delete;

    [[nodiscard]] std::string address() const;
    /// \return the heads of all requests so far.
    [[nodiscard]] std::vector<std::string> heads() const;

private:
    using Tcp = boost::asio::ip::tcp;

    void accept();
    void serve(Tcp::socket &connection);

    Responder responder;
    boost::asio::io_context io;
    Tcp::acceptor acceptor;
    std::uint16_t boundPort;
    std::atomic<bool> stopping = false;
    mutable std::mutex mutex;
    std::vector<std::string> receivedHeads; // Guarded by `mutex`.
    std::list<Tcp::socket> connections; // Guarded by `mutex`.
    std::vector<std::thread> servers;
    std::thread thread;
};

/// \return a whole answer of a worker to a request.
std::string makeAnswer(const RawWorker::Request &request, const std::string &body = "hi");

} // namespace live
