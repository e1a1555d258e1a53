// The part of JobScheduler that logs what it waits for.
#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/jobs/PlacementChoice.h"

#include <algorithm>

namespace oriolespread::jobs {

namespace {

// Steps that wait for longer than this are logged, one at each interval, so that a backlog of
// hundreds of steps does not fill the log.
constexpr Duration kWaitingLogDelay = std::chrono::milliseconds(2000);
constexpr Duration kWaitingLogInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxLoggedWorkers = 10;

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

} // namespace oriolespread::jobs
