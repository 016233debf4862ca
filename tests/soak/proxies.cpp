#include "proxies.hpp"

#include <array>
#include <chrono>
#include <list>
#include <stdexcept>

namespace soak {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t bufferBytes = 16 * 1024;
constexpr auto forwardingDelay = std::chrono::milliseconds(40);
// How often stalled data is checked for the end of the fault.
constexpr auto stallCheckPeriod = std::chrono::milliseconds(20);
constexpr auto tricklePeriod = std::chrono::milliseconds(100);
constexpr auto repeatDelay = std::chrono::milliseconds(30);

tcp::endpoint parse(const std::string &address)
{
    const std::size_t colon = address.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

void closeWithReset(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

enum class Direction { ToServer, ToClient };

} // namespace

struct Link
{
    explicit Link(boost::asio::io_context &io)
        : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    tcp::acceptor acceptor;
    std::string server;
    LinkFault fault = LinkFault::None;
    std::list<std::weak_ptr<struct Session>> sessions;
};

struct Session : std::enable_shared_from_this<Session>
{
    Session(boost::asio::io_context &io, std::shared_ptr<Link> link, tcp::socket client)
        : link(std::move(link)), client(std::move(client)),
          server(io), delayTimers{makeTimer(io), makeTimer(io)}
    {
    }

    static boost::asio::steady_timer makeTimer(boost::asio::io_context &io)
    {
        return boost::asio::steady_timer(io);
    }

    void start()
    {
        this->server.async_connect(parse(this->link->server),
                                   [self = this->shared_from_this()](const ErrorCode &error) {
                                       if (error)
                                           return self->abort();
                                       self->read(Direction::ToServer);
                                       self->read(Direction::ToClient);
                                   });
    }

    void abort()
    {
        closeWithReset(this->client);
        closeWithReset(this->server);
    }

    void read(Direction direction)
    {
        auto &source = direction == Direction::ToServer ? this->client : this->server;
        auto &buffer = this->buffers.at(static_cast<std::size_t>(direction));
        source.async_read_some(boost::asio::buffer(buffer),
                               [self = this->shared_from_this(), direction](const ErrorCode &error,
                                                                            std::size_t bytes) {
                                   if (error)
                                       return self->onReadFailed(direction, error);
                                   self->forward(direction, bytes, true);
                               });
    }

    // Forwards the end of a stream as a half-close, so that the other direction stays open.
    void onReadFailed(Direction direction, const ErrorCode &error)
    {
        if (error != boost::asio::error::eof || this->isStalled(direction))
            return this->abort();
        ErrorCode ignored;
        auto &destination = direction == Direction::ToServer ? this->server : this->client;
        destination.shutdown(tcp::socket::shutdown_send, ignored);
    }

    bool isStalled(Direction direction) const
    {
        const LinkFault fault = this->link->fault;
        return fault == LinkFault::Stalled
               || (fault == LinkFault::StalledToServer && direction == Direction::ToServer);
    }

    void forward(Direction direction, std::size_t bytes, bool isFirstCheck)
    {
        const bool isDelayed = isFirstCheck && this->link->fault == LinkFault::Delayed;
        if (!isDelayed && !this->isStalled(direction))
            return this->write(direction, 0, bytes);
        auto &timer = this->delayTimers.at(static_cast<std::size_t>(direction));
        timer.expires_after(isDelayed ? forwardingDelay : stallCheckPeriod);
        timer.async_wait(
                [self = this->shared_from_this(), direction, bytes](const ErrorCode &error) {
                    if (!error)
                        self->forward(direction, bytes, false);
                });
    }

    bool hasAnswerFault(Direction direction, LinkFault fault) const
    {
        return direction == Direction::ToClient && this->link->fault == fault;
    }

    // Writes the bytes of the buffer from `first` to `last`.
    void write(Direction direction, std::size_t first, std::size_t last)
    {
        const bool isCut = this->hasAnswerFault(direction, LinkFault::CuttingAnswers);
        const bool isTrickled = this->hasAnswerFault(direction, LinkFault::TricklingAnswers);
        std::size_t end = last;
        if (isCut)
            end = first + (last - first) / 2;
        else if (isTrickled)
            end = first + 1;
        auto &destination = direction == Direction::ToServer ? this->server : this->client;
        auto &buffer = this->buffers.at(static_cast<std::size_t>(direction));
        boost::asio::async_write(destination,
                                 boost::asio::buffer(buffer.data() + first, end - first),
                                 [self = this->shared_from_this(), direction, end, last,
                                  isCut](const ErrorCode &error, std::size_t) {
                                     if (error)
                                         return self->abort();
                                     if (isCut)
                                         return self->close();
                                     self->onWritten(direction, end, last);
                                 });
    }

    void onWritten(Direction direction, std::size_t written, std::size_t last)
    {
        if (written < last)
            return this->writeLater(direction, written, last, tricklePeriod);
        const bool isRepeated = this->hasAnswerFault(direction, LinkFault::RepeatingAnswers)
                                && !std::exchange(this->hasRepeated, true);
        if (isRepeated)
            return this->writeLater(direction, 0, last, repeatDelay);
        this->hasRepeated = false;
        this->read(direction);
    }

    void writeLater(Direction direction, std::size_t first, std::size_t last,
                    std::chrono::milliseconds delay)
    {
        auto &timer = this->delayTimers.at(static_cast<std::size_t>(direction));
        timer.expires_after(delay);
        timer.async_wait(
                [self = this->shared_from_this(), direction, first, last](const ErrorCode &error) {
                    if (!error)
                        self->write(direction, first, last);
                });
    }

    // Closes both sides without a reset, as a process that exits does.
    void close()
    {
        ErrorCode ignored;
        this->client.shutdown(tcp::socket::shutdown_both, ignored);
        this->client.close(ignored);
        this->server.close(ignored);
    }

    std::shared_ptr<Link> link;
    tcp::socket client;
    tcp::socket server;
    std::array<boost::asio::steady_timer, 2> delayTimers;
    std::array<std::array<char, bufferBytes>, 2> buffers{};
    bool hasRepeated = false; // The bytes in the buffer to the client were sent twice.
};

namespace {

void accept(boost::asio::io_context &io, const std::shared_ptr<Link> &link)
{
    link->acceptor.async_accept([&io, link](const ErrorCode &error, tcp::socket socket) {
        if (error)
            return;
        if (link->fault == LinkFault::Refusing || link->server.empty()) {
            closeWithReset(socket);
        } else {
            const auto session = std::make_shared<Session>(io, link, std::move(socket));
            link->sessions.remove_if([](const auto &known) { return known.expired(); });
            link->sessions.push_back(session);
            session->start();
        }
        accept(io, link);
    });
}

} // namespace

Proxies::Proxies()
    : workGuard(boost::asio::make_work_guard(this->io)), thread([this] { this->io.run(); })
{
}

Proxies::~Proxies()
{
    this->io.stop();
    this->thread.join();
}

std::string Proxies::open(const std::string &name)
{
    const auto link = std::make_shared<Link>(this->io);
    this->links[name] = link;
    std::string address = "127.0.0.1:" + std::to_string(link->acceptor.local_endpoint().port());
    boost::asio::post(this->io, [this, link] { accept(this->io, link); });
    return address;
}

void Proxies::setServer(const std::string &name, const std::string &server)
{
    boost::asio::post(this->io, [link = this->links.at(name), server] { link->server = server; });
}

void Proxies::setFault(const std::string &name, LinkFault fault)
{
    boost::asio::post(this->io, [link = this->links.at(name), fault] { link->fault = fault; });
}

void Proxies::reset(const std::string &name)
{
    boost::asio::post(this->io, [link = this->links.at(name)] {
        for (const auto &known : link->sessions) {
            if (const auto session = known.lock())
                session->abort();
        }
    });
}

} // namespace soak
