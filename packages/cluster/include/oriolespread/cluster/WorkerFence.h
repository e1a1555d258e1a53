// Chooses the fencing tokens of an agent's calls to its worker, which does nothing for a call with
// a lower token than the highest one that it has seen:
//
//   token = epoch of the leader x 2^32 + stamp
//
// A later leader therefore supersedes an earlier one. Under one leader, a higher stamp supersedes
// the calls that were sent before it was raised: once the worker has answered a call with the
// present token, it carries out no earlier call that it has not answered. Not thread-safe.
#pragma once

#include "oriolespread/base/Ids.h"

#include <cstdint>

namespace oriolespread::cluster {

class WorkerFence
{
public:
  // Stamps begin at the Unix time in seconds, so that those of a process are above the stamps of
  // the process before it.
  explicit WorkerFence(std::int64_t aUnixMs);

  // Follows the leader of a higher epoch.
  void Follow(Epoch aEpoch, std::int64_t aUnixMs);
  // Supersedes all calls that were sent before.
  void Raise(std::int64_t aUnixMs);
  // Handles that the worker has refused the present token. An earlier process of the agent may have
  // used higher stamps, because the clock was set back since. Each refusal in a row doubles the
  // step.
  void RaiseAfterRefusal();
  // Handles that the worker has accepted the present token.
  void OnAccepted() { this->refusalStep = 1; }

  FencingToken Token() const;

private:
  Epoch epoch;
  std::uint64_t stamp = 0;
  std::uint64_t refusalStep = 1;
};

} // namespace oriolespread::cluster
