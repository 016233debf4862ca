#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Calls of the rollout duty to the platform; each result comes back as one event of the duty.
void listSteps(Parts &parts, core::ListSteps &&order);
void loadStep(Parts &parts, core::LoadStep &&order);
void appendRecord(Parts &parts, core::AppendRecord &&append);
void readRecord(Parts &parts, core::ReadRecord &&order);

} // namespace geraniumpulley::node
