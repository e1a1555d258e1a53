#include "FairQueue.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// Keeps the cost of a request, 1 / weight, finite.
constexpr double kMinWeight = 1e-6;

} // namespace

void FairQueue::SetWeights(const std::map<OrganisationId, double>& aWeights)
{
  for (auto& [organisation, flow] : this->flows) {
    flow.weight = 1.0;
  }
  for (const auto& [organisation, weight] : aWeights) {
    this->flows[organisation].weight = std::max(weight, kMinWeight);
  }
}

bool FairQueue::Push(const QueuedRequest& aRequest, std::size_t aLimit)
{
  Flow& flow = this->Activate(aRequest.organisation);
  RequestList& requests = flow.classes[static_cast<std::size_t>(aRequest.requestClass)];
  if (requests.size() >= aLimit) {
    return false;
  }
  requests.push_back(aRequest);
  this->index[aRequest.id] = std::prev(requests.end());
  return true;
}

void FairQueue::PushFront(const QueuedRequest& aRequest)
{
  Flow& flow = this->Activate(aRequest.organisation);
  RequestList& requests = flow.classes[static_cast<std::size_t>(aRequest.requestClass)];
  requests.push_front(aRequest);
  this->index[aRequest.id] = requests.begin();
}

const QueuedRequest* FairQueue::Peek(Instant aEarliestResponse,
                                     std::vector<QueuedRequest>& aDropped)
{
  while (Flow* flow = this->NextFlow()) {
    for (RequestList& requests : flow->classes) {
      while (!requests.empty() && requests.front().deadline < aEarliestResponse) {
        aDropped.push_back(requests.front());
        this->index.erase(requests.front().id);
        requests.pop_front();
      }
      if (!requests.empty()) {
        return &requests.front();
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
  RequestList& requests = flow->classes[flow->classes[0].empty() ? 1 : 0];
  this->index.erase(requests.front().id);
  requests.pop_front();
  this->virtualTime = flow->virtualStart;
  flow->virtualStart += 1.0 / flow->weight;
}

bool FairQueue::Remove(const RequestId& aId)
{
  const auto found = this->index.find(aId);
  if (found == this->index.end()) {
    return false;
  }
  const RequestList::iterator position = found->second;
  this->index.erase(found);
  this->ListOf(*position).erase(position);
  return true;
}

std::vector<QueuedRequest> FairQueue::Clear()
{
  std::vector<QueuedRequest> all;
  for (auto& [organisation, flow] : this->flows) {
    for (RequestList& requests : flow.classes) {
      all.insert(all.end(), requests.begin(), requests.end());
      requests.clear();
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
    // An organisation gains no credit for the time in which it was idle.
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

FairQueue::RequestList& FairQueue::ListOf(const QueuedRequest& aRequest)
{
  return this->flows[aRequest.organisation]
    .classes[static_cast<std::size_t>(aRequest.requestClass)];
}

} // namespace oriolespread::internal
