// Learns how long the tasks of a queue take, compared with the durations that callers declare.
//
// Answers loads whose declared durations say little: a job whose declared duration is too long
// looks late, and one whose declared duration is too short looks as if it could wait. The expected
// duration is a regression of the measured durations on the declared ones, both in logarithms, so
// that a queue whose declared durations are right keeps them and one whose declarations are
// arbitrary gets its mean.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oriolespread::jobs {

class DurationModel
{
public:
  // Takes the measured duration of a task that ran alone from its begin to its successful end.
  // Durations below one millisecond are not taken.
  void Observe(const std::string& aQueue, std::int64_t aDeclaredMs, std::int64_t aMeasuredMs);

  // Returns the expected duration of a task, between half and twice the declared one. Returns the
  // declared one while few tasks of the queue were measured.
  std::int64_t ExpectMs(const std::string& aQueue, std::int64_t aDeclaredMs) const;

private:
  // Moving averages over the last measurements of a queue, in logarithms of milliseconds.
  struct Fit
  {
    double count = 0;
    double meanDeclared = 0;
    double meanMeasured = 0;
    double varianceDeclared = 0;
    double covariance = 0;
  };

  std::map<std::string, Fit> fits;
};

} // namespace oriolespread::jobs
