// The queue of one service, ordered by weighted fair queueing among organisations.
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/base/RequestId.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/requests/Outcome.h"

#include <array>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace oriolespread::internal {

struct QueuedRequest
{
  RequestId id;
  OrganisationId organisation;
  RequestClass requestClass = RequestClass::LatencyCritical;
  Instant deadline;
};

// Start-time fair queueing with weights among organisations. Within an organisation,
// latency_critical requests are served before batch requests, and each class is first-in first-out.
// The queue of each organisation and class has a limit. Not thread-safe.
class FairQueue
{
public:
  // Sets the weights; organisations without an entry have weight 1.
  void SetWeights(const std::map<OrganisationId, double>& aWeights);

  // Returns false when the organisation's queue of this class already holds `aLimit` requests.
  bool Push(const QueuedRequest& aRequest, std::size_t aLimit);
  // Puts a request that was popped back at the front of its class; no limit applies.
  void PushFront(const QueuedRequest& aRequest);

  // Returns the next request without removing it, or null. Requests whose deadline is before
  // `aEarliestResponse` are moved to `aDropped` first.
  const QueuedRequest* Peek(Instant aEarliestResponse, std::vector<QueuedRequest>& aDropped);
  // Removes the request that Peek has returned and charges it to its organisation.
  void Pop();
  // Removes a request; returns false when it was not queued.
  bool Remove(const RequestId& aId);
  // Removes and returns all requests.
  std::vector<QueuedRequest> Clear();

  std::size_t size() const { return this->index.size(); }
  bool empty() const { return this->index.empty(); }
  std::size_t SizeOf(const OrganisationId& aOrganisation, RequestClass aClass) const;

private:
  using RequestList = std::list<QueuedRequest>;
  struct Flow
  {
    std::array<RequestList, 2> classes;
    double weight = 1.0;
    double virtualStart = 0.0;

    bool empty() const { return this->classes[0].empty() && this->classes[1].empty(); }
  };

  Flow& Activate(const OrganisationId& aOrganisation);
  Flow* NextFlow();
  RequestList& ListOf(const QueuedRequest& aRequest);

  // An ordered map, so that ties are resolved independently of the hash order.
  std::map<OrganisationId, Flow> flows;
  absl::flat_hash_map<RequestId, RequestList::iterator> index;
  double virtualTime = 0.0;
};

} // namespace oriolespread::internal
