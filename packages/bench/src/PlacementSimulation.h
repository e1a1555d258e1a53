// A cell of workers in virtual time for measurements of placers: runs a given sequence of tasks
// through a placer and counts what becomes of them.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/placement/PlacementTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolespread::bench {

// Hides which placer runs; satisfies the same contract as PlacerPort.
class AnyPlacer
{
public:
  virtual ~AnyPlacer() = default;
  virtual void SetWorker(const WorkerSpec& aSpec) = 0;
  virtual void Submit(Instant aNow, const PlacementRequest& aRequest) = 0;
  virtual void Release(const TaskId& aTask) = 0;
  virtual void RecordCheckpoint(Instant aNow, const TaskId& aTask) = 0;
  virtual void RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker) = 0;
  virtual void RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed) = 0;
  virtual void RecordLatency(Instant aNow, const ServiceLatencyReport& aReport) = 0;
  virtual std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit) = 0;
};

template<typename P>
class WrappedPlacer : public AnyPlacer
{
public:
  template<typename... Args>
  explicit WrappedPlacer(Args&&... aArgs)
    : placer(std::forward<Args>(aArgs)...)
  {
  }
  void SetWorker(const WorkerSpec& aSpec) override { this->placer.SetWorker(aSpec); }
  void Submit(Instant aNow, const PlacementRequest& aRequest) override
  {
    this->placer.Submit(aNow, aRequest);
  }
  void Release(const TaskId& aTask) override { this->placer.Release(aTask); }
  void RecordCheckpoint(Instant aNow, const TaskId& aTask) override
  {
    this->placer.RecordCheckpoint(aNow, aTask);
  }
  void RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker) override
  {
    this->placer.RecordFailure(aNow, aTask, aWorker);
  }
  void RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed) override
  {
    this->placer.RecordUsage(aNow, aTask, aUsed);
  }
  void RecordLatency(Instant aNow, const ServiceLatencyReport& aReport) override
  {
    this->placer.RecordLatency(aNow, aReport);
  }
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit) override
  {
    return this->placer.Schedule(aNow, aLimit);
  }
  P& Inner() { return this->placer; }

private:
  P placer;
};

// A task of the sequence.
struct SimulatedTask
{
  PlacementRequest request;
  Instant arrival;
  // Work in seconds at full grant; a service runs until the end.
  Duration work{};
  // Interval between checkpoints; zero for none.
  Duration checkpoint{};
};

struct SimulationResult
{
  // Delays from arrival to start of urgent tasks, in seconds; those never started count to the end.
  std::vector<double> urgentDelays;
  std::uint64_t starts = 0;
  std::uint64_t evictions = 0;
  std::uint64_t overcommits = 0;
  std::uint64_t completed = 0;
  // Greatest number of evictions of one task.
  std::uint64_t mostEvictionsOfTask = 0;
  // Core-seconds of batch work done and kept, and done but lost to evictions.
  double batchWork = 0.0;
  double lostWork = 0.0;
  // Time of the last completion, in seconds.
  double makespan = 0.0;
  // Processor seconds spent in calls of the placer.
  double placerSeconds = 0.0;
  double meanUtilisation = 0.0;
};

struct SimulationSetup
{
  std::vector<WorkerSpec> workers;
  std::vector<SimulatedTask> tasks;
  Duration length{};
  Duration tick = std::chrono::milliseconds(100);
  std::uint64_t seed = 1;
  // A victim stops after up to this time.
  Duration stopTime = std::chrono::milliseconds(500);
};

// Runs the sequence until its length has passed and returns what was counted.
SimulationResult Simulate(const SimulationSetup& aSetup, AnyPlacer& aPlacer);

// Returns `aCount` workers of 32 cores and 125 GB, three to a rack, over `aDataCentres`.
std::vector<WorkerSpec> MakeWorkers(std::size_t aCount, std::size_t aDataCentres);
// Returns a request with the sizes of a typical batch task or replica.
PlacementRequest MakeRequest(RandomSource& aRandom, std::size_t aNumber, TaskClass aClass);
// Returns the value below which the given part of the values lies, by nearest rank.
double Percentile(std::vector<double> aValues, double aPart);
// Returns the processor time of this thread in seconds.
double ThreadSeconds();

// Each task on a random worker with room out of 8 tries, then on the first with room.
class RandomPlacer
{
public:
  explicit RandomPlacer(std::uint64_t aSeed)
    : random(aSeed)
  {
  }
  void SetWorker(const WorkerSpec& aSpec);
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant, const TaskId&) {}
  void RecordFailure(Instant, const TaskId&, const WorkerId&) {}
  void RecordUsage(Instant, const TaskId&, const Resources&) {}
  void RecordLatency(Instant, const ServiceLatencyReport&) {}
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);

private:
  struct Worker
  {
    WorkerSpec spec;
    Resources used;
  };
  bool TryPlace(const PlacementRequest& aRequest, std::vector<PlacementAction>& aActions);

  RandomSource random;
  std::vector<Worker> workers;
  std::vector<PlacementRequest> queue;
  std::map<TaskId, std::pair<std::size_t, Resources>> placed;
};

// First fit in order of submission; an urgent task that fits nowhere evicts the newest batch tasks
// of the first worker that could hold it. The baseline for evictions.
class PreemptNewestPlacer
{
public:
  void SetWorker(const WorkerSpec& aSpec);
  void Submit(Instant aNow, const PlacementRequest& aRequest);
  void Release(const TaskId& aTask);
  void RecordCheckpoint(Instant, const TaskId&) {}
  void RecordFailure(Instant, const TaskId&, const WorkerId&) {}
  void RecordUsage(Instant, const TaskId&, const Resources&) {}
  void RecordLatency(Instant, const ServiceLatencyReport&) {}
  std::vector<PlacementAction> Schedule(Instant aNow, std::size_t aLimit);

private:
  struct Running
  {
    PlacementRequest request;
    bool evicting = false;
  };
  struct Worker
  {
    WorkerSpec spec;
    Resources used;
    // Held for urgent tasks whose victims are stopping.
    Resources promised;
    // Newest last.
    std::vector<Running> running;
  };
  bool TryPlace(const PlacementRequest& aRequest, std::vector<PlacementAction>& aActions);
  bool Preempt(const PlacementRequest& aRequest, std::vector<PlacementAction>& aActions);
  bool PlacePromised(std::vector<PlacementAction>& aActions);

  std::vector<Worker> workers;
  std::vector<PlacementRequest> queue;
  std::vector<std::pair<PlacementRequest, std::size_t>> promised;
  std::map<TaskId, std::size_t> placed;
};

} // namespace oriolespread::bench
