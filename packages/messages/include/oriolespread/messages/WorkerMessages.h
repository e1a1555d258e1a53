// Messages between the agent of a worker and the leading entry: reports of what runs on the worker,
// and orders to start runs, stop them and acknowledge their ends.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolespread {

// One attempt to run a task. The attempts of a task are numbered from 1. `task` is the task's name,
// ID.OCCURRENCE.STEP.INDEX.
struct RunRef
{
  std::string task;
  std::uint64_t run = 0;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

// The worker that an agent serves. `born` is when its process started, in Unix milliseconds, and
// distinguishes restarts under the same id.
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
  // Time until a draining worker shuts down, in milliseconds; 0 if unknown.
  std::int64_t remainingMs = 0;

  friend bool operator==(const WorkerState&, const WorkerState&) = default;
};

struct RunningRun
{
  RunRef ref;
  std::string checkpoint;
  int percent = 0;
  // Tail latency in milliseconds for a serving run, milli-cores in use for any other run.
  std::int64_t figure = 0;
};

// How a run ended. Only Done and Failed are caused by the run itself.
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
  // The ends on one worker process are numbered; the acknowledgement names this number.
  std::uint64_t number = 0;
  RunRef ref;
  RunEnd how = RunEnd::Stopped;
  std::string checkpoint;
};

// The reason of rejections because the worker's data centre is evacuated.
inline constexpr const char* kEvacuatedReason = "evacuated";

// A run that the worker has not started and will not start.
struct RejectedRun
{
  RunRef ref;
  std::string reason;
};

// A start of a run that the worker has not answered. If the worker restarts under its id, it may
// carry the start out although the run has ended or was stopped.
struct OpenStart
{
  RunRef ref;
  // For how long after the report was sent, in milliseconds on the agent's clock.
  std::int64_t remainingMs = 0;
};

// Agent to the leading entry. Answered with a LeaseExtension of the same sequence.
struct WorkerReport
{
  Epoch epoch;
  std::uint64_t sequence = 0;
  // The sequence number of the last WorkerOrders on this link that the agent has carried out.
  std::uint64_t lastOrders = 0;
  WorkerState worker;
  // Whether `running` and `starting` list every run on the worker.
  bool full = false;
  // No run is left: the worker does not respond and all its leases have expired, or its process has
  // ended. The worker has no id if the agent has been restarted and the worker has sent it no
  // heartbeat.
  bool allLost = false;
  std::vector<RunningRun> running;
  std::vector<RunRef> starting;
  // Runs that an earlier process of the agent started, so that it does not know what they execute.
  // The leader repeats their starts.
  std::vector<RunRef> undescribed;
  // Ends that the leader has not acknowledged.
  std::vector<EndedRun> ended;
  std::vector<RejectedRun> rejected;
  // How long after the report was sent the leases of the worker may last if the agent extends them
  // no further, in milliseconds on the agent's clock. A worker that has restarted under its id may
  // hold a longer lease than any that it was granted. 0 if unknown, as in reports of
  // earlier versions.
  std::int64_t leasesEndInMs = 0;
  // All starts that the worker may still carry out and that remained without an answer, whether or
  // not the report lists their runs. Reports of earlier versions have none.
  std::vector<OpenStart> openStarts;
};

// Leading entry to agent: the worker's lease may be extended from the time at which the report of
// this sequence was sent.
struct LeaseExtension
{
  Epoch epoch;
  std::uint64_t sequence = 0;
  // By image, the estimated headroom (latency target / tail latency) that one best-effort run at
  // full pace costs the serving runs on the worker.
  std::map<std::string, double> disturbance;
  // The data centre of the worker is evacuated, so the agent starts nothing. Leaders of earlier
  // versions do not send it.
  bool evacuated = false;
};

// Entry to agent, when the link comes up and on changes: the epoch with which this entry leads, or
// 0 if it does not lead. An agent follows the highest epoch that it has seen.
struct LeaderClaim
{
  Epoch epoch;
  // The entry has renewed its leadership in the store since the link came up, so that no other one
  // had superseded it by then. Entries of earlier versions do not tell.
  bool renewed = true;
  // Repeats a claim of this link only to tell that the leadership is renewed now.
  bool repeated = false;
};

struct StartRun
{
  RunRef ref;
  std::string payload;
  std::string checkpoint;
  // What the run executes. Runs of the same image behave alike.
  std::string image;
  // The tail latency target of a serving run, in milliseconds; 0 for other runs.
  std::int64_t latencyTargetMs = 0;
  // The run is best-effort: it uses capacity that others leave, and may be throttled for them.
  bool fillsUnused = false;
  // An earlier order to start this run may have reached the worker, which may still carry it out.
  bool repeated = false;
};

// Leading entry to agent. Starts and acknowledgements hold only for the worker process that started
// at `born`; stops hold for later ones too.
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
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OpenStart, ref, remainingMs)
// `leasesEndInMs` and `openStarts` may be absent; the other fields must be present.
void to_json(nlohmann::json& aJson, const WorkerReport& aReport);
void from_json(const nlohmann::json& aJson, WorkerReport& aReport);
// `evacuated` may be absent, which means false; the other fields must be present.
void to_json(nlohmann::json& aJson, const LeaseExtension& aExtension);
void from_json(const nlohmann::json& aJson, LeaseExtension& aExtension);
// `renewed` may be absent, which means true, and `repeated`, which means false.
void to_json(nlohmann::json& aJson, const LeaderClaim& aClaim);
void from_json(const nlohmann::json& aJson, LeaderClaim& aClaim);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartRun,
                                   ref,
                                   payload,
                                   checkpoint,
                                   image,
                                   latencyTargetMs,
                                   fillsUnused,
                                   repeated)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerOrders,
                                   epoch,
                                   sequence,
                                   born,
                                   starts,
                                   stops,
                                   acknowledgedEnds)

} // namespace oriolespread
