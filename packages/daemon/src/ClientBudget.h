// The memory and connections that a process of the cluster spends on HTTP clients, from the limits
// of its settings file.
#pragma once

#include "oriolespread/http/MemoryBudget.h"
#include "oriolespread/platformwire/DaemonSettings.h"

#include <memory>

namespace oriolespread::daemon {

// Returns a budget that logs refusals, at most one line a second.
std::shared_ptr<MemoryBudget> CreateClientBudget(const platformwire::DaemonSettings& aSettings);

} // namespace oriolespread::daemon
