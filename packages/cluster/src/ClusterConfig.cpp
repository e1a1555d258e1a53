#include "oriolespread/cluster/ClusterConfig.h"

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

} // namespace oriolespread::cluster
