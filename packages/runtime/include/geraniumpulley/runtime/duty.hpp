#pragma once

#include <geraniumpulley/runtime/bounded_ring.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace geraniumpulley::runtime {

/// Sets the name of the calling thread, as shown by debuggers and `top`. The name is truncated to
/// 15 bytes.
void setThreadName(const std::string &name);

/// A thread that handles the messages of its ring one at a time.
/// \tparam Message a movable message type.
template<typename Message>
class Duty
{
public:
    using Handler = std::function<void(Message &&)>;

    explicit Duty(std::size_t capacity) : ring(capacity) { }
    ~Duty() { this->stop(); }

    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;

    /// \return the ring that this duty takes its messages from; it accepts messages as soon as the
    /// duty is constructed.
    BoundedRing<Message> &inbox() { return this->ring; }

    /// Starts the thread. Must be called at most once.
    ///
    /// The handler and everything it captures live until the duty is destroyed, because other
    /// components may call back into them after the thread has ended.
    void start(const std::string &name, Handler newHandler)
    {
        this->handler = std::move(newHandler);
        this->thread = std::thread([this, name] {
            setThreadName(name);
            this->run();
        });
    }

    /// Delivers a message that must not be lost. Called from another thread, it blocks while the
    /// ring is full. Called from this duty's own thread, where blocking would be a deadlock, it
    /// queues the message to be handled right after the current one.
    /// \return false if the ring is closed.
    bool deliver(Message &&message)
    {
        if (std::this_thread::get_id() != this->thread.get_id())
            return this->ring.push(std::move(message));
        this->selfMessages.push_back(std::move(message));
        return true;
    }

    /// Closes the ring, lets the thread handle the messages still queued, and joins the thread.
    void stop()
    {
        this->ring.close();
        if (this->thread.joinable())
            this->thread.join();
    }

private:
    void run()
    {
        while (auto message = this->ring.pop()) {
            this->handler(std::move(*message));
            // Handling a message may append to `selfMessages`. Its length is bounded by what a
            // single message from the ring causes.
            for (std::size_t i = 0; i < this->selfMessages.size(); ++i) {
                Message ownMessage = std::move(this->selfMessages[i]);
                this->handler(std::move(ownMessage));
            }
            this->selfMessages.clear();
        }
    }

    BoundedRing<Message> ring;
    std::vector<Message> selfMessages; // Accessed by the duty's thread only.
    Handler handler;
    std::thread thread;
};

} // namespace geraniumpulley::runtime
