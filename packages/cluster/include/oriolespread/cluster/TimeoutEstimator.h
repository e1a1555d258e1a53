// Estimates how long to wait for an answer from how long earlier answers took, as the
// retransmission timer of TCP (RFC 6298) does.
//
// For a store that loses some of its answers: the leader stores one transaction at a time, so a
// lost answer delays all decisions by the whole wait. A wait that is too short would repeat calls
// to a store that is only slow, so it is doubled with each call that was given up until an answer
// arrives.
#pragma once

#include "oriolespread/base/Time.h"

namespace oriolespread::cluster {

// The range of the timeouts.
struct TimeoutLimits
{
  // All decisions wait for this long when an answer is lost. A late turn of the event loop is
  // mostly shorter, and a call that is repeated too early is still answered.
  Duration min = std::chrono::milliseconds(150);
  Duration max = std::chrono::milliseconds(900);
};

class TimeoutEstimator
{
public:
  explicit TimeoutEstimator(TimeoutLimits aLimits);

  // Returns how long to wait for the next answer. The maximum until the first answer.
  Duration Timeout() const;

  // Reports an answer that arrived after `aLatency`, or that none arrived in time.
  void OnAnswer(Duration aLatency);
  void OnTimeout();

private:
  TimeoutLimits limits;
  bool hasSample = false;
  Duration smoothedLatency{};
  Duration latencyVariation{};
  // Factor on the timeout; doubled by each timeout.
  int backoff = 1;
};

} // namespace oriolespread::cluster
