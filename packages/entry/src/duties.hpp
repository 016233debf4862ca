#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/entry/settings.hpp>

#include <geraniumpulley/runtime/clock.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

/// The decision threads of a process; each turns a core's actions into calls of the parts.
namespace geraniumpulley::entry {

void startFleet(Parts &parts, const core::Node &self, const Settings &settings);
void startCalls(Parts &parts, std::uint64_t seed);
void startBatches(Parts &parts, const core::Node &self);

/// Arms a duty's next tick where its time has changed. Used on the duty's thread.
class Wakeup
{
public:
    Wakeup(runtime::TimerService &timer, runtime::TimerService::Callback callback)
        : timer(timer), alarm(timer.addAlarm(std::move(callback)))
    {
    }

    void armFor(std::optional<core::Time> due)
    {
        if (!due || this->armed == due)
            return;
        this->armed = due;
        this->timer.arm(this->alarm, *due);
    }

    /// Notes that the tick has come.
    void noteTick() { this->armed.reset(); }

private:
    runtime::TimerService &timer;
    std::size_t alarm;
    std::optional<core::Time> armed;
};

inline net::CancelKey cancelKeyOf(core::OperationId operation)
{
    return static_cast<net::CancelKey>(core::number(operation));
}

/// Decides on one event and performs what follows.
template<typename Duty, typename Event>
void decide(Duty &duty, const Event &event)
{
    for (auto &action : core::step(duty.state, event, runtime::now()))
        std::visit([&duty](auto &content) { duty.perform(std::move(content)); }, action);
}

/// Decides on one event of a duty that ticks, and arms its next tick.
template<typename Tick, typename Duty, typename Event>
void decideAndArm(Duty &duty, const Event &event)
{
    if (std::holds_alternative<Tick>(event))
        duty.wakeup.noteTick();
    decide(duty, event);
    duty.wakeup.armFor(duty.due());
}

} // namespace geraniumpulley::entry
