// The part of JobScheduler that logs what it waits for.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>
#include <array>
#include <utility>

namespace oriolespread::jobs {

namespace {

// Steps that wait for longer than this are logged, one at each interval, so that a backlog of
// hundreds of steps does not fill the log.
constexpr Duration kWaitingLogDelay = std::chrono::milliseconds(2000);
constexpr Duration kWaitingLogInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxLoggedWorkers = 10;
// Jobs without a run at work for longer than this are logged at each scan, in the order in which
// they are placed last to first, because the last ones stand for the longest time.
constexpr Duration kStandingLogDelay = std::chrono::milliseconds(2000);
constexpr Duration kStandingLogInterval = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxStandingLines = 16;
// Runs that are not known to be running for longer than this are logged at each scan, those of
// long-running tasks first.
constexpr Duration kUnconfirmedLogDelay = std::chrono::milliseconds(2000);
constexpr Duration kUnconfirmedScanInterval = std::chrono::milliseconds(1000);
constexpr std::size_t kMaxUnconfirmedLines = 16;
// Runs of a cancelled job are logged if they have not ended after this time. Reports and stops take
// less than half of it.
constexpr Duration kCancelledRunsLogDelay = std::chrono::milliseconds(2000);

// Returns the label of a counter of delays.
std::string_view DelayRange(Duration aDelay)
{
  constexpr std::array<std::pair<Duration, std::string_view>, 4> kRanges{
    { { std::chrono::milliseconds(500), "under_500_ms" },
      { std::chrono::milliseconds(1000), "under_1000_ms" },
      { std::chrono::milliseconds(2000), "under_2000_ms" },
      { std::chrono::milliseconds(4000), "under_4000_ms" } }
  };
  for (const auto& [bound, label] : kRanges) {
    if (aDelay < bound) {
      return label;
    }
  }
  return "from_4000_ms";
}

std::string_view RunStateName(RunState aState)
{
  switch (aState) {
    case RunState::Committing:
      return "committing";
    case RunState::Ordered:
      return "ordered";
    case RunState::Running:
      return "running";
    case RunState::Stopping:
      return "stopping";
  }
  return "unknown";
}

// Returns the names of the workers with runs of the job, at most kMaxLoggedWorkers.
nlohmann::ordered_json WorkersOf(const Job& aJob)
{
  std::set<std::string> workers;
  for (const auto& [number, occurrence] : aJob.occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        for (const Run& run : task.runs) {
          if (workers.size() < kMaxLoggedWorkers) {
            workers.insert(run.worker.id);
          }
        }
      }
    }
  }
  return workers;
}

} // namespace

void JobScheduler::LogWaitingStep(const ReadyStep& aReady,
                                  const PlacementRequest& aRequest,
                                  Now aNow)
{
  Step& step = aReady.job->occurrences.at(aReady.occurrence).steps[aReady.step];
  if (step.waitingSince == Instant{}) {
    step.waitingSince = aNow.instant;
  }
  const Duration waited = aNow.instant - step.waitingSince;
  if (waited < kWaitingLogDelay || aNow.instant < this->nextWaitingLog) {
    return;
  }
  this->nextWaitingLog = aNow.instant + kWaitingLogInterval;
  nlohmann::ordered_json workers = nlohmann::ordered_json::object();
  for (const auto& [obstacle, count] : CountObstacles(this->workers, aRequest, aNow.instant)) {
    workers[std::string(PlacementObstacleName(obstacle))] = count;
  }
  const StepSpec& spec = *aRequest.step;
  this->LogJob("step_waiting",
               *aReady.job,
               { { "occurrence", aReady.occurrence },
                 { "step", aReady.step },
                 { "waited_ms", ToMilliseconds(waited) },
                 { "tasks", step.tasks.size() - step.done - step.active },
                 { "long_running", spec.longRunning },
                 { "milli_cores", spec.demand.milliCores },
                 { "memory_mib", spec.demand.memoryMiB },
                 { "workers", std::move(workers) } });
}

void JobScheduler::LogStandingJobs(const std::vector<ReadyStep>& aReady,
                                   const std::set<std::string>& aServicesWithFreeCores,
                                   Now aNow)
{
  if (aNow.instant < this->nextStandingLog) {
    return;
  }
  this->nextStandingLog = aNow.instant + kStandingLogInterval;
  std::size_t lines = 0;
  for (auto item = aReady.rbegin(); item != aReady.rend() && lines < kMaxStandingLines; ++item) {
    const Job& job = *item->job;
    const Duration standing = aNow.instant - job.lastRunning;
    if (!this->HadNoRunFor(job, kStandingLogDelay, aNow.instant)) {
      continue;
    }
    const Step& step = job.occurrences.at(item->occurrence).steps[item->step];
    std::size_t delayed = 0;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      delayed += this->IsPlacementDelayed(*item, index, aNow) ? 1 : 0;
    }
    const PlacementRequest request = this->MakePlacementRequest(
      *item, aServicesWithFreeCores.contains(job.record.policy.service), aNow);
    nlohmann::ordered_json workers = nlohmann::ordered_json::object();
    for (const auto& [obstacle, count] : CountObstacles(this->workers, request, aNow.instant)) {
      workers[std::string(PlacementObstacleName(obstacle))] = count;
    }
    const StepSpec& spec = *request.step;
    this->LogJob("job_standing",
                 job,
                 { { "occurrence", item->occurrence },
                   { "step", item->step },
                   { "since_run_ms", ToMilliseconds(standing) },
                   { "since_placed_ms", ToMilliseconds(aNow.instant - job.lastPlaced) },
                   { "tasks", step.tasks.size() - step.done },
                   { "delayed", delayed },
                   { "gang", spec.gang },
                   { "best_effort", spec.fillsUnused },
                   { "milli_cores", spec.demand.milliCores },
                   { "memory_mib", spec.demand.memoryMiB },
                   { "workers", std::move(workers) } });
    ++lines;
  }
}

std::size_t JobScheduler::AwaitedWorkers() const
{
  return static_cast<std::size_t>(
    std::count_if(this->workers.begin(), this->workers.end(), [](const auto& aItem) {
      return !aItem.second.reported && !aItem.second.runs.empty();
    }));
}

void JobScheduler::LogAwaitedWorkers(Now aNow)
{
  if (this->awaitedLogAt == Instant{} || aNow.instant < this->awaitedLogAt) {
    return;
  }
  this->awaitedLogAt = {};
  nlohmann::ordered_json listed = nlohmann::ordered_json::array();
  std::size_t awaited = 0;
  std::size_t runs = 0;
  Instant latestLeaseExpiry{};
  for (const auto& [key, worker] : this->workers) {
    if (worker.reported || worker.runs.empty()) {
      continue;
    }
    ++awaited;
    runs += worker.runs.size();
    latestLeaseExpiry = std::max(latestLeaseExpiry, worker.latestLeaseExpiry);
    if (listed.size() < kMaxLoggedWorkers) {
      listed.push_back(key.id);
    }
  }
  if (awaited > 0) {
    this->log("workers_awaited",
              { { "epoch", this->epoch.Value() },
                { "workers", awaited },
                { "runs", runs },
                { "lease_ends_in_ms", ToMilliseconds(latestLeaseExpiry - aNow.instant) },
                { "first", std::move(listed) } });
  }
}

void JobScheduler::LogUnconfirmedRuns(Now aNow)
{
  if (aNow.instant < this->nextUnconfirmedScan) {
    return;
  }
  this->nextUnconfirmedScan = aNow.instant + kUnconfirmedScanInterval;
  std::set<WorkerKey> silent;
  for (const auto& [key, worker] : this->workers) {
    if (!worker.connected || !worker.reported ||
        aNow.instant - worker.lastReport >= kUnconfirmedLogDelay) {
      silent.insert(key);
    }
  }
  std::map<RunKey, Instant> since;
  for (const std::string& id : this->activeJobs) {
    this->FindUnconfirmedRuns(this->jobs.at(id), silent, aNow, since);
  }
  this->unconfirmedSince = std::move(since);
  std::vector<std::pair<RunKey, Instant>> late;
  for (const auto& item : this->unconfirmedSince) {
    if (aNow.instant - item.second >= kUnconfirmedLogDelay) {
      late.push_back(item);
    }
  }
  this->lateUnconfirmedRuns = late.size();
  std::stable_partition(late.begin(), late.end(), [this](const auto& aItem) {
    return this->SpecOf(aItem.first.task).longRunning;
  });
  late.resize(std::min(late.size(), kMaxUnconfirmedLines));
  for (const auto& [key, first] : late) {
    this->LogUnconfirmedRun(key, first, aNow);
  }
}

void JobScheduler::FindUnconfirmedRuns(const Job& aJob,
                                       const std::set<WorkerKey>& aSilent,
                                       Now aNow,
                                       std::map<RunKey, Instant>& aSince) const
{
  for (const auto& [occurrence, state] : aJob.occurrences) {
    for (std::uint32_t step = 0; step < state.steps.size(); ++step) {
      if (state.steps[step].active == 0) {
        continue;
      }
      const std::vector<Task>& tasks = state.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        for (const Run& run : tasks[index].runs) {
          if (run.state == RunState::Running && !aSilent.contains(run.worker)) {
            continue;
          }
          const RunKey key{ { aJob.record.id, occurrence, step, index }, run.number };
          const auto known = this->unconfirmedSince.find(key);
          aSince[key] = known == this->unconfirmedSince.end() ? aNow.instant : known->second;
        }
      }
    }
  }
}

void JobScheduler::LogUnconfirmedRun(const RunKey& aRunKey, Instant aSince, Now aNow)
{
  const Run& run = *this->FindRun(aRunKey);
  nlohmann::ordered_json fields = { { "task", ToRunRef(aRunKey).task },
                                    { "run", run.number },
                                    { "worker", run.worker.id },
                                    { "state", RunStateName(run.state) },
                                    { "unconfirmed_ms", ToMilliseconds(aNow.instant - aSince) } };
  const auto worker = this->workers.find(run.worker);
  if (worker != this->workers.end()) {
    fields["connected"] = worker->second.connected;
    fields["reported"] = worker->second.reported;
    fields["lease_ends_in_ms"] = ToMilliseconds(worker->second.latestLeaseExpiry - aNow.instant);
  }
  this->log("run_unconfirmed", fields);
}

void JobScheduler::LogCancellation(const Job& aJob, const std::string& aValue, Now aNow)
{
  nlohmann::ordered_json fields;
  if (const auto sentUnixMs = DecodeCancellation(aValue); sentUnixMs.has_value()) {
    const auto delay =
      std::chrono::milliseconds(std::max<std::int64_t>(aNow.unixMs - *sentUnixMs, 0));
    fields["delay_ms"] = ToMilliseconds(delay);
    this->counters.Add("cancellations_applied_total", DelayRange(delay));
  } else {
    this->counters.Add("cancellations_applied_total", "unknown");
  }
  fields["has_runs"] = aJob.HasActiveRuns();
  this->LogJob("job_cancelled", aJob, fields);
  if (aJob.HasActiveRuns()) {
    this->cancelledWithRuns.emplace(aJob.record.id, false);
  }
}

void JobScheduler::LogCancelledRuns(Now aNow)
{
  for (auto it = this->cancelledWithRuns.begin(); it != this->cancelledWithRuns.end();) {
    auto& [id, isLogged] = *it;
    const Job& job = this->jobs.at(id);
    const Duration delay = aNow.instant - job.endedAt;
    const bool hasEnded = !job.HasActiveRuns();
    if (hasEnded) {
      this->counters.Add("cancellations_completed_total", DelayRange(delay));
    }
    if (delay >= kCancelledRunsLogDelay && (hasEnded || !isLogged)) {
      isLogged = true;
      this->LogJob(hasEnded ? "cancelled_runs_ended" : "cancelled_runs_remain",
                   job,
                   { { "since_ms", ToMilliseconds(delay) }, { "workers", WorkersOf(job) } });
    }
    it = hasEnded ? this->cancelledWithRuns.erase(it) : std::next(it);
  }
}

} // namespace oriolespread::jobs
