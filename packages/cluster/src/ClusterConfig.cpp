#include "oriolespread/cluster/ClusterConfig.h"

#include <algorithm>

namespace oriolespread::cluster {

const QueueConfig* ClusterConfig::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const std::string_view host = aHost.substr(0, aHost.find(':'));
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : this->queues) {
    if (queue.host == host && aPath.starts_with(queue.pathPrefix) &&
        (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

bool ClusterConfig::HasJobsOf(const QueueConfig& aQueue,
                              std::string_view aName,
                              std::string_view aAddress) const
{
  if (aQueue.policy.queue == aName) {
    return true;
  }
  const bool isNamed =
    std::any_of(this->queues.begin(), this->queues.end(), [&](const QueueConfig& aOther) {
      return aOther.policy.queue == aName;
    });
  return !isNamed && !aAddress.empty() && aQueue.Address() == aAddress;
}

} // namespace oriolespread::cluster
