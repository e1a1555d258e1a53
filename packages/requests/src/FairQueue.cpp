#include "FairQueue.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// Keeps the charge of a request finite.
constexpr double kLowestWeight = 1e-6;

} // namespace

void FairQueue::SetWeights(const std::map<OrganisationId, double>& aWeights)
{
  for (auto& [organisation, flow] : this->flows) {
    flow.weight = 1.0;
  }
  for (const auto& [organisation, weight] : aWeights) {
    this->flows[organisation].weight = std::max(weight, kLowestWeight);
  }
}

bool FairQueue::Push(const QueuedRequest& aRequest, std::size_t aLimit)
{
  Flow& flow = this->Activate(aRequest.organisation);
  Waiting& waiting = flow.classes[static_cast<std::size_t>(aRequest.requestClass)];
  if (waiting.size() >= aLimit) {
    return false;
  }
  waiting.push_back(aRequest);
  this->index[aRequest.id] = std::prev(waiting.end());
  return true;
}

void FairQueue::PushFront(const QueuedRequest& aRequest)
{
  Flow& flow = this->Activate(aRequest.organisation);
  Waiting& waiting = flow.classes[static_cast<std::size_t>(aRequest.requestClass)];
  waiting.push_front(aRequest);
  this->index[aRequest.id] = waiting.begin();
}

const QueuedRequest* FairQueue::Peek(Instant aEarliestAnswer, std::vector<QueuedRequest>& aDropped)
{
  while (Flow* flow = this->NextFlow()) {
    for (Waiting& waiting : flow->classes) {
      while (!waiting.empty() && waiting.front().deadline < aEarliestAnswer) {
        aDropped.push_back(waiting.front());
        this->index.erase(waiting.front().id);
        waiting.pop_front();
      }
      if (!waiting.empty()) {
        return &waiting.front();
      }
    }
  }
  return nullptr;
}

void FairQueue::Pop()
{
  Flow* flow = this->NextFlow();
  if (flow == nullptr) {
    return;
  }
  Waiting& waiting = flow->classes[flow->classes[0].empty() ? 1 : 0];
  this->index.erase(waiting.front().id);
  waiting.pop_front();
  this->virtualTime = flow->virtualStart;
  flow->virtualStart += 1.0 / flow->weight;
}

bool FairQueue::Remove(const RequestId& aId)
{
  const auto found = this->index.find(aId);
  if (found == this->index.end()) {
    return false;
  }
  const Waiting::iterator place = found->second;
  this->index.erase(found);
  this->ListOf(*place).erase(place);
  return true;
}

std::vector<QueuedRequest> FairQueue::Clear()
{
  std::vector<QueuedRequest> all;
  for (auto& [organisation, flow] : this->flows) {
    for (Waiting& waiting : flow.classes) {
      all.insert(all.end(), waiting.begin(), waiting.end());
      waiting.clear();
    }
  }
  this->index.clear();
  return all;
}

std::size_t FairQueue::SizeOf(const OrganisationId& aOrganisation, RequestClass aClass) const
{
  const auto found = this->flows.find(aOrganisation);
  return found == this->flows.end()
           ? 0
           : found->second.classes[static_cast<std::size_t>(aClass)].size();
}

FairQueue::Flow& FairQueue::Activate(const OrganisationId& aOrganisation)
{
  Flow& flow = this->flows[aOrganisation];
  if (flow.empty()) {
    // An organisation that was idle has no claim to the past.
    flow.virtualStart = std::max(flow.virtualStart, this->virtualTime);
  }
  return flow;
}

FairQueue::Flow* FairQueue::NextFlow()
{
  Flow* next = nullptr;
  for (auto& [organisation, flow] : this->flows) {
    if (!flow.empty() && (next == nullptr || flow.virtualStart < next->virtualStart)) {
      next = &flow;
    }
  }
  return next;
}

FairQueue::Waiting& FairQueue::ListOf(const QueuedRequest& aRequest)
{
  return this->flows[aRequest.organisation]
    .classes[static_cast<std::size_t>(aRequest.requestClass)];
}

} // namespace oriolespread::internal
