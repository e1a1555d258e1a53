// An entry on the users' platform: takes jobs from callers, and leads the cluster when it is its
// turn.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/platformwire/DaemonSettings.h"

namespace oriolespread::daemon {

// Serves on the calling thread until a stop signal and the drain that follows it. Returns an error
// when it cannot start.
absl::Status RunClusterEntry(platformwire::DaemonSettings aSettings);

} // namespace oriolespread::daemon
