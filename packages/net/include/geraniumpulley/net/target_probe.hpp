#pragma once

#include <geraniumpulley/core/calls/target_probe.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_client.hpp>

#include <functional>

namespace geraniumpulley::net {

/// Probes targets at the same time.
/// \param timeout the time limit of each probe.
/// \param done called once, with the outcomes of all probes, on the thread of the last one.
void probeTargets(HttpClient &client, const core::ProbeTargets &probe, core::Duration timeout,
                  std::function<void(core::TargetsProbed &&)> done);

} // namespace geraniumpulley::net
