// The simulated processes, and functions that execute their calls.
#pragma once

#include "oriolespread/tasks/RandomEvictionPlacer.h"
#include "oriolespread/tasks/ShardOwner.h"
#include "oriolespread/tasks/SimStore.h"
#include "oriolespread/tasks/SimWorker.h"
#include "oriolespread/tasks/TaskRunner.h"

#include <memory>

namespace oriolespread::sim {

using Owner = ShardOwner<RandomEvictionPlacer>;

struct WorldOptions
{
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::size_t agents = 4;
  Resources capacity{ 4000, 8192, 0 };
  Duration horizon = seconds(30);
  Duration checkpointPeriod = seconds(300);
  std::uint64_t recordsPerSnapshot = 60;
  bool drift = true;
  InjectedDefects defects;
};

// A process that can be killed and paused. Events that reach a paused process wait until it
// resumes.
struct Process
{
  bool alive = false;
  Duration pausedUntil{};
  std::uint64_t incarnation = 0;
  LocalClock clock;

  void Kill()
  {
    this->alive = false;
    ++this->incarnation;
  }
};

struct EntryProcess : Process
{
  std::unique_ptr<Counters> counters;
  std::unique_ptr<Owner> owner;
  // Whether this entry alone is cut off from the store.
  bool storeUnreachable = false;
  // Epoch of the ownership while the entry owns the shard, 0 otherwise.
  Epoch heldEpoch;
};

struct AgentProcess : Process
{
  std::unique_ptr<Counters> counters;
  std::unique_ptr<TaskRunner> runner;
  std::unique_ptr<SimWorker> worker;
};

struct Link
{
  bool up = false;
  bool cut = false;
  std::uint64_t connection = 0;
};

// Returns the result of a call that failed because the store was unreachable.
inline OwnerEvent MakeUnreachableResult(const OwnerEffect& aEffect)
{
  const absl::Status down = absl::UnavailableError("the store is unreachable");
  if (const auto* commit = std::get_if<CommitCall>(&aEffect)) {
    return CommitResult{ commit->call, { CommitStatus::Unavailable, {}, {} } };
  }
  if (const auto* fate = std::get_if<FateCall>(&aEffect)) {
    return FateResult{ fate->call, {} };
  }
  if (const auto* scan = std::get_if<ScanCall>(&aEffect)) {
    return ScanResult{ scan->call, down };
  }
  if (const auto* get = std::get_if<GetObjectCall>(&aEffect)) {
    return ObjectReadResult{ get->call, down };
  }
  const auto* put = std::get_if<PutObjectCall>(&aEffect);
  return ObjectWriteResult{ put != nullptr ? put->call : CallId{}, down };
}

// Executes a call of an agent on its worker and returns the result.
inline RunnerEvent ExecuteWorkerCall(SimWorker& aWorker, const WorkerCall& aCall, Instant aNow)
{
  const WorkerCallId id = aCall.call;
  if (const auto* start = std::get_if<WorkerStartCall>(&aCall.body)) {
    const bool late = start->leaseUntil <= aNow;
    return WorkerCallResult{ id,
                             late ? absl::AbortedError("late")
                                  : aWorker.Execute(*start, start->leaseUntil - aNow) };
  }
  if (const auto* resume = std::get_if<WorkerResumeCall>(&aCall.body)) {
    const bool late = resume->leaseUntil <= aNow;
    return WorkerCallResult{ id,
                             late ? absl::AbortedError("late")
                                  : aWorker.Execute(*resume, resume->leaseUntil - aNow) };
  }
  if (const auto* renew = std::get_if<WorkerRenewCall>(&aCall.body)) {
    for (const AttemptId& attempt : renew->attempts) {
      if (renew->leaseUntil > aNow) {
        aWorker.Renew(attempt, renew->leaseUntil - aNow);
      }
    }
    return WorkerCallResult{ id, absl::OkStatus() };
  }
  if (const auto* checkpoint = std::get_if<WorkerCheckpointCall>(&aCall.body)) {
    return WorkerCheckpointResult{ id, aWorker.Checkpoint(checkpoint->attempt) };
  }
  if (std::get_if<WorkerListCall>(&aCall.body) != nullptr) {
    return WorkerListResult{ id, aWorker.List() };
  }
  if (std::get_if<WorkerUsageCall>(&aCall.body) != nullptr) {
    return WorkerUsageResult{ id, std::vector<WorkerTaskUsage>{} };
  }
  if (const auto* pause = std::get_if<WorkerPauseCall>(&aCall.body)) {
    return WorkerCallResult{ id, aWorker.Execute(*pause) };
  }
  if (const auto* throttle = std::get_if<WorkerThrottleCall>(&aCall.body)) {
    return WorkerCallResult{ id, aWorker.Execute(*throttle) };
  }
  if (const auto* stop = std::get_if<WorkerStopCall>(&aCall.body)) {
    return WorkerCallResult{ id, aWorker.Execute(*stop) };
  }
  return WorkerCallResult{ id, aWorker.Execute(std::get<WorkerForgetCall>(aCall.body)) };
}

inline OwnerOptions MakeOwnerOptions(const WorldOptions& aWorld,
                                     std::size_t aEntry,
                                     std::uint64_t aIncarnation)
{
  OwnerOptions owner;
  owner.entry = EntryId{ absl::StrCat("entry", aEntry) };
  owner.incarnation = Incarnation{ aIncarnation };
  owner.horizon = aWorld.horizon;
  owner.checkpointPeriod = aWorld.checkpointPeriod;
  owner.recordsPerSnapshot = aWorld.recordsPerSnapshot;
  owner.driftMargin = aWorld.defects.driftMargin;
  return owner;
}

inline RunnerOptions MakeRunnerOptions(const WorldOptions& aWorld,
                                       std::size_t aAgent,
                                       std::uint64_t aIncarnation)
{
  RunnerOptions runner;
  runner.agent = AgentId{ absl::StrCat("agent", aAgent) };
  runner.worker = WorkerId{ absl::StrCat("worker", aAgent) };
  runner.incarnation = Incarnation{ aIncarnation };
  runner.capacity = aWorld.capacity;
  runner.maxWorkerCallTime = milliseconds(30);
  runner.driftMargin = aWorld.defects.driftMargin;
  return runner;
}

inline Announce MakeAnnounce(const WorldOptions& aWorld,
                             std::size_t aAgent,
                             std::uint64_t aIncarnation)
{
  const RunnerOptions runner = MakeRunnerOptions(aWorld, aAgent, aIncarnation);
  Announce announce;
  announce.agent = runner.agent;
  announce.worker = runner.worker;
  announce.incarnation = runner.incarnation;
  announce.capacity = runner.capacity;
  return announce;
}

} // namespace oriolespread::sim
