// The starts that an agent has sent to its worker and that the worker may still carry out, because
// it has not answered them.
//
// A worker may delay a call that it does not answer. A worker that restarts under its id carries
// out such a start although the run has ended or was stopped, as it has forgotten both. Not
// thread-safe.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/WorkerMessages.h"

#include <map>
#include <vector>

namespace oriolespread::cluster {

class OpenStarts
{
public:
  struct Entry
  {
    RunRef ref;
    // After this time the worker carries out no start of the run any more.
    Instant until{};
    // No call has remained without an answer so far. The usual start is answered soon.
    bool isAnswerAwaited = false;
  };

  // `aAnswerTimeout` is how long a call waits for its answer, and `aMaxDelay` the longest time for
  // which a worker delays a call that it does not answer.
  OpenStarts(Duration aAnswerTimeout, Duration aMaxDelay);

  // Handles that a start of the run is sent. One of the next two functions must follow.
  void OnSent(const RunRef& aRef);
  void OnAnswered(const RunRef& aRef);
  void OnUnanswered(const RunRef& aRef, Instant aNow);
  // Counts a start that may have been sent by an earlier process of the agent or on an earlier
  // link.
  void Assume(const RunRef& aRef, Instant aNow);
  // Handles that a worker with another id has taken the place of the one that was called. It
  // refuses the calls that were meant for that one.
  void Clear() { this->calls.clear(); }

  // Returns the runs of which a start is open at `aNow`, in the order of their references.
  std::vector<Entry> List(Instant aNow);

private:
  struct Calls
  {
    int awaited = 0;
    // When the last answer was due that did not arrive; zero if none is missing.
    Instant lastUnanswered{};
  };

  Duration answerTimeout;
  Duration maxDelay;
  std::map<RunRef, Calls> calls;
};

} // namespace oriolespread::cluster
