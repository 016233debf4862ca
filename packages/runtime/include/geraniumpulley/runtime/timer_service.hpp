#pragma once

#include <geraniumpulley/core/time.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace geraniumpulley::runtime {

/// One thread that tells subscribers when their period has passed.
///
/// Periods carry jitter, so that nodes that start together do not reach the store together.
class TimerService
{
public:
    /// Must not block; pushes a tick to the subscriber's ring with `tryPush`.
    using Callback = std::function<void()>;

    /// \param seed decides the jitter.
    explicit TimerService(std::uint64_t seed);
    ~TimerService();

    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls back each `period`, give or take a tenth of it, until `stop`.
    void subscribe(core::Duration period, Callback callback);

    /// Adds an alarm that is not armed yet. \return its number for `arm`.
    std::size_t addAlarm(Callback callback);

    /// Calls the alarm's callback once at `due`, instead of when it was armed for before. Wakes the
    /// timer's thread only where `due` is the earliest of all.
    void arm(std::size_t alarm, core::Time due);

    /// Ends the thread; no callback runs after it returns.
    void stop();

private:
    struct Subscription
    {
        core::Duration period;
        core::Time due;
        Callback callback;
    };

    struct Alarm
    {
        std::optional<core::Time> due;
        Callback callback;
    };

    void run();
    std::optional<core::Time> earliest() const;
    void fire(core::Time until);
    core::Duration jittered(core::Duration period);

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Subscription> subscriptions;
    std::vector<Alarm> alarms;
    std::optional<core::Time> sleepsUntil; // Nothing while nothing is due at all.
    std::mt19937_64 random;
    bool stopping = false;
    std::thread thread;
};

} // namespace geraniumpulley::runtime
