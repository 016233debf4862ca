#include <geraniumpulley/runtime/timer_service.hpp>

#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/duty.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::runtime {

TimerService::TimerService(std::uint64_t seed) : random(seed), thread([this] { this->run(); }) { }

TimerService::~TimerService()
{
    this->stop();
}

void TimerService::subscribe(core::Duration period, Callback callback)
{
    const std::lock_guard lock(this->mutex);
    this->subscriptions.push_back({period, now() + this->withJitter(period), std::move(callback)});
    this->changed.notify_one();
}

void TimerService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_one();
    if (this->thread.joinable())
        this->thread.join();
}

std::size_t TimerService::addAlarm(Callback callback)
{
    const std::lock_guard lock(this->mutex);
    this->alarms.push_back({std::nullopt, std::move(callback)});
    return this->alarms.size() - 1;
}

void TimerService::arm(std::size_t alarm, core::Time dueAt)
{
    const std::lock_guard lock(this->mutex);
    this->alarms.at(alarm).dueAt = dueAt;
    if (!this->wakeUpAt || dueAt < *this->wakeUpAt)
        this->changed.notify_one();
}

void TimerService::run()
{
    setThreadName("timer");
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->wakeUpAt = this->earliestDueTime();
        if (!this->wakeUpAt)
            this->changed.wait(lock);
        else if (now() < *this->wakeUpAt)
            this->changed.wait_until(lock, *this->wakeUpAt);
        else
            this->runDueCallbacks(now());
    }
}

std::optional<core::Time> TimerService::earliestDueTime() const
{
    std::optional<core::Time> earliestDueAt;
    for (const Subscription &subscription : this->subscriptions)
        earliestDueAt = std::min(earliestDueAt.value_or(subscription.dueAt), subscription.dueAt);
    for (const Alarm &alarm : this->alarms) {
        if (alarm.dueAt)
            earliestDueAt = std::min(earliestDueAt.value_or(*alarm.dueAt), *alarm.dueAt);
    }
    return earliestDueAt;
}

void TimerService::runDueCallbacks(core::Time currentTime)
{
    for (Subscription &subscription : this->subscriptions) {
        if (subscription.dueAt > currentTime)
            continue;
        subscription.dueAt = currentTime + this->withJitter(subscription.period);
        subscription.callback();
    }
    for (Alarm &alarm : this->alarms) {
        if (!alarm.dueAt || *alarm.dueAt > currentTime)
            continue;
        alarm.dueAt.reset();
        alarm.callback();
    }
}

core::Duration TimerService::withJitter(core::Duration period)
{
    const std::int64_t maxOffset = period.count() / 10;
    std::uniform_int_distribution<std::int64_t> offset(-maxOffset, maxOffset);
    return period + core::Duration(offset(this->random));
}

} // namespace geraniumpulley::runtime
