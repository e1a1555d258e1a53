#include "oriolespread/placement/FirstFitPlacer.h"

#include "oriolespread/placement/PlacerPort.h"

#include <algorithm>

namespace oriolespread {

static_assert(PlacerPort<FirstFitPlacer>);

void FirstFitPlacer::SetWorker(const WorkerSpec& aSpec)
{
  this->workers[aSpec.worker].spec = aSpec;
}

void FirstFitPlacer::SetAvailable(const WorkerId& aWorker, bool aAvailable)
{
  const auto it = this->workers.find(aWorker);
  if (it != this->workers.end()) {
    it->second.available = aAvailable;
  }
}

void FirstFitPlacer::RemoveWorker(const WorkerId& aWorker)
{
  this->workers.erase(aWorker);
}

void FirstFitPlacer::Submit(Instant /*aNow*/, const PlacementRequest& aRequest)
{
  this->queue.push_back(aRequest);
}

void FirstFitPlacer::Restore(Instant /*aNow*/,
                             const PlacementRequest& aRequest,
                             const WorkerId& aWorker,
                             const Resources& aGrant)
{
  this->grants.insert_or_assign(aRequest.task, Grant{ aWorker, aGrant });
  this->workers[aWorker].allocated += aGrant;
}

void FirstFitPlacer::Release(const TaskId& aTask)
{
  const auto grant = this->grants.find(aTask);
  if (grant == this->grants.end()) {
    std::erase_if(this->queue,
                  [&](const PlacementRequest& aQueued) { return aQueued.task == aTask; });
    return;
  }
  const auto worker = this->workers.find(grant->second.worker);
  if (worker != this->workers.end()) {
    worker->second.allocated -= grant->second.amount;
  }
  this->grants.erase(grant);
}

std::vector<PlacementAction> FirstFitPlacer::Schedule(Instant /*aNow*/, std::size_t aLimit)
{
  std::vector<PlacementAction> actions;
  std::deque<PlacementRequest> waiting;
  while (!this->queue.empty() && actions.size() < aLimit) {
    if (!this->TryPlace(this->queue.front(), actions)) {
      waiting.push_back(std::move(this->queue.front()));
    }
    this->queue.pop_front();
  }
  this->queue.insert(this->queue.begin(), waiting.begin(), waiting.end());
  return actions;
}

bool FirstFitPlacer::TryPlace(const PlacementRequest& aRequest,
                              std::vector<PlacementAction>& aActions)
{
  for (auto& [id, worker] : this->workers) {
    if (worker.available && (worker.allocated + aRequest.declared).FitsIn(worker.spec.capacity)) {
      worker.allocated += aRequest.declared;
      this->grants.insert_or_assign(aRequest.task, Grant{ id, aRequest.declared });
      aActions.emplace_back(PlaceTask{ aRequest.task, id, aRequest.declared });
      return true;
    }
  }
  return false;
}

} // namespace oriolespread
