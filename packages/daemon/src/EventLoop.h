// Runs the event loop of a process.
#pragma once

#include "oriolespread/base/Counters.h"

#include <asio/io_context.hpp>

namespace oriolespread::daemon {

// Runs `aContext` until it is stopped or has no work left. An exception thrown by a handler is
// counted and logged; the process and the other handlers continue.
void RunEventLoop(asio::io_context& aContext, Counters& aCounters);

} // namespace oriolespread::daemon
