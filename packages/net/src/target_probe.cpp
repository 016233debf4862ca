#include <geraniumpulley/net/target_probe.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace geraniumpulley::net {
namespace {

struct PendingProbe
{
    core::TargetsProbed probed;
    std::function<void(core::TargetsProbed &&)> done;
    // Probes without an outcome. Those that find a full ring end on the thread of the caller.
    std::atomic<std::size_t> left = 0;
};

core::ProbeOutcome toProbeOutcome(ConnectOutcome outcome)
{
    switch (outcome) {
    case ConnectOutcome::Accepted:
        return core::ProbeOutcome::Accepted;
    case ConnectOutcome::Refused:
        return core::ProbeOutcome::Refused;
    case ConnectOutcome::TimedOut:
        break;
    }
    return core::ProbeOutcome::Silent;
}

} // namespace

void probeTargets(HttpClient &client, const core::ProbeTargets &probe, core::Duration timeout,
                  std::function<void(core::TargetsProbed &&)> done)
{
    const std::size_t count = probe.targets.size();
    const auto pending = std::make_shared<PendingProbe>();
    pending->probed.operation = probe.operation;
    pending->probed.outcomes.resize(count, core::ProbeOutcome::Silent);
    pending->done = std::move(done);
    pending->left = count;
    if (count == 0)
        return pending->done(std::move(pending->probed));
    for (std::size_t i = 0; i < count; ++i) {
        client.probe({probe.targets[i].address, timeout, [pending, i](ConnectOutcome outcome) {
                          pending->probed.outcomes[i] = toProbeOutcome(outcome);
                          if (--pending->left == 0)
                              pending->done(std::move(pending->probed));
                      }});
    }
}

} // namespace geraniumpulley::net
