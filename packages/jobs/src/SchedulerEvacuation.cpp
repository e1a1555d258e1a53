// The part of JobScheduler that keeps tasks from starting in evacuated data centres.
#include "oriolespread/jobs/JobScheduler.h"

#include <utility>

namespace oriolespread::jobs {

void JobScheduler::SetEvacuatedDataCentres(std::set<std::string> aDataCentres)
{
  if (aDataCentres == this->evacuatedDataCentres) {
    return;
  }
  this->evacuatedDataCentres = std::move(aDataCentres);
  std::size_t evacuatedWorkers = 0;
  for (auto& [key, worker] : this->workers) {
    worker.evacuated = this->evacuatedDataCentres.contains(worker.state.dataCentre);
    if (worker.evacuated) {
      ++evacuatedWorkers;
      this->WithdrawStarts(worker);
    }
  }
  this->log("evacuations_applied",
            { { "epoch", this->epoch.Value() },
              { "data_centres", this->evacuatedDataCentres },
              { "workers", evacuatedWorkers } });
}

// Until a full report is compared with the expected runs, as after a leader change, an ordered run
// may be at work.
void JobScheduler::WithdrawStarts(Worker& aWorker)
{
  std::size_t committing = 0;
  std::size_t ordered = 0;
  for (const RunKey& item : aWorker.runs) {
    Run& run = *this->FindRun(item);
    if (run.state == RunState::Committing) {
      ++committing;
    } else if (run.state == RunState::Ordered && aWorker.reconciled) {
      ++ordered;
      this->DropQueuedStart(run, ToRunRef(item));
    } else {
      continue;
    }
    this->StopRun(item.task, run);
  }
  if (committing + ordered == 0) {
    return;
  }
  this->counters.Add("starts_withdrawn_total", "committing", committing);
  this->counters.Add("starts_withdrawn_total", "ordered", ordered);
  this->log("starts_withdrawn",
            { { "worker", aWorker.key.id },
              { "data_centre", aWorker.state.dataCentre },
              { "committing", committing },
              { "ordered", ordered } });
}

void JobScheduler::DropQueuedStart(const Run& aRun, const RunRef& aRef)
{
  const auto outgoing = this->outgoingOrders.find(aRun.agent);
  if (outgoing == this->outgoingOrders.end()) {
    return;
  }
  for (WorkerOrders& message : outgoing->second.messages) {
    std::erase_if(message.starts, [&](const StartRun& aStart) { return aStart.ref == aRef; });
  }
}

} // namespace oriolespread::jobs
