// An entry process on the users' platform: accepts jobs from callers, and leads the cluster while
// it is elected.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/platformwire/DaemonSettings.h"

namespace oriolespread::daemon {

// Serves on the calling thread until a stop signal has arrived and the entry has drained. Returns
// an error if the entry cannot start.
absl::Status RunClusterEntry(platformwire::DaemonSettings aSettings);

} // namespace oriolespread::daemon
