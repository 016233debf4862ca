#include "raw_worker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace live {

namespace asio = boost::asio;

std::string RawWorker::Request::header(const std::string &name) const
{
    const std::string line = "\r\n" + name + ": ";
    const auto found = std::search(
            this->head.begin(), this->head.end(), line.begin(), line.end(),
            [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    if (found == this->head.end())
        return {};
    const auto start = found + static_cast<std::ptrdiff_t>(line.size());
    return {start, std::find(start, this->head.end(), '\r')};
}

RawWorker::RawWorker(Responder responder)
    : responder(std::move(responder)), acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
      boundPort(this->acceptor.local_endpoint().port()), thread([this] { this->accept(); })
{
}

RawWorker::~RawWorker()
{
    this->stopping = true;
    boost::system::error_code ignored;
    Tcp::socket waker(this->io);
    waker.connect({asio::ip::make_address("127.0.0.1"), this->boundPort}, ignored);
    this->thread.join();
    for (Tcp::socket &connection : this->connections)
        connection.shutdown(Tcp::socket::shutdown_both, ignored);
    for (std::thread &server : this->servers)
        server.join();
}

std::string RawWorker::address() const
{
    return "127.0.0.1:" + std::to_string(this->boundPort);
}

std::vector<std::string> RawWorker::heads() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedHeads;
}

void RawWorker::accept()
{
    while (true) {
        boost::system::error_code error;
        Tcp::socket socket(this->io);
        this->acceptor.accept(socket, error);
        if (this->stopping || error)
            return;
        const std::lock_guard lock(this->mutex);
        Tcp::socket &connection = this->connections.emplace_back(std::move(socket));
        this->servers.emplace_back([this, &connection] { this->serve(connection); });
    }
}

void RawWorker::serve(Tcp::socket &connection)
{
    std::string bytes;
    boost::system::error_code error;
    while (!error) {
        const std::size_t headSize =
                asio::read_until(connection, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
        if (error)
            return;
        Request request{bytes.substr(0, headSize), {}};
        bytes.erase(0, headSize);
        const std::string length = request.header("Content-Length");
        const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
        if (bytes.size() < bodySize)
            asio::read(connection, asio::dynamic_buffer(bytes),
                       asio::transfer_exactly(bodySize - bytes.size()), error);
        request.body = bytes.substr(0, bodySize);
        bytes.erase(0, bodySize);
        {
            const std::lock_guard lock(this->mutex);
            this->receivedHeads.push_back(request.head);
        }
        const std::string answer = this->responder(request);
        if (!answer.empty())
            asio::write(connection, asio::buffer(answer), error);
    }
}

std::string makeAnswer(const RawWorker::Request &request, const std::string &body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       request.header("X-Attempt-Id"), body.size(), body);
}

} // namespace live
