#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Calls of the rollout duty to the platform. Each result is delivered to the duty as one event.
void listSteps(Parts &parts, core::ListSteps &&list);
void loadStep(Parts &parts, core::LoadStep &&load);
void appendRecord(Parts &parts, core::AppendRecord &&append);
void readRecord(Parts &parts, core::ReadRecord &&read);

} // namespace geraniumpulley::node
