// Chooses the fencing tokens of an agent's calls to its worker, which does nothing for a call with
// a lower token than the highest one that it has seen.
//
// A token is a Unix time in fractions of a millisecond, and rises with each raise. A later process
// of the agent therefore supersedes an earlier one, whether or not it knows a leader, and within a
// process each raise supersedes the calls that were sent before: once the worker has answered a
// call with the present token, it carries out no earlier call that it has not answered. The token
// does not tell leaders apart: the agent itself turns away the orders of superseded ones. Not
// thread-safe.
#pragma once

#include "oriolespread/base/Ids.h"

#include <cstdint>

namespace oriolespread::cluster {

class WorkerFence
{
public:
  explicit WorkerFence(std::int64_t aUnixMs);

  // Supersedes all calls that were sent before.
  void Raise(std::int64_t aUnixMs);
  // Handles that the worker has refused the present token. An earlier process of the agent may have
  // used higher ones, because the clock was set back since. Each refusal in a row doubles the step.
  void RaiseAfterRefusal();
  // Handles that the worker has accepted the present token.
  void OnAccepted();

  FencingToken Token() const { return FencingToken{ this->token }; }

private:
  std::uint64_t token = 0;
  std::uint64_t refusalStep = 0;
};

} // namespace oriolespread::cluster
