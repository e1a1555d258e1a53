// Runs the one event loop of a process.
#pragma once

#include "oriolespread/base/Counters.h"

#include <asio/io_context.hpp>

namespace oriolespread::daemon {

// Returns when the context is stopped or has nothing left to do. An exception that leaves a handler
// ends what that handler did, and neither the process nor other handlers: it is counted and logged.
void RunEventLoop(asio::io_context& aContext, Counters& aCounters);

} // namespace oriolespread::daemon
