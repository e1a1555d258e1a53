// Decides which task runs on which worker, for all jobs of the cluster. Pure: it takes events and
// the time, and returns rows to be stored and orders to be sent.
//
//   scheduler.OnReport(agent, report, now);
//   scheduler.Decide(now);
//   StoreBatch batch = scheduler.TakeBatch(kMaxRows);   // store it in one transaction, then
//   scheduler.OnStored(std::move(batch), now);
//   for (auto& [agent, orders] : scheduler.TakeOrders()) { send(agent, orders); }
//
// A start is ordered, and an end acknowledged, only after the row that tells of it is stored, so
// that the next leader knows of every run that may exist. Not thread-safe.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/jobs/InterferenceModel.h"
#include "oriolespread/jobs/JobModel.h"
#include "oriolespread/jobs/SchedulerSettings.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread::jobs {

struct PlacementRequest;

// The time as the scheduler needs it.
struct Now
{
  Instant instant{};
  // Time of day in Unix milliseconds, for due times and for what is kept across leaders.
  std::int64_t unixMs = 0;
};

// An order that must not be sent before `row` is stored.
struct DeferredOrder
{
  RowKey row;
  std::string agent;
  WorkerKey worker;
  // Either a start of this run, or the acknowledgement of an end.
  std::optional<RunKey> start;
  std::uint64_t endNumber = 0;
};

struct StoreBatch
{
  std::vector<RowChange> changes;
  std::vector<DeferredOrder> orders;

  bool empty() const { return this->changes.empty(); }
};

class JobScheduler
{
public:
  using DecisionLog = std::function<void(std::string_view, const nlohmann::ordered_json&)>;

  JobScheduler(SchedulerSettings aSettings, Counters& aCounters, DecisionLog aLog);

  // Rows as they were found at the start of an epoch: states and progress first, then jobs. A row
  // that cannot be read is counted, logged and left out. The records of ended jobs are not decoded,
  // as most jobs of the store have ended and a take-over has to be quick.
  void LoadState(const std::string& aKey, const std::string& aValue);
  void LoadProgress(const std::string& aKey, const std::string& aValue);
  void LoadInterferenceWeights(const std::string& aKey, const std::string& aValue);
  void LoadJob(const std::string& aKey, const std::string& aValue, Now aNow);
  // `aClaimed` is when the earlier leader can last have renewed its leadership.
  void FinishLoading(Epoch aEpoch, Instant aClaimed, Now aNow);

  // A row of the table of jobs that was written after loading.
  void OnJobRow(const std::string& aKey, const std::string& aValue, Now aNow);

  void OnAgentUp(const std::string& aAgent, Now aNow);
  void OnAgentDown(const std::string& aAgent, Now aNow);
  void OnReport(const std::string& aAgent, const WorkerReport& aReport, Now aNow);

  // Acts on time that has passed and places tasks.
  void Decide(Now aNow);

  bool HasChanges() const { return !this->changedRows.empty(); }
  StoreBatch TakeBatch(std::size_t aMaxRows);
  void OnStored(StoreBatch aBatch, Now aNow);

  // Returns rows that are not needed any more, all of one part and none of the leader's. They may
  // be removed by a transaction of their own, without a condition and more than once. The caller
  // says what became of them.
  std::vector<RowKey> TakeRemovals(std::size_t aMaxRows);
  void OnRemoved(const std::vector<RowKey>& aRows, Now aNow);
  void OnRemovalFailed(std::vector<RowKey> aRows);

  std::map<std::string, WorkerOrders> TakeOrders();

  const std::map<WorkerKey, Worker>& Workers() const { return this->workers; }
  const std::map<std::string, Job>& Jobs() const { return this->jobs; }
  // Returns, by image of the runs on the agent's worker that use unused capacity, the headroom that
  // one of them takes from what it disturbs most there.
  std::map<std::string, double> BestEffortHeadroomCosts(const std::string& aAgent) const;
  // Returns how long the jobs waited whose first task was placed since the last call, from when
  // this leader first read of them.
  std::vector<Duration> TakeStartDelays() { return std::exchange(this->startDelays, {}); }
  std::size_t WaitingTasks() const { return this->waitingTasks; }

private:
  struct ReadyStep
  {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    int lateness = 0;
    std::int64_t deadlineUnixMs = 0;
    // What callers gain by the rest of the job for each core-second that it takes, less where its
    // image disturbs others.
    double valueDensity = 0;
  };

  // What is stored of a job besides its record.
  struct StoredState
  {
    JobState state = JobState::Queued;
    std::int64_t endedUnixMs = 0;
    std::string queue;
  };
  struct StoredProgress
  {
    TaskName name;
    std::string value;
  };

  // SchedulerLoading.cpp
  void LoadEndedJob(const std::string& aId, StoredState aStored, Now aNow);
  void ApplyProgress(Job& aJob, const StoredProgress& aStored);
  void ReportUnreadableRow(std::string_view aTable, const std::string& aKey);

  // JobScheduler.cpp
  void AddJob(JobRecord aRecord, Now aNow);
  void Cancel(const std::string& aId, Now aNow);
  void StartDueOccurrences(Job& aJob, Now aNow);
  void EndJob(Job& aJob, JobState aState, Now aNow);
  void StopAllRuns(Job& aJob);
  void StopRun(const TaskKey& aTaskKey, Run& aRun);
  void MarkChanged(RowKey aRow);
  RowChange MakeChange(const RowKey& aRow) const;
  void RemoveExpiredJobs(Now aNow);
  void DropProgress(const Job& aJob);
  void LogJob(std::string_view aEvent, const Job& aJob, const nlohmann::ordered_json& aFields);

  // SchedulerReports.cpp
  Worker* RegisterWorker(const std::string& aAgent, const WorkerReport& aReport, Now aNow);
  void ApplyRunning(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  void UpdateInterference(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  void ApplyRunEnd(Worker& aWorker, const EndedRun& aEnd, Now aNow);
  void ApplyRejection(Worker& aWorker, const RejectedRun& aRejected, Now aNow);
  void Reconcile(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  void OnRunDone(Job& aJob, const TaskKey& aTaskKey, Now aNow);
  void OnRunFailed(Job& aJob, const TaskKey& aTaskKey, Worker& aWorker, Now aNow);
  void RemoveLostWorker(Worker& aWorker, std::string_view aReason, Now aNow);
  void RemoveLostRuns(Worker& aWorker, std::string_view aReason, Now aNow);
  void StopIfStalled(Worker& aWorker, const RunKey& aRunKey, Now aNow);
  void StopResumableRuns(Worker& aWorker);

  // SchedulerPlacement.cpp
  void RecomputeHeadroomCosts(Worker& aWorker) const;
  void AddHeadroomCost(Worker& aWorker, const StepSpec& aStep) const;
  double ValueDensity(const Job& aJob, const Occurrence& aOccurrence, const StepSpec& aStep) const;
  std::vector<ReadyStep> FindReadySteps(Now aNow);
  void PlaceStep(const ReadyStep& aReady, Now aNow);
  PlacementRequest MakePlacementRequest(const ReadyStep& aReady) const;
  bool PlaceTask(const ReadyStep& aReady,
                 std::uint32_t aIndex,
                 PlacementRequest& aRequest,
                 Now aNow);
  void PlaceGang(const ReadyStep& aReady, Now aNow);
  void BeginRun(const ReadyStep& aReady, std::uint32_t aIndex, Worker& aWorker, Now aNow);

  // Access to parts by place; null when the place does not exist.
  Job* FindJob(const std::string& aId);
  Step* FindStep(const TaskKey& aTaskKey);
  Task* FindTask(const TaskKey& aTaskKey);
  Run* FindRun(const RunKey& aRunKey);
  const StepSpec& SpecOf(const TaskKey& aTaskKey) const;
  void RemoveRun(const RunKey& aRunKey);
  void AdjustReservation(Worker& aWorker, const StepSpec& aStep, int aSign);
  WorkerOrders& OrdersFor(const std::string& aAgent, const WorkerKey& aWorker);
  void OrderStart(const RunKey& aRunKey);

  SchedulerSettings settings;
  Counters& counters;
  DecisionLog log;
  Epoch epoch;
  InterferenceModel interference;
  std::map<std::string, Job> jobs;
  // Smoothed work of a job by queue.
  std::map<std::string, double> meanWorkCoreSeconds;
  std::map<WorkerKey, Worker> workers;
  std::map<std::string, WorkerKey> workerOfAgent;
  // Jobs that may have tasks to place.
  std::set<std::string> activeJobs;
  std::deque<RowKey> changedRows;
  std::set<RowKey> changedRowSet;
  std::vector<DeferredOrder> deferredOrders;
  std::map<std::string, WorkerOrders> outgoingOrders;
  std::uint64_t lastOrders = 0;
  std::size_t waitingTasks = 0;
  std::vector<Duration> startDelays;
  bool loading = true;
  std::map<std::string, StoredState> loadedStates;
  std::map<std::string, std::vector<StoredProgress>> loadedProgress;
  std::vector<std::string> loadedCancels;
  std::vector<RowKey> removableRows;
  // Stored states of jobs that have no row, and when they were read.
  std::map<std::string, Instant> orphanedStates;
  Instant nextExpiryCheck{};
  // When what was learned is stored next.
  Instant nextWeightsStore{};
};

} // namespace oriolespread::jobs
