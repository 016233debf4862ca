#pragma once

#include <geraniumpulley/runtime/bounded_ring.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace geraniumpulley::runtime {

/// Names the calling thread, for debuggers and `top`; at most 15 bytes are kept.
void nameThisThread(const std::string &name);

/// A thread that handles the messages of its ring one by one.
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

    /// \return the ring that feeds this duty; open from construction on.
    BoundedRing<Message> &inbox() { return this->ring; }

    /// Starts the thread. Call it once.
    ///
    /// The handler, with all that it refers to, is kept until the duty itself goes: parts may call
    /// back into it after the thread has ended.
    void start(const std::string &name, Handler newHandler)
    {
        this->handler = std::move(newHandler);
        this->thread = std::thread([this, name] {
            nameThisThread(name);
            this->run();
        });
    }

    /// Delivers a message that must not be lost. From another thread it waits while the ring is
    /// full; from this duty's own thread, where waiting would never end, the message is handled
    /// right after the current one.
    /// \return false when the ring is closed.
    bool deliver(Message &&message)
    {
        if (std::this_thread::get_id() != this->thread.get_id())
            return this->ring.push(std::move(message));
        this->own.push_back(std::move(message));
        return true;
    }

    /// Closes the ring, lets the thread finish what is inside, and joins it.
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
            // Handling may add to `own`; its length is bounded by what one message brings about.
            for (std::size_t i = 0; i < this->own.size(); ++i) {
                Message ownMessage = std::move(this->own[i]);
                this->handler(std::move(ownMessage));
            }
            this->own.clear();
        }
    }

    BoundedRing<Message> ring;
    std::vector<Message> own; // Used on the duty's thread only.
    Handler handler;
    std::thread thread;
};

} // namespace geraniumpulley::runtime
