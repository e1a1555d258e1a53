// Assigns the tasks of all jobs of the cluster to workers. Does no I/O: it receives events and the
// current time, and returns rows to store and orders to send.
//
//   scheduler.OnReport(agent, report, now);
//   scheduler.Decide(now);
//   StoreBatch batch = scheduler.TakeBatch(kMaxRows);   // store it in one transaction, then
//   scheduler.OnStored(std::move(batch), now);          // or OnRefused
//   for (auto& [agent, orders] : scheduler.TakeOrders()) { send(agent, orders); }
//
// A start is ordered, and an end is acknowledged, only after the row that records it is stored. The
// next leader therefore knows every run that may exist. Not thread-safe.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/jobs/DurationModel.h"
#include "oriolespread/jobs/InterferenceModel.h"
#include "oriolespread/jobs/JobModel.h"
#include "oriolespread/jobs/LargestRoom.h"
#include "oriolespread/jobs/RowQueue.h"
#include "oriolespread/jobs/SchedulerSettings.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread::jobs {

struct PlacementRequest;

// The current time on both clocks that the scheduler uses.
struct Now
{
  Instant instant{};
  // Wall-clock time in Unix milliseconds, for due times and for times that are stored.
  std::int64_t unixMs = 0;
};

// An order that is sent only after `row` is stored.
struct DeferredOrder
{
  RowKey row;
  std::string agent;
  WorkerKey worker;
  // The run to start; empty for the acknowledgement of the end `endNumber`.
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

  // Load the rows found at the start of an epoch: states and progress first, then jobs. An
  // unreadable row is counted, logged and skipped. Records of ended jobs are not decoded, because
  // they are most of the stored jobs and a take-over must be fast.
  void LoadState(const std::string& aKey, const std::string& aValue);
  void LoadProgress(const std::string& aKey, const std::string& aValue);
  void LoadInterferenceWeights(const std::string& aKey, const std::string& aValue);
  void LoadJob(const std::string& aKey, const std::string& aValue, Now aNow);
  // `aEarlierLeasesExpiry` is the time at which all leases that earlier leaders have extended have
  // certainly expired.
  void FinishLoading(Epoch aEpoch, Instant aEarlierLeasesExpiry, Now aNow);

  // Handles a row of the `jobs` table that was written after loading.
  void OnJobRow(const std::string& aKey, const std::string& aValue, Now aNow);

  void OnAgentUp(const std::string& aAgent, Now aNow);
  void OnAgentDown(const std::string& aAgent, Now aNow);
  // Handles that orders taken by TakeOrders could not be sent to the agent: its next full report is
  // compared with all runs on its worker, and orders that still hold are repeated.
  void OnOrdersLost(const std::string& aAgent);
  void OnReport(const std::string& aAgent, const WorkerReport& aReport, Now aNow);
  // Takes only the leases from a report that arrives before FinishLoading, as it is answered with
  // an extension.
  void OnReportWhileLoading(const WorkerReport& aReport, Now aNow);

  // Places nothing in these data centres until the next call, and withdraws the starts there that
  // no worker has confirmed. Runs that are at work go on.
  void SetEvacuatedDataCentres(std::set<std::string> aDataCentres);

  // Handles expired leases, due occurrences and expired jobs, and places tasks.
  void Decide(Now aNow);

  bool HasChanges() const { return !this->changedRows.IsEmpty(); }
  // Returns changes for one transaction. Those that do not fit into `aMaxRows` or
  // `SchedulerSettings::maxBatchBytes` remain for the next one.
  StoreBatch TakeBatch(std::size_t aMaxRows);
  void OnStored(StoreBatch aBatch, Now aNow);
  // Handles that the batch is not stored and that the store never takes a transaction with these
  // changes. Its rows are taken again in smaller batches, and a single row after a while.
  void OnRefused(StoreBatch aBatch, Now aNow);

  // Returns obsolete rows, all of one part and none of the leader's part. They may be removed in a
  // separate transaction, unconditionally and repeatedly. The caller reports the result with
  // OnRemoved, OnRemovalFailed or, if the store never takes the transaction, OnRemovalRefused.
  std::vector<RowKey> TakeRemovals(std::size_t aMaxRows);
  void OnRemoved(const std::vector<RowKey>& aRows, Now aNow);
  void OnRemovalFailed(std::vector<RowKey> aRows);
  // The rows are taken again in smaller transactions, and a single row after a while.
  void OnRemovalRefused(const std::vector<RowKey>& aRows, Now aNow);

  // Returns the messages to send, with the agent of each. Those for one agent are in the order of
  // their sequence numbers.
  std::vector<std::pair<std::string, WorkerOrders>> TakeOrders();

  const std::map<WorkerKey, Worker>& Workers() const { return this->workers; }
  const std::map<std::string, Job>& Jobs() const { return this->jobs; }
  // Returns, by image of the best-effort runs on the agent's worker, the headroom that one such run
  // costs the serving image that it slows down most there.
  std::map<std::string, double> BestEffortHeadroomCosts(const std::string& aAgent) const;
  // Returns the start delays of the jobs whose first task has started since the last call. A delay
  // counts from when this leader first read the job's row to the report of the start.
  std::vector<Duration> TakeStartDelays() { return std::exchange(this->startDelays, {}); }
  // Returns when the leases of all workers that have reported to this leader have certainly expired
  // if no further report arrives. The next leader needs it for workers that it does not hear from.
  Instant LatestLeaseExpiry() const { return this->latestLeaseExpiry; }
  std::size_t WaitingTasks() const { return this->waitingTasks; }
  // Returns, by service and priority, in which time the waiting work that can be in time is
  // expected to be done. Has no entry for a class of which nothing waits.
  const std::map<std::pair<std::string, int>, Duration>& ExpectedWaits() const
  {
    return this->expectedWaits;
  }
  // Returns how many workers have been assessed for tasks, which is what decisions cost most.
  std::uint64_t AssessedWorkers() const { return this->assessedWorkers; }
  // Returns the number of rows that the store has refused and that are tried again later.
  std::size_t WithheldRows() const;
  // Returns the number of usable workers that get no new runs because runs failed, stalled or were
  // slow there.
  std::size_t AvoidedWorkers(Now aNow) const;
  // Returns the number of runs that were not known to be running for a while, as of the last scan.
  std::size_t UnconfirmedRuns() const { return this->lateUnconfirmedRuns; }
  // Returns the number of workers with runs that have not reported to this leader yet.
  std::size_t AwaitedWorkers() const;

private:
  struct ReadyStep
  {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::int64_t deadlineUnixMs = 0;
    // Among steps of equal priority, the one with the highest rank is placed first.
    double rank = 0;
  };

  // The speed of the runs of the same step on other workers, compared with that of one run.
  enum class PeerSpeed
  {
    // No such run is at work.
    Unknown,
    // One is about as slow, or is not measured yet.
    Alike,
    Faster,
  };

  // The usable workers of a service.
  struct AvoidedCount
  {
    std::size_t avoided = 0;
    std::size_t usable = 0;
  };

  // Messages to one agent that are not sent yet.
  struct OutgoingOrders
  {
    std::vector<WorkerOrders> messages;
    // The size of the last message.
    std::size_t lastBytes = 0;
  };

  struct OrphanedState
  {
    StoredJobState state;
    Instant loadedAt{};
  };
  struct StoredProgress
  {
    ProgressName name;
    std::string value;
  };

  // Defined in SchedulerLoading.cpp.
  void LoadEndedJob(const std::string& aId, StoredJobState aStored, Now aNow);
  void ApplyProgress(Job& aJob, const StoredProgress& aStored);
  // Completes a gang of which a member is done. The earlier leader may have stored that in some of
  // its rows only.
  void CompleteLoadedGang(const std::string& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  void ReportUnreadableRow(std::string_view aTable, const std::string& aKey);

  struct AgentContact
  {
    // Zero since the link to the agent broke.
    Instant lastReport{};
    // The worker that the agent serves; empty if it has not named one.
    std::string worker;
    bool isWorkerDraining = false;
  };

  struct OrphanedCancel
  {
    // When the row was first read.
    Instant readAt{};
    bool removalRequested = false;
  };

  // Defined in JobScheduler.cpp.
  void AddJob(JobRecord aRecord, Now aNow);
  // `aValue` is the value of the cancellation's row.
  void Cancel(const std::string& aId, const std::string& aValue, Now aNow);
  // Handles a cancellation that was accepted before the job was stored; see EarlyCancelName.
  void CancelEarly(const std::string& aName, const std::string& aValue, Now aNow);
  bool IsCancelledEarly(const Job& aJob) const;
  // Adds the key of a job to `serviceJobs` if necessary.
  void IndexJob(const std::string& aId);
  // Returns the keys of the known jobs with the identifier.
  std::vector<std::string> JobsWithIdentifier(const std::string& aIdentifier) const;
  void StartDueOccurrences(Job& aJob, Now aNow);
  void EndJob(Job& aJob, JobState aState, Now aNow);
  void StopAllRuns(Job& aJob);
  void StopRun(const TaskKey& aTaskKey, Run& aRun);
  void MarkChanged(RowKey aRow) { this->changedRows.Add(std::move(aRow)); }
  void MarkRemovable(RowKey aRow);
  // Counts and logs a row that the store has refused alone.
  void ReportRefusedRow(const RowChange& aChange, Duration aWithheldFor);
  // Removes the runs whose start is not ordered because the row is not stored, so that they reserve
  // no room on workers.
  void RemoveUnstoredRuns(const RowKey& aRow);
  RowChange MakeChange(const RowKey& aRow) const;
  // Returns the contents of a progress row, without checkpoints if it is too long with them.
  std::string EncodeRow(const Step& aStep, std::optional<std::uint32_t> aRow) const;
  void RemoveExpiredJobs(Now aNow);
  void DropProgress(const Job& aJob);
  void LogJob(std::string_view aEvent, const Job& aJob, const nlohmann::ordered_json& aFields);

  // Defined in SchedulerReports.cpp.

  // Returns when the leases of the report's worker have certainly expired if no further report
  // arrives.
  Instant CountLeases(const WorkerReport& aReport, Now aNow);
  // Counts the leases of a report that is not taken, as it is answered with an extension too. A
  // worker that has restarted may run what its earlier processes were ordered to start.
  void CountLeasesOfOtherWorkers(const std::string& aAgent, const WorkerReport& aReport, Now aNow);
  Worker* RegisterWorker(const std::string& aAgent, const WorkerReport& aReport, Now aNow);
  // Returns the known workers of the agent other than `aCurrent`.
  std::set<WorkerKey> OtherWorkers(const std::string& aAgent,
                                   const std::optional<WorkerKey>& aCurrent) const;
  bool HasRunsOfOtherWorkers(const std::string& aAgent, const WorkerKey& aCurrent) const;
  // Removes the workers of the agent other than `aCurrent`. An agent serves one worker, so the
  // others have ended.
  void RemoveOtherWorkers(const std::string& aAgent,
                          const std::optional<WorkerKey>& aCurrent,
                          std::string_view aReason,
                          Now aNow);
  // Returns whether the name of the task is valid, and then sets `aRunKey`. Of several jobs with
  // the identifier in the name, a run on the worker is one of its service's job; the key is that of
  // no known job if there is none.
  bool ResolveRun(const Worker& aWorker, const RunRef& aRef, RunKey& aRunKey) const;
  // Orders the worker to stop the run unless it is known to run there or is adopted. Returns
  // whether the run is being stopped.
  bool StopIfUnknown(Worker& aWorker, const RunRef& aRef);
  // Takes up a run that was considered lost while its task has no other run, so that the task is
  // not started a second time beside it. Returns whether it did.
  bool AdoptRun(Worker& aWorker, const RunKey& aRunKey);
  void ApplyRunning(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  // Handles that a worker has started the run. The first run of a job starts the job; a run that is
  // only placed does not, since it may be rejected or lost before it starts.
  void OnRunStarted(const RunKey& aRunKey, Now aNow);
  void MarkStarted(Job& aJob);
  void UpdateCheckpoint(const TaskKey& aTaskKey, const std::string& aCheckpoint, Now aNow);
  void UpdateInterference(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  // `aLastOrders` is the last of the orders that the agent had received when it rejected the run.
  void ApplyRejection(Worker& aWorker,
                      const RejectedRun& aRejected,
                      std::uint64_t aLastOrders,
                      Now aNow);
  void Reconcile(Worker& aWorker, const WorkerReport& aReport, Now aNow);
  void RemoveLostWorker(Worker& aWorker, std::string_view aReason, Now aNow);
  void RemoveLostRuns(Worker& aWorker, std::string_view aReason, Now aNow);
  void StopResumableRuns(Worker& aWorker);

  // Defined in SchedulerOpenStarts.cpp.
  // Takes the starts from the report that may still be carried out, also if it is not taken
  // otherwise.
  void TakeOpenStarts(const std::string& aAgent, const WorkerReport& aReport, Now aNow);
  // Forgets the starts of other workers that the agent has served.
  void ForgetOtherOpenStarts(const std::string& aAgent, const std::string& aWorker);
  void AddOpenStart(const TaskKey& aTaskKey, KnownOpenStart aStart);
  // Sets until when the starts of a loaded task may be carried out.
  void LoadOpenStarts(const TaskKey& aTaskKey, Task& aTask, Now aNow);
  // Returns whether the agent of the worker keeps it from carrying the start out: it supersedes the
  // calls to an earlier incarnation as soon as it reaches the next one. A worker that drains has no
  // next one, and its agent ends with it.
  bool IsPrevented(const KnownOpenStart& aStart, Now aNow) const;
  // Returns whether a worker may carry out a start of the task that no agent prevents, as of the
  // last review.
  static bool HasUnpreventedStart(const Task& aTask);
  // Forgets the starts that can not be carried out any more, and stops the runs of tasks of which
  // another worker may carry out a start that no agent prevents.
  void ReviewOpenStarts(Now aNow);
  // Returns whether there are starts of the task that count.
  bool ReviewOpenStarts(const TaskKey& aTaskKey, Now aNow);
  void StopRunsBeside(const TaskKey& aTaskKey, const KnownOpenStart& aStart, Now aNow);

  // Defined in SchedulerEvacuation.cpp.
  // Withdraws the starts on a worker of an evacuated data centre that are not confirmed.
  void WithdrawStarts(Worker& aWorker);
  // Removes the start of the run from the messages that are not sent yet.
  void DropQueuedStart(const Run& aRun, const RunRef& aRef);

  // Defined in SchedulerEnds.cpp.
  void ApplyRunEnd(Worker& aWorker, const EndedRun& aEnd, Now aNow);
  // Acknowledges the end once the present progress of the task's step is stored, or at the next
  // report of the end if a run of an ended task is not stopped yet.
  void AcknowledgeOnceStored(Worker& aWorker, const TaskKey& aTaskKey, std::uint64_t aEndNumber);
  void OnRunDone(Job& aJob, const TaskKey& aTaskKey, Now aNow);
  void OnRunFailed(Job& aJob, const TaskKey& aTaskKey, Worker& aWorker, Now aNow);

  // Defined in SchedulerStragglers.cpp.
  void IgnoreReportGap(Worker& aWorker, Now aNow);
  void StopIfStalled(Worker& aWorker, const RunKey& aRunKey, Now aNow);
  void StopIfSlow(Worker& aWorker, const RunKey& aRunKey, Now aNow);
  PeerSpeed ComparePeers(const RunKey& aRunKey, double aSpeed);
  void AvoidIfSlow(Worker& aWorker, const std::string& aJob, Now aNow);
  // Returns whether the runs that were measured last are slow on most workers of the service.
  bool AreMostWorkersSlow(const std::string& aService, Instant aNow) const;
  // Avoids the worker for a while, unless it is slow or stalled and as many workers of its service
  // are avoided as may be.
  void AvoidWorker(Worker& aWorker, AvoidReason aReason, Now aNow);
  void SkipAvoidance(const Worker& aWorker, AvoidReason aReason, std::string_view aWhy, Now aNow);
  AvoidedCount CountAvoidedWorkers(const std::string& aService, Instant aNow) const;

  // Defined in SchedulerPlacement.cpp.
  void PlaceReadySteps(Now aNow);
  // Has the withheld rows tried again soon that keep tasks of the step from being placed.
  void ExpediteRows(const ReadyStep& aReady);
  void RecomputeHeadroomCosts(Worker& aWorker) const;
  void AddHeadroomCost(Worker& aWorker, const StepSpec& aStep) const;
  double RankStep(const Job& aJob,
                  const Occurrence& aOccurrence,
                  std::uint32_t aStep,
                  std::int64_t aSinceDueMs) const;
  std::vector<ReadyStep> FindReadySteps(Now aNow);
  // Returns the services of which at most `lowReservedShare` of the cores is reserved.
  std::set<std::string> FindServicesWithFreeCores() const;
  void UpdateLargestRooms(Now aNow);
  void PlaceStep(const ReadyStep& aReady, bool aHasFreeCores, Now aNow);
  // Returns the request for the tasks of the step, with what the time since the job's last run
  // allows. `aHasFreeCores` tells whether FindServicesWithFreeCores lists the job's service.
  PlacementRequest MakePlacementRequest(const ReadyStep& aReady,
                                        bool aHasFreeCores,
                                        Now aNow) const;
  // Returns whether a run of the job may be at work or waits for the store. An ordered run is not
  // while its worker, which has reported to this leader, does not list it.
  bool MayHaveRunAtWork(const Job& aJob) const;
  // Returns whether no run of the job was at work for `aTime` or longer. Runs that were placed
  // within it may still start.
  bool HadNoRunFor(const Job& aJob, Duration aTime, Instant aNow) const;
  // Returns whether the task must not be placed yet.
  bool IsPlacementDelayed(const ReadyStep& aReady, std::uint32_t aIndex, Now aNow) const;
  bool MayUseFailingWorkers(const Job& aJob,
                            const StepSpec& aStep,
                            const Task& aTask,
                            Instant aNow) const;
  // Returns whether a worker of the service that is not avoided for failures takes runs and could
  // take a task of the step.
  bool HasSoundWorker(const std::string& aService, const StepSpec& aStep, Instant aNow) const;
  // Returns whether the task has waited so long that it may be placed regardless of interference
  // and unused cores, although other tasks of its job run.
  bool HasTaskStood(const StepSpec& aStep, const Task& aTask, bool aHasFreeCores, Now aNow) const;
  // `aHasStood` is the result of HasTaskStood.
  bool PlaceTask(const ReadyStep& aReady,
                 std::uint32_t aIndex,
                 bool aHasStood,
                 PlacementRequest& aRequest,
                 Now aNow);
  // Returns the worker for the task, or null, and counts the task in the request.
  Worker* SelectWorker(const Task& aTask, PlacementRequest& aRequest, Now aNow);
  void PlaceGang(const ReadyStep& aReady, PlacementRequest aRequest, Now aNow);
  // Stops the runs of a gang of which other members have none. It is placed again as a whole once
  // they are gone.
  void StopRestOfGang(const ReadyStep& aReady);
  void BeginRun(const ReadyStep& aReady, std::uint32_t aIndex, Worker& aWorker, Now aNow);

  // Defined in SchedulerBacklog.cpp.

  // Jobs of one service and priority.
  using JobClass = std::pair<std::string, int>;
  // The capacity that the tasks of a class get while some of them wait.
  struct ClassCapacity
  {
    double cores = 0;
    Instant measuredAt{};
  };
  struct ClassBacklog;

  // Takes the duration of a run that ended successfully, if it was measured from its begin.
  void MeasureDuration(const Job& aJob, const TaskKey& aTaskKey, const Run& aRun, Now aNow);
  // Returns the declared work of the job relative to the mean of its queue.
  double RelativeWork(const Job& aJob) const;
  // Returns the expected duration of a task of each step.
  std::vector<std::int64_t> ExpectedDurationsMs(const Job& aJob,
                                                const Occurrence& aOccurrence) const;
  // Plans the backlog of each class of which tasks wait, for services with jobs of several
  // priorities. Does nothing until `SchedulerSettings::backlogPlanInterval` has passed.
  void PlanBacklogs(Now aNow);
  // Moves the step of the job that has had no run at work for the longest time to the front of its
  // priority, if that time is above `SchedulerSettings::maxStandingTime`, so that late jobs end
  // while an overload lasts. At most one in each `overdueInterval`.
  void PromoteOverdueStep(std::vector<ReadyStep>& aReady, Now aNow);
  void AddToBacklog(Job& aJob, std::uint32_t aOccurrence, Now aNow, ClassBacklog& aBacklog) const;

  // Defined in SchedulerLogs.cpp.
  // Logs why no worker can take a task of the step, if it has waited for a while.
  void LogWaitingStep(const ReadyStep& aReady, const PlacementRequest& aRequest, Now aNow);
  // Logs the jobs that have had no run at work for a while although tasks could start, and why no
  // worker takes these: at most 16 lines a second.
  void LogStandingJobs(const std::vector<ReadyStep>& aReady,
                       const std::set<std::string>& aServicesWithFreeCores,
                       Now aNow);
  // Logs once, some time after loading, which workers have not reported yet.
  void LogAwaitedWorkers(Now aNow);
  // Logs the runs that are not known to be running for a while, and what this leader believes of
  // them.
  void LogUnconfirmedRuns(Now aNow);
  void FindUnconfirmedRuns(const Job& aJob,
                           const std::set<WorkerKey>& aSilent,
                           Now aNow,
                           std::map<RunKey, Instant>& aSince) const;
  void LogUnconfirmedRun(const RunKey& aRunKey, Instant aSince, Now aNow);

  // Counts and logs how long after it was sent to the store the cancellation takes effect, by the
  // clocks of the two machines.
  void LogCancellation(const Job& aJob, const std::string& aValue, Now aNow);
  // Counts and logs how long after the cancellation of their job the last runs have ended, and logs
  // runs that take long to end.
  void LogCancelledRuns(Now aNow);

  // Defined in SchedulerOrders.cpp.
  // Returns the message for the next order to the agent, whose payload, checkpoint and image have
  // `aBytes`.
  WorkerOrders& OrdersFor(const std::string& aAgent,
                          const WorkerKey& aWorker,
                          std::size_t aBytes = 0);
  // `aRepeated` tells that an earlier order for the run may have reached the worker.
  void OrderStart(const RunKey& aRunKey, bool aRepeated);
  void OrderStop(const RunKey& aRunKey);

  // Look up parts of a job; the pointers are null if the part does not exist.
  Job* FindJob(const std::string& aId);
  Step* FindStep(const TaskKey& aTaskKey);
  Task* FindTask(const TaskKey& aTaskKey);
  Run* FindRun(const RunKey& aRunKey);
  const StepSpec& SpecOf(const TaskKey& aTaskKey) const;
  // Returns the row that holds the progress of the task.
  RowKey ProgressRowOf(const TaskKey& aTaskKey) const;
  // Adds a run of a task that has no other run, and reserves its demand.
  void AddRun(const RunKey& aRunKey, RunState aState, Worker& aWorker);
  void RemoveRun(const RunKey& aRunKey);
  // Adds the demand of a run of the step if `aSign` is 1, and removes it if `aSign` is -1.
  void AdjustReservation(Worker& aWorker, const StepSpec& aStep, int aSign);

  SchedulerSettings settings;
  Counters& counters;
  DecisionLog log;
  Epoch epoch;
  InterferenceModel interference;
  std::map<std::string, Job> jobs;
  // The keys of the jobs whose key is not their identifier, by identifier.
  std::map<std::string, std::set<std::string>> serviceJobs;
  // The moving average of the work of a job, by queue.
  std::map<std::string, double> meanWorkCoreSeconds;
  std::map<WorkerKey, Worker> workers;
  std::set<std::string> evacuatedDataCentres;
  std::map<std::string, WorkerKey> workerOfAgent;
  // The last report of each agent.
  std::map<std::string, AgentContact> agentContacts;
  // When FinishLoading was called.
  Instant loadedAt{};
  std::set<TaskKey> tasksWithOpenStarts;
  // Further workers of an agent that stored runs name: an earlier leader may end before it has
  // stored that the runs of an earlier incarnation are lost.
  std::map<std::string, std::set<WorkerKey>> loadedWorkersOfAgent;
  // Jobs that have not ended.
  std::set<std::string> activeJobs;
  RowQueue changedRows;
  std::vector<DeferredOrder> deferredOrders;
  std::map<std::string, OutgoingOrders> outgoingOrders;
  std::uint64_t lastOrders = 0;
  std::size_t waitingTasks = 0;
  DurationModel durations;
  std::map<std::string, std::set<int>> prioritiesByService;
  std::map<JobClass, ClassCapacity> classCapacities;
  std::map<JobClass, Duration> expectedWaits;
  Instant nextBacklogPlan{};
  Instant nextOverdueStep{};
  Instant nextBacklogLog{};
  std::uint64_t assessedWorkers = 0;
  // By service, as of the begin of a scheduling pass, in which rooms only become smaller.
  std::map<std::string, LargestRoom> largestRooms;
  // When the next line about a worker that is not avoided may be logged.
  Instant nextSkippedAvoidanceLog{};
  // When the next line about a step that waits may be logged.
  Instant nextWaitingLog{};
  Instant nextStandingLog{};
  // When all leases that agents have reported have certainly expired.
  Instant latestLeaseExpiry{};
  // When the workers that have not reported are logged; zero once they were.
  Instant awaitedLogAt{};
  Instant nextUnconfirmedScan{};
  // Since when runs were not known to be running, as of the last scan.
  std::map<RunKey, Instant> unconfirmedSince;
  // The number of them that were unconfirmed for long enough to be logged.
  std::size_t lateUnconfirmedRuns = 0;
  std::vector<Duration> startDelays;
  bool loading = true;
  std::map<std::string, StoredJobState> loadedStates;
  std::map<std::string, std::vector<StoredProgress>> loadedProgress;
  // The keys and values of cancellations.
  std::vector<std::pair<std::string, std::string>> loadedCancels;
  // Obsolete rows outside the leader's part, by their part.
  std::map<std::string, RowQueue> removableRows;
  // The part of the last rows that TakeRemovals returned.
  std::string lastRemovalPart;
  // Stored states without a job row. A job that is delivered late has the state.
  std::map<std::string, OrphanedState> orphanedStates;
  // Stored cancellations without a job row. The job may be stored later, as a submission without an
  // answer takes effect at any time.
  std::map<std::string, OrphanedCancel> orphanedCancels;
  // Jobs that this leader has cancelled and that have runs, and whether that was logged as late.
  std::map<std::string, bool> cancelledWithRuns;
  Instant nextExpiryCheck{};
  // When the interference weights are stored next.
  Instant nextWeightsStore{};
};

} // namespace oriolespread::jobs
