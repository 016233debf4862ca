#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/entry/settings.hpp>

#include <cstdint>

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

} // namespace geraniumpulley::entry
