#pragma once

#include <geraniumpulley/core/time.hpp>

#include <condition_variable>
#include <mutex>

namespace geraniumpulley::runtime {

/// A one-shot condition that threads can wait for.
class Latch
{
public:
    /// Sets the condition and wakes all waiting threads.
    void set()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isSet = true;
        }
        this->changed.notify_all();
    }

    /// Blocks until the condition is set or `timeout` has passed. \return whether it is set.
    bool waitFor(core::Duration timeout)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, timeout, [this] { return this->isSet; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool isSet = false;
};

} // namespace geraniumpulley::runtime
