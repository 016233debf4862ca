#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/runtime/bounded_ring.hpp>
#include <geraniumpulley/runtime/duty.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace geraniumpulley::net::detail {

/// Parses "ip:port". Host names are rejected, because processes address each other by IP.
core::Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

/// Binds an acceptor to an address and starts listening.
/// \return `Errc::BadAddress` or `Errc::ListenFailed` on failure.
core::Result<void> listen(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// A thread that runs an Asio event loop and handles the commands of a bounded ring.
/// \tparam Command a movable message type.
template<typename Command>
class EventLoop
{
public:
    using Handler = std::function<void(Command &&)>;

    explicit EventLoop(std::size_t capacity) : ring(capacity), guard(this->io.get_executor()) { }
    ~EventLoop() { this->stop(); }

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    boost::asio::io_context &context() { return this->io; }
    runtime::BoundedRing<Command> &inbox() { return this->ring; }

    /// Starts the thread, which calls the handler for each command. Must be called only once.
    void start(const std::string &name, Handler newHandler)
    {
        this->handler = std::move(newHandler);
        this->ring.setWaker([this] { this->scheduleDrain(); });
        this->thread = std::thread([this, name] {
            runtime::setThreadName(name);
            this->run();
        });
    }

    /// \return the number of operations and commands that ended with an exception.
    [[nodiscard]] std::uint64_t failureCount() const { return this->failures; }

    /// Stops the loop and joins the thread. Commands still in the ring are discarded.
    void stop()
    {
        this->ring.close();
        this->guard.reset();
        this->io.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    // An exception drops the operation or command that threw it, and with it the connection that
    // the operation kept alive; the others go on.
    void run()
    {
        while (true) {
            try {
                this->io.run();
                return;
            } catch (const std::exception &) {
                ++this->failures;
            }
        }
    }

    void handle(Command &&command)
    {
        try {
            this->handler(std::move(command));
        } catch (const std::exception &) {
            ++this->failures;
        }
    }

    // Posts at most one drain at a time, so that the queue of the `io_context` stays bounded.
    void scheduleDrain()
    {
        if (this->drainScheduled.exchange(true))
            return;
        boost::asio::post(this->io, [this] {
            this->drainScheduled = false;
            while (auto command = this->ring.tryPop())
                this->handle(std::move(*command));
        });
    }

    runtime::BoundedRing<Command> ring;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::atomic<bool> drainScheduled = false;
    std::atomic<std::uint64_t> failures = 0;
    Handler handler;
    std::thread thread;
};

} // namespace geraniumpulley::net::detail
