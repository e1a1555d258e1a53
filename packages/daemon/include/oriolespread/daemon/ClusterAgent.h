// An agent process on the users' platform: receives the heartbeats of the worker on its machine,
// follows the leading entry, and carries out the leader's orders on the worker.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/platformwire/DaemonSettings.h"

namespace oriolespread::daemon {

// Serves on the calling thread until a stop signal. Returns an error if the agent cannot start.
absl::Status RunClusterAgent(platformwire::DaemonSettings aSettings);

} // namespace oriolespread::daemon
