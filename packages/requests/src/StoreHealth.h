// Tells whether the table service is worth asking.
#pragma once

#include "oriolespread/base/Time.h"

#include <chrono>
#include <cstdint>

namespace oriolespread::internal {

// The service counts as down after kFailures failures in a row. Then one request in each
// kProbeInterval is let through; any answer of the service ends it. Without this each keyed request
// of an outage leaves a write whose fate has to be read until the outage ends. Not thread-safe.
class StoreHealth
{
public:
  static constexpr std::uint32_t kFailures = 3;
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);

  void RecordAnswer() { this->failures = 0; }
  void RecordFailure()
  {
    if (this->failures < kFailures) {
      ++this->failures;
    }
  }

  bool IsDown() const { return this->failures >= kFailures; }

  // Returns whether a new request may be sent now.
  bool TryUse(Instant aNow)
  {
    if (!this->IsDown()) {
      return true;
    }
    if (aNow < this->nextProbe) {
      return false;
    }
    this->nextProbe = aNow + kProbeInterval;
    return true;
  }

private:
  std::uint32_t failures = 0;
  Instant nextProbe = Instant::min();
};

} // namespace oriolespread::internal
