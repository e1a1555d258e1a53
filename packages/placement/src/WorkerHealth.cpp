#include "WorkerHealth.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// Failures further apart than this are assumed to have different causes.
constexpr Duration kFailureWindow = minutes(10);
constexpr Duration kInitialBackoff = seconds(10);
constexpr Duration kMaxBackoff = minutes(5);
constexpr Duration kProbePostponement = seconds(1);
// At most one worker for each this many workers may be in quarantine.
constexpr std::size_t kWorkersPerQuarantined = 5;

} // namespace

WorkerHealth::WorkerHealth(Counters& aCounters)
  : counters(aCounters)
{
}

HealthChange WorkerHealth::RecordFailure(Instant aNow,
                                         WorkerIndex aWorker,
                                         TaskIndex aTask,
                                         const JobId& aJob,
                                         std::size_t aWorkers)
{
  this->now = aNow;
  Job& job = this->FindOrAddJob(aJob);
  if (job.failedOn.size() < kDistinctFailureThreshold &&
      std::find(job.failedOn.begin(), job.failedOn.end(), aWorker) == job.failedOn.end()) {
    job.failedOn.push_back(aWorker);
  }
  const auto quarantined = this->quarantine.find(aWorker);
  if (quarantined != this->quarantine.end()) {
    QuarantineState& state = quarantined->second;
    if (state.probe == aTask) {
      state.probe = kNone;
      state.successes = 0;
      state.backoff = std::min(state.backoff * 2, kMaxBackoff);
      this->ScheduleProbe(aWorker, state, aNow + state.backoff);
    }
    return HealthChange::None;
  }
  if (job.failedOn.size() >= kDistinctFailureThreshold && !job.succeeded) {
    this->counters.Add("placement_failures_discounted_total", "bad_job");
    this->DiscountFailures(aJob, job);
    return HealthChange::None;
  }
  std::vector<Failure>& recentFailures = this->failures[aWorker];
  std::erase_if(recentFailures, [&](const Failure& aFailure) {
    return aFailure.job == aJob || aFailure.at + kFailureWindow < aNow;
  });
  recentFailures.push_back({ aJob, aNow });
  if (recentFailures.size() < kDistinctFailureThreshold ||
      !this->Quarantine(aNow, aWorker, aWorkers)) {
    return HealthChange::None;
  }
  return HealthChange::Quarantined;
}

HealthChange WorkerHealth::RecordSuccess(WorkerIndex aWorker, TaskIndex aTask, const JobId& aJob)
{
  const auto job = this->jobs.find(aJob);
  if (job != this->jobs.end()) {
    job->second.succeeded = true;
  }
  const auto quarantined = this->quarantine.find(aWorker);
  if (quarantined == this->quarantine.end() || quarantined->second.probe != aTask) {
    return HealthChange::None;
  }
  QuarantineState& state = quarantined->second;
  state.probe = kNone;
  if (++state.successes < kProbesToRelease) {
    this->ScheduleProbe(aWorker, state, this->now);
    return HealthChange::None;
  }
  this->counters.Add("placement_quarantine_total", "released");
  this->RemoveWorker(aWorker);
  return HealthChange::Released;
}

void WorkerHealth::RecordInconclusiveEnd(WorkerIndex aWorker, TaskIndex aTask)
{
  const auto quarantined = this->quarantine.find(aWorker);
  if (quarantined != this->quarantine.end() && quarantined->second.probe == aTask) {
    quarantined->second.probe = kNone;
    this->ScheduleProbe(aWorker, quarantined->second, this->now);
  }
}

bool WorkerHealth::Quarantine(Instant aNow, WorkerIndex aWorker, std::size_t aWorkers)
{
  if (this->IsQuarantined(aWorker)) {
    return false;
  }
  if ((this->quarantine.size() + 1) * kWorkersPerQuarantined > aWorkers) {
    this->counters.Add("placement_quarantine_refused_total", "share_of_workers");
    return false;
  }
  this->counters.Add("placement_quarantine_total", "entered");
  QuarantineState& state = this->quarantine[aWorker];
  state.backoff = kInitialBackoff;
  this->ScheduleProbe(aWorker, state, aNow + kInitialBackoff);
  return true;
}

void WorkerHealth::RemoveWorker(WorkerIndex aWorker)
{
  this->failures.erase(aWorker);
  const auto quarantined = this->quarantine.find(aWorker);
  if (quarantined != this->quarantine.end()) {
    this->probes.erase({ quarantined->second.nextProbe, aWorker });
    this->quarantine.erase(quarantined);
  }
}

std::vector<WorkerIndex> WorkerHealth::Quarantined() const
{
  std::vector<WorkerIndex> workers;
  for (const auto& [worker, state] : this->quarantine) {
    workers.push_back(worker);
  }
  std::sort(workers.begin(), workers.end());
  return workers;
}

std::optional<WorkerIndex> WorkerHealth::NextProbe(Instant aNow) const
{
  if (this->probes.empty() || this->probes.begin()->first > aNow) {
    return std::nullopt;
  }
  return this->probes.begin()->second;
}

void WorkerHealth::RecordProbe(WorkerIndex aWorker, TaskIndex aTask)
{
  QuarantineState& state = this->quarantine.at(aWorker);
  this->probes.erase({ state.nextProbe, aWorker });
  state.probe = aTask;
  this->counters.Add("placement_probes_total", "started");
}

void WorkerHealth::PostponeProbe(Instant aNow, WorkerIndex aWorker)
{
  this->now = aNow;
  this->ScheduleProbe(aWorker, this->quarantine.at(aWorker), aNow + kProbePostponement);
}

WorkerHealth::Job& WorkerHealth::FindOrAddJob(const JobId& aJob)
{
  const auto [it, added] = this->jobs.try_emplace(aJob);
  if (added) {
    this->jobOrder.push_back(aJob);
    if (this->jobOrder.size() > kMaxTrackedJobs) {
      this->jobs.erase(this->jobOrder.front());
      this->jobOrder.pop_front();
    }
  }
  return this->jobs.find(aJob)->second;
}

void WorkerHealth::DiscountFailures(const JobId& aJob, const Job& aRecord)
{
  for (const WorkerIndex worker : aRecord.failedOn) {
    const auto recentFailures = this->failures.find(worker);
    if (recentFailures != this->failures.end()) {
      std::erase_if(recentFailures->second,
                    [&](const Failure& aFailure) { return aFailure.job == aJob; });
    }
  }
}

void WorkerHealth::ScheduleProbe(WorkerIndex aWorker, QuarantineState& aState, Instant aTime)
{
  this->probes.erase({ aState.nextProbe, aWorker });
  aState.nextProbe = aTime;
  this->probes.emplace(aTime, aWorker);
}

} // namespace oriolespread::internal
