#pragma once

#include <geraniumpulley/core/time.hpp>

#include <condition_variable>
#include <mutex>

namespace geraniumpulley::runtime {

/// A condition that comes true once; threads wait for it.
class Latch
{
public:
    void set()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isSet = true;
        }
        this->changed.notify_all();
    }

    /// Waits for at most `limit`. \return whether the condition came true.
    bool waitFor(core::Duration limit)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, limit, [this] { return this->isSet; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool isSet = false;
};

} // namespace geraniumpulley::runtime
