#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/runtime/bounded_ring.hpp>
#include <geraniumpulley/runtime/duty.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace geraniumpulley::net::detail {

/// Parses "ip:port"; names are refused, since processes talk by IP numbers.
core::Result<boost::asio::ip::tcp::endpoint> parseAddress(const std::string &address);

/// Binds an acceptor to an address and starts to listen.
/// \return `Errc::BadAddress` or `Errc::ListenFailed` when it cannot.
core::Result<void> listen(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

/// One thread that runs an event loop and drains a ring of orders.
/// \tparam Order a movable message type.
template<typename Order>
class EventLoop
{
public:
    using Handler = std::function<void(Order &&)>;

    explicit EventLoop(std::size_t capacity) : ring(capacity), guard(this->io.get_executor()) { }
    ~EventLoop() { this->stop(); }

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    boost::asio::io_context &context() { return this->io; }
    runtime::BoundedRing<Order> &inbox() { return this->ring; }

    /// Starts the thread; `handler` runs on it. Call it once.
    void start(const std::string &name, Handler newHandler)
    {
        this->handler = std::move(newHandler);
        this->ring.setWaker([this] { this->scheduleDrain(); });
        this->thread = std::thread([this, name] {
            runtime::nameThisThread(name);
            this->io.run();
        });
    }

    /// Ends the loop and joins the thread. Orders still in the ring are dropped.
    void stop()
    {
        this->ring.close();
        this->guard.reset();
        this->io.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    // At most one drain is posted at a time, so that the loop's own queue stays bounded.
    void scheduleDrain()
    {
        if (this->drainScheduled.exchange(true))
            return;
        boost::asio::post(this->io, [this] {
            this->drainScheduled = false;
            while (auto order = this->ring.tryPop())
                this->handler(std::move(*order));
        });
    }

    runtime::BoundedRing<Order> ring;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::atomic<bool> drainScheduled = false;
    Handler handler;
    std::thread thread;
};

} // namespace geraniumpulley::net::detail
