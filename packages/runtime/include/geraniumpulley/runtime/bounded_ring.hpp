#pragma once

#include <geraniumpulley/core/time.hpp>

#include <boost/circular_buffer.hpp>

#include <cassert>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace geraniumpulley::runtime {

/// A bounded message queue between threads, for several producers and one consumer.
///
/// The producer chooses what happens when the ring is full: `tryPush` fails, `push` blocks.
/// \tparam T a movable message type.
template<typename T>
class BoundedRing
{
public:
    /// A callback that runs after each push, outside the lock. It wakes a consumer that does not
    /// wait in `pop`, such as an event loop.
    using Waker = std::function<void()>;

    /// \param capacity the maximum number of queued messages; at least 1.
    explicit BoundedRing(std::size_t capacity) : messages(capacity) { assert(capacity > 0); }

    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;

    /// Sets the waker. Must be called before the ring is shared between threads.
    void setWaker(const Waker &newWaker) { this->waker = newWaker; }

    /// Appends a message without blocking.
    /// \return false if the ring is full or closed; the message is then not moved from.
    [[nodiscard]] bool tryPush(T &&message)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->closed || this->messages.full())
                return false;
            this->messages.push_back(std::move(message));
        }
        this->wake();
        return true;
    }

    /// Appends a message; blocks while the ring is full.
    /// \return false if the ring is closed.
    bool push(T &&message)
    {
        {
            std::unique_lock lock(this->mutex);
            this->notFull.wait(lock, [this] { return this->closed || !this->messages.full(); });
            if (this->closed)
                return false;
            this->messages.push_back(std::move(message));
        }
        this->wake();
        return true;
    }

    /// Removes the oldest message; blocks while the ring is empty.
    /// \return no value once the ring is closed and empty.
    std::optional<T> pop()
    {
        std::unique_lock lock(this->mutex);
        this->notEmpty.wait(lock, [this] { return this->closed || !this->messages.empty(); });
        return this->popFront();
    }

    /// Removes the oldest message without blocking.
    /// \return no value if the ring is empty.
    std::optional<T> tryPop()
    {
        const std::lock_guard lock(this->mutex);
        return this->popFront();
    }

    /// Rejects further messages; messages already queued can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->notEmpty.notify_all();
        this->notFull.notify_all();
    }

    /// \return the number of queued messages.
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(this->mutex);
        return this->messages.size();
    }

private:
    void wake()
    {
        this->notEmpty.notify_one();
        if (this->waker)
            this->waker();
    }

    std::optional<T> popFront()
    {
        if (this->messages.empty())
            return std::nullopt;
        std::optional<T> message(std::move(this->messages.front()));
        this->messages.pop_front();
        this->notFull.notify_one();
        return message;
    }

    mutable std::mutex mutex;
    std::condition_variable notEmpty;
    std::condition_variable notFull;
    boost::circular_buffer<T> messages;
    Waker waker;
    bool closed = false;
};

} // namespace geraniumpulley::runtime
