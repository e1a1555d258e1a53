// The agent beside a worker on the users' platform: takes its heartbeats, follows the leading
// entry, and drives the worker by the leader's orders.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/platformwire/DaemonSettings.h"

namespace oriolespread::daemon {

// Serves on the calling thread until a stop signal. Returns an error when it cannot start.
absl::Status RunClusterAgent(platformwire::DaemonSettings aSettings);

} // namespace oriolespread::daemon
