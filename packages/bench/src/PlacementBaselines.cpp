// The baseline placers of the measurements.
#include "PlacementSimulation.h"

#include <algorithm>

namespace oriolespread::bench {

namespace {

constexpr int kRandomTries = 8;

bool IsBatch(const PlacementRequest& aRequest)
{
  return aRequest.taskClass == TaskClass::Batch && !aRequest.urgent;
}

} // namespace

void RandomPlacer::SetWorker(const WorkerSpec& aSpec)
{
  this->workers.push_back({ aSpec, {} });
}

void RandomPlacer::Submit(Instant /*aNow*/, const PlacementRequest& aRequest)
{
  this->queue.push_back(aRequest);
}

void RandomPlacer::Release(const TaskId& aTask)
{
  const auto it = this->placed.find(aTask);
  if (it != this->placed.end()) {
    this->workers[it->second.first].used -= it->second.second;
    this->placed.erase(it);
  }
}

std::vector<PlacementAction> RandomPlacer::Schedule(Instant /*aNow*/, std::size_t aLimit)
{
  std::vector<PlacementAction> actions;
  std::erase_if(this->queue, [&](const PlacementRequest& aRequest) {
    return actions.size() < aLimit && this->TryPlace(aRequest, actions);
  });
  return actions;
}

bool RandomPlacer::TryPlace(const PlacementRequest& aRequest,
                            std::vector<PlacementAction>& aActions)
{
  for (int i = 0; i < kRandomTries; ++i) {
    const std::size_t index = this->random.Below(this->workers.size());
    Worker& worker = this->workers[index];
    if ((worker.used + aRequest.declared).FitsIn(worker.spec.capacity)) {
      worker.used += aRequest.declared;
      this->placed[aRequest.task] = { index, aRequest.declared };
      aActions.emplace_back(PlaceTask{ aRequest.task, worker.spec.worker, aRequest.declared });
      return true;
    }
  }
  return false;
}

void PreemptNewestPlacer::SetWorker(const WorkerSpec& aSpec)
{
  this->workers.push_back({ aSpec, {}, {}, {} });
}

void PreemptNewestPlacer::Submit(Instant /*aNow*/, const PlacementRequest& aRequest)
{
  this->queue.push_back(aRequest);
}

void PreemptNewestPlacer::Release(const TaskId& aTask)
{
  const auto it = this->placed.find(aTask);
  if (it == this->placed.end()) {
    return;
  }
  Worker& worker = this->workers[it->second];
  const auto running =
    std::find_if(worker.running.begin(), worker.running.end(), [&](const Running& aRunning) {
      return aRunning.request.task == aTask;
    });
  worker.used -= running->request.declared;
  worker.running.erase(running);
  this->placed.erase(it);
}

std::vector<PlacementAction> PreemptNewestPlacer::Schedule(Instant /*aNow*/, std::size_t aLimit)
{
  std::vector<PlacementAction> actions;
  this->PlacePromised(actions);
  std::stable_partition(this->queue.begin(),
                        this->queue.end(),
                        [](const PlacementRequest& aRequest) { return aRequest.urgent; });
  std::erase_if(this->queue, [&](const PlacementRequest& aRequest) {
    return actions.size() < aLimit && (this->TryPlace(aRequest, actions) ||
                                       (aRequest.urgent && this->Preempt(aRequest, actions)));
  });
  return actions;
}

bool PreemptNewestPlacer::PlacePromised(std::vector<PlacementAction>& aActions)
{
  std::erase_if(this->promised, [&](const auto& aPromise) {
    const auto& [request, index] = aPromise;
    Worker& worker = this->workers[index];
    if (!(worker.used + request.declared).FitsIn(worker.spec.capacity)) {
      return false;
    }
    worker.promised -= request.declared;
    worker.used += request.declared;
    worker.running.push_back({ request });
    this->placed[request.task] = index;
    aActions.emplace_back(PlaceTask{ request.task, worker.spec.worker, request.declared });
    return true;
  });
  return true;
}

bool PreemptNewestPlacer::TryPlace(const PlacementRequest& aRequest,
                                   std::vector<PlacementAction>& aActions)
{
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    Worker& worker = this->workers[i];
    const Resources taken = worker.used + worker.promised;
    if ((taken + aRequest.declared).FitsIn(worker.spec.capacity)) {
      worker.used += aRequest.declared;
      worker.running.push_back({ aRequest });
      this->placed[aRequest.task] = i;
      aActions.emplace_back(PlaceTask{ aRequest.task, worker.spec.worker, aRequest.declared });
      return true;
    }
  }
  return false;
}

bool PreemptNewestPlacer::Preempt(const PlacementRequest& aRequest,
                                  std::vector<PlacementAction>& aActions)
{
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    Worker& worker = this->workers[i];
    // What is left once the tasks that stop have stopped.
    Resources taken = worker.promised + aRequest.declared;
    for (const Running& running : worker.running) {
      taken += running.evicting ? Resources{} : running.request.declared;
    }
    std::vector<Running*> victims;
    for (auto it = worker.running.rbegin();
         it != worker.running.rend() && !taken.FitsIn(worker.spec.capacity);
         ++it) {
      if (!it->evicting && IsBatch(it->request)) {
        taken -= it->request.declared;
        victims.push_back(&*it);
      }
    }
    if (taken.FitsIn(worker.spec.capacity)) {
      for (Running* victim : victims) {
        victim->evicting = true;
        aActions.emplace_back(EvictTask{ victim->request.task, EvictionReason::Preempted });
      }
      worker.promised += aRequest.declared;
      this->promised.emplace_back(aRequest, i);
      return true;
    }
  }
  return false;
}

} // namespace oriolespread::bench
