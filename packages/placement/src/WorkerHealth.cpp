#include "WorkerHealth.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

// Failures further apart than this are not taken for one cause.
constexpr Duration kFailureWindow = minutes(10);
constexpr Duration kFirstBackOff = seconds(10);
constexpr Duration kMaxBackOff = minutes(5);
constexpr Duration kPostponement = seconds(1);
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
  Job& job = this->JobOf(aJob);
  if (job.failedOn.size() < kDistinct &&
      std::find(job.failedOn.begin(), job.failedOn.end(), aWorker) == job.failedOn.end()) {
    job.failedOn.push_back(aWorker);
  }
  const auto confined = this->quarantine.find(aWorker);
  if (confined != this->quarantine.end()) {
    Confinement& confinement = confined->second;
    if (confinement.probe == aTask) {
      confinement.probe = kNone;
      confinement.successes = 0;
      confinement.backOff = std::min(confinement.backOff * 2, kMaxBackOff);
      this->ScheduleProbe(aWorker, confinement, aNow + confinement.backOff);
    }
    return HealthChange::None;
  }
  if (job.failedOn.size() >= kDistinct && !job.succeeded) {
    this->counters.Add("placement_failures_discounted_total", "bad_job");
    this->Discount(aJob, job);
    return HealthChange::None;
  }
  std::vector<Failure>& marks = this->failures[aWorker];
  std::erase_if(marks, [&](const Failure& aFailure) {
    return aFailure.job == aJob || aFailure.at + kFailureWindow < aNow;
  });
  marks.push_back({ aJob, aNow });
  if (marks.size() < kDistinct || !this->Quarantine(aNow, aWorker, aWorkers)) {
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
  const auto confined = this->quarantine.find(aWorker);
  if (confined == this->quarantine.end() || confined->second.probe != aTask) {
    return HealthChange::None;
  }
  Confinement& confinement = confined->second;
  confinement.probe = kNone;
  if (++confinement.successes < kProbesToRelease) {
    this->ScheduleProbe(aWorker, confinement, this->now);
    return HealthChange::None;
  }
  this->counters.Add("placement_quarantine_total", "released");
  this->Forget(aWorker);
  return HealthChange::Released;
}

void WorkerHealth::RecordEnd(WorkerIndex aWorker, TaskIndex aTask)
{
  const auto confined = this->quarantine.find(aWorker);
  if (confined != this->quarantine.end() && confined->second.probe == aTask) {
    confined->second.probe = kNone;
    this->ScheduleProbe(aWorker, confined->second, this->now);
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
  Confinement& confinement = this->quarantine[aWorker];
  confinement.backOff = kFirstBackOff;
  this->ScheduleProbe(aWorker, confinement, aNow + kFirstBackOff);
  return true;
}

void WorkerHealth::Forget(WorkerIndex aWorker)
{
  this->failures.erase(aWorker);
  const auto confined = this->quarantine.find(aWorker);
  if (confined != this->quarantine.end()) {
    this->probes.erase({ confined->second.nextProbe, aWorker });
    this->quarantine.erase(confined);
  }
}

std::vector<WorkerIndex> WorkerHealth::Quarantined() const
{
  std::vector<WorkerIndex> workers;
  for (const auto& [worker, confinement] : this->quarantine) {
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
  Confinement& confinement = this->quarantine.at(aWorker);
  this->probes.erase({ confinement.nextProbe, aWorker });
  confinement.probe = aTask;
  this->counters.Add("placement_probes_total", "started");
}

void WorkerHealth::PostponeProbe(Instant aNow, WorkerIndex aWorker)
{
  this->now = aNow;
  this->ScheduleProbe(aWorker, this->quarantine.at(aWorker), aNow + kPostponement);
}

WorkerHealth::Job& WorkerHealth::JobOf(const JobId& aJob)
{
  const auto [it, added] = this->jobs.try_emplace(aJob);
  if (added) {
    this->jobOrder.push_back(aJob);
    if (this->jobOrder.size() > kMaxJobs) {
      this->jobs.erase(this->jobOrder.front());
      this->jobOrder.pop_front();
    }
  }
  return this->jobs.find(aJob)->second;
}

void WorkerHealth::Discount(const JobId& aJob, const Job& aRecord)
{
  for (const WorkerIndex worker : aRecord.failedOn) {
    const auto marks = this->failures.find(worker);
    if (marks != this->failures.end()) {
      std::erase_if(marks->second, [&](const Failure& aFailure) { return aFailure.job == aJob; });
    }
  }
}

void WorkerHealth::ScheduleProbe(WorkerIndex aWorker, Confinement& aConfinement, Instant aAt)
{
  this->probes.erase({ aConfinement.nextProbe, aWorker });
  aConfinement.nextProbe = aAt;
  this->probes.emplace(aAt, aWorker);
}

} // namespace oriolespread::internal
