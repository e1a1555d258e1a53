// How urgent the requests of a service are.
#pragma once

namespace oriolespread {

// People wait for latency-critical answers; batch requests may wait behind them.
enum class RequestClass
{
  LatencyCritical,
  Batch,
};

} // namespace oriolespread
