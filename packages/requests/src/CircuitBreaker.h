// Tells whether the table service is worth asking.
#pragma once

#include "oriolespread/base/Time.h"

#include <chrono>
#include <cstdint>

namespace oriolespread::internal {

// The service counts as down after kFailures failures in a row. Then one request in each
// kProbeInterval is let through; any answer of the service ends it. Without this each keyed request
// of an outage leaves a write whose fate has to be read until the outage ends. Not thread-safe.
class CircuitBreaker
{
public:
  static constexpr std::uint32_t kFailureThreshold = 3;
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);

  void RecordSuccess() { this->consecutiveFailures = 0; }
  void RecordFailure()
  {
    if (this->consecutiveFailures < kFailureThreshold) {
      ++this->consecutiveFailures;
    }
  }

  bool IsOpen() const { return this->consecutiveFailures >= kFailureThreshold; }

  // Returns whether a new request may be sent now.
  bool TryAcquire(Instant aNow)
  {
    if (!this->IsOpen()) {
      return true;
    }
    if (aNow < this->nextProbe) {
      return false;
    }
    this->nextProbe = aNow + kProbeInterval;
    return true;
  }

private:
  std::uint32_t consecutiveFailures = 0;
  Instant nextProbe = Instant::min();
};

} // namespace oriolespread::internal
