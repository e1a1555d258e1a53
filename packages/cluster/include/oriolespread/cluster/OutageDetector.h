// Decides whether a service that leaves calls unanswered is taken to be unavailable. A write that
// gets no answer may still be applied, so its caller cannot be told that it was refused; while the
// service is unavailable, it is better to read first and to refuse what could not be written.
// Answers outages of seconds. Single lost answers do not count as one. Not thread-safe.
#pragma once

#include "oriolespread/base/Time.h"

namespace oriolespread::cluster {

class OutageDetector
{
public:
  void OnAnswer(Instant aNow)
  {
    this->answeredAt = aNow;
    this->unanswered = 0;
  }
  void OnNoAnswer() { ++this->unanswered; }

  // Returns whether several calls in a row had no answer, and none came for some time.
  bool IsUnavailable(Instant aNow) const
  {
    return this->unanswered >= kMinUnanswered && aNow - this->answeredAt >= kMinSilence;
  }

private:
  static constexpr int kMinUnanswered = 2;
  // Somewhat longer than the timeout of a call.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(1000);

  Instant answeredAt{};
  int unanswered = 0;
};

} // namespace oriolespread::cluster
