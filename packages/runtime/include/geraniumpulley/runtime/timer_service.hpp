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

/// A thread that runs periodic callbacks and one-shot alarms.
///
/// Periods are jittered, so that nodes started at the same time do not all access the store at the
/// same time.
class TimerService
{
public:
    /// A callback, which typically pushes a tick to the subscriber's ring with `tryPush`. It must
    /// not block and must not call this service, because it runs with the service's mutex locked.
    using Callback = std::function<void()>;

    /// \param seed the seed of the random jitter.
    explicit TimerService(std::uint64_t seed);
    ~TimerService();

    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Runs `callback` once per `period`, jittered by up to a tenth of it, until `stop`.
    void subscribe(core::Duration period, Callback callback);

    /// Adds an alarm that is not armed yet. \return its index, to be passed to `arm`.
    std::size_t addAlarm(Callback callback);

    /// Arms an alarm to run its callback once at `dueAt`, which replaces the time that it was armed
    /// for before. Wakes the timer's thread only if `dueAt` is earlier than all other due times.
    void arm(std::size_t alarm, core::Time dueAt);

    /// Stops the thread; no callback runs after this function has returned.
    void stop();

private:
    struct Subscription
    {
        core::Duration period;
        core::Time dueAt;
        Callback callback;
    };

    struct Alarm
    {
        std::optional<core::Time> dueAt;
        Callback callback;
    };

    void run();
    std::optional<core::Time> earliestDueTime() const;
    void runDueCallbacks(core::Time currentTime);
    core::Duration withJitter(core::Duration period);

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Subscription> subscriptions;
    std::vector<Alarm> alarms;
    std::optional<core::Time> wakeUpAt; // No value if nothing is scheduled.
    std::mt19937_64 random;
    bool stopping = false;
    std::thread thread;
};

} // namespace geraniumpulley::runtime
