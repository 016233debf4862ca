#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/leadership.hpp>
#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/entry/settings.hpp>
#include <geraniumpulley/platform/target_messages.hpp>

#include <geraniumpulley/runtime/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

/// The decision threads of a process. Each passes its events to the core and executes the resulting
/// actions through `Parts`.
namespace geraniumpulley::entry {

void startFleetDuty(Parts &parts, const core::Node &self, const Settings &settings);
void startCallDuty(Parts &parts, std::uint64_t seed);
void startBatchDuty(Parts &parts, const core::Node &self);
void startLeaderDuty(Parts &parts, const core::Node &self, const Settings &settings);

/// Sends the demand of this node's batches to the leader.
void sendDemand(Parts &parts, const core::DemandReport &report);
/// Passes the demand that another node reports to the leader duty.
/// \return false if the duty does not run or its ring is full.
bool receiveDemand(Parts &parts, const net::PeerMessage &message);

/// The tick timer of a duty, which is rearmed only when the due time changes. Used on the duty's
/// thread.
class TickTimer
{
public:
    TickTimer(runtime::TimerService &timer, runtime::TimerService::Callback callback)
        : timer(timer), alarm(timer.addAlarm(std::move(callback)))
    {
    }

    /// Arms the timer, unless it is armed for that time already.
    void armFor(std::optional<core::Time> due)
    {
        if (!due || this->armedFor == due)
            return;
        this->armedFor = due;
        this->timer.arm(this->alarm, *due);
    }

    /// Records that the tick was delivered, so that the timer can be armed again.
    void noteTick() { this->armedFor.reset(); }

private:
    runtime::TimerService &timer;
    std::size_t alarm;
    std::optional<core::Time> armedFor;
};

/// Detects suspensions of the machine, during which the monotonic clock stands still. Used on one
/// thread.
class SuspensionDetector
{
public:
    /// \return the length of a suspension since the last call, if there was one.
    std::optional<core::Duration> poll()
    {
        const core::Duration total = runtime::suspendedTime();
        const core::Duration jump = total - std::exchange(this->totalSuspended, total);
        return jump > threshold ? std::optional(jump) : std::nullopt;
    }

private:
    // Shorter jumps of the boot clock against the monotonic clock are jitter.
    static constexpr core::Duration threshold = std::chrono::milliseconds(200);
    core::Duration totalSuspended = runtime::suspendedTime();
};

/// Ensures that a request of the leader leaves only while its right to act lasts, however long it
/// waits for the client's thread or for its connection.
inline void limitToProof(net::HttpRequest &request, const core::LeadershipProof &proof)
{
    request.deadline = std::min(request.deadline, proof.validUntil);
    request.mayWrite = [detector = SuspensionDetector()]() mutable { return !detector.poll(); };
}

inline net::CancelKey cancelKeyOf(core::OperationId operation)
{
    return static_cast<net::CancelKey>(core::number(operation));
}

/// Logs that a target has stated a rate limit, or states none any more.
inline void logRateLimit(Parts &parts, const core::RateLimitChanged &change)
{
    if (change.limit)
        parts.logger.write("rate_limit_stated", runtime::field("target", change.target.value),
                           runtime::field("per_second", change.limit->perSecond));
    else
        parts.logger.write("rate_limit_ended", runtime::field("target", change.target.value));
}

/// Tells the fleet duty that a target shuts down, if its answer says so.
inline void noteLeaving(Parts &parts, const core::TargetId &target, std::uint32_t status,
                        const std::vector<core::HttpHeader> &headers)
{
    // Another target than the expected one answers that the request is misdirected.
    if (status == core::status::misdirected || !platform::statesLeaving(headers))
        return;
    parts.logger.write("target_leaving", runtime::field("target", target.value));
    parts.fleet.deliver(core::TargetLeavingStated{target});
}

/// Cancels a request whose stream holds an event beyond the limit, so that it ends as broken.
inline void cancelOverlong(Parts &parts, net::HttpClient &client, core::OperationId operation)
{
    parts.metrics.count("overlong_events");
    if (!client.cancel(cancelKeyOf(operation)))
        parts.metrics.count("cancels_dropped");
}

/// Passes one event to the core and executes the resulting actions.
template<typename Duty, typename Event>
void decide(Duty &duty, const Event &event)
{
    for (auto &action : core::step(duty.state, event, runtime::now()))
        std::visit([&duty](auto &content) { duty.perform(std::move(content)); }, action);
}

/// Handles one event of a duty with a tick timer, and arms its next tick.
template<typename Tick, typename Duty, typename Event>
void decideAndArm(Duty &duty, const Event &event)
{
    if (std::holds_alternative<Tick>(event))
        duty.wakeup.noteTick();
    decide(duty, event);
    duty.wakeup.armFor(duty.due());
}

} // namespace geraniumpulley::entry
