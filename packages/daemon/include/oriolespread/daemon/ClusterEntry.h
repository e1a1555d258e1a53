// Runs an entry process, which accepts jobs from callers and schedules them for the whole cluster
// while it is the elected leader.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/platformwire/DaemonSettings.h"

namespace oriolespread::daemon {

// Serves on the calling thread until a stop signal has arrived and the entry has drained. Returns
// an error if the entry cannot start.
absl::Status RunClusterEntry(platformwire::DaemonSettings aSettings);

} // namespace oriolespread::daemon
