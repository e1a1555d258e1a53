// Messages between the agent of a worker and the entry that leads the cluster: what runs on the
// worker, and what shall be started, stopped and acknowledged there.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolespread {

// One try to run a task; numbers of one task rise from 1. `task` is ID.OCCURRENCE.STEP.INDEX.
struct RunRef
{
  std::string task;
  std::uint64_t run = 0;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// The worker that an agent serves. `born` is the start of its process in Unix milliseconds, which
// tells lives of one id apart.
struct WorkerState
{
  std::string id;
  std::int64_t born = 0;
  std::string service;
  std::string dataCentre;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // Time until a draining worker ends, in milliseconds; 0 when it is not known.
  std::int64_t remainingMs = 0;

  friend bool operator==(const WorkerState&, const WorkerState&) = default;
};

struct RunningRun
{
  RunRef ref;
  std::string checkpoint;
  int percent = 0;
  // Tail latency in milliseconds for a run that serves, milli-cores in use for any other.
  std::int64_t figure = 0;
};

// How a run ended. All but Done and Failed were caused from outside the run.
enum class RunEnd
{
  Done,
  Failed,
  Stopped,
  Lapsed,
  Broken,
  Alone,
};

struct EndedRun
{
  // Number of this end in the worker's life, for the acknowledgement.
  std::uint64_t number = 0;
  RunRef ref;
  RunEnd how = RunEnd::Stopped;
  std::string checkpoint;
};

// A run that the worker certainly did not and will not start.
struct RejectedRun
{
  RunRef ref;
  std::string reason;
};

// Agent to the leading entry. Answered with a LeaseExtension of the same sequence.
struct WorkerReport
{
  Epoch epoch;
  std::uint64_t sequence = 0;
  // The last WorkerOrders of this link that the agent has acted on.
  std::uint64_t lastOrders = 0;
  WorkerState worker;
  // Whether `running` and `starting` hold everything on the worker.
  bool full = false;
  // The worker does not answer and every lease on it has certainly lapsed, or its process is gone.
  bool allLost = false;
  std::vector<RunningRun> running;
  std::vector<RunRef> starting;
  // Runs that an earlier process of the agent started, so that it does not know what they execute.
  // The leader repeats their starts.
  std::vector<RunRef> undescribed;
  // Ends that are not acknowledged yet.
  std::vector<EndedRun> ended;
  std::vector<RejectedRun> rejected;
};

// Leading entry to agent: the worker's lease may be extended from the time at which the report of
// this sequence was sent.
struct LeaseExtension
{
  Epoch epoch;
  std::uint64_t sequence = 0;
  // The headroom, target / tail latency, that one run of an image at full pace takes from what
  // serves beside it, as the leader has learned.
  std::map<std::string, double> disturbance;
};

// Entry to agent, on link-up and when it changes: this entry leads with this epoch; 0 if it does
// not lead. An agent follows the highest epoch that it has seen.
struct LeaderClaim
{
  Epoch epoch;
};

struct StartRun
{
  RunRef ref;
  std::string payload;
  std::string checkpoint;
  // What the run executes; runs of one image behave alike.
  std::string image;
  // Above 0 for a run that serves users: the tail latency that it has to keep, in milliseconds.
  std::int64_t latencyTargetMs = 0;
  // The run uses what others on the worker leave, and may be paced down for them.
  bool fillsUnused = false;
};

// Leading entry to agent. `born` names the life of the worker that the orders are meant for.
struct WorkerOrders
{
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::int64_t born = 0;
  std::vector<StartRun> starts;
  std::vector<RunRef> stops;
  std::vector<std::uint64_t> acknowledgedEnds;
};

NLOHMANN_JSON_SERIALIZE_ENUM(RunEnd,
                             { { RunEnd::Stopped, "stopped" },
                               { RunEnd::Done, "done" },
                               { RunEnd::Failed, "failed" },
                               { RunEnd::Lapsed, "lapsed" },
                               { RunEnd::Broken, "broken" },
                               { RunEnd::Alone, "alone" } })
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunRef, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerState,
                                   id,
                                   born,
                                   service,
                                   dataCentre,
                                   rack,
                                   labels,
                                   capacity,
                                   draining,
                                   remainingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunningRun, ref, checkpoint, percent, figure)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndedRun, number, ref, how, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RejectedRun, ref, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerReport,
                                   epoch,
                                   sequence,
                                   lastOrders,
                                   worker,
                                   full,
                                   allLost,
                                   running,
                                   starting,
                                   undescribed,
                                   ended,
                                   rejected)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseExtension, epoch, sequence, disturbance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaderClaim, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartRun,
                                   ref,
                                   payload,
                                   checkpoint,
                                   image,
                                   latencyTargetMs,
                                   fillsUnused)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerOrders,
                                   epoch,
                                   sequence,
                                   born,
                                   starts,
                                   stops,
                                   acknowledgedEnds)

} // namespace oriolespread
