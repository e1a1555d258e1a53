// A circuit breaker for requests to the table service.
#pragma once

#include "oriolespread/base/Time.h"

#include <chrono>
#include <cstdint>

namespace oriolespread::internal {

// Opens after kFailureThreshold consecutive failures. While it is open, one request per
// kProbeInterval is allowed as a probe, and any response of the service closes it. Without the
// breaker, every keyed request during an outage would leave a write of unknown outcome, which has
// to be queried until the outage ends. Not thread-safe.
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
