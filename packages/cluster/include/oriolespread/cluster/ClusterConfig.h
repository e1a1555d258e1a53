// The configuration that operators write: queues, worker pools and request limits.
#pragma once

#include "oriolespread/jobs/JobSpec.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::cluster {

struct QueueConfig
{
  // The queue receives the requests to this host whose path begins with the prefix.
  std::string host;
  std::string pathPrefix;
  // Time limit for answers to callers, in milliseconds.
  std::int64_t timeoutMs = 0;
  // Workers for a step must be requested from the advice service.
  bool needsAdvice = false;
  jobs::QueuePolicy policy;

  // Returns where callers reach the queue: the host and the prefix.
  std::string Address() const { return this->host + this->pathPrefix; }
};

struct ServiceConfig
{
  // The workers of the service refuse runs that do not fit.
  bool checksAdmission = false;
};

struct RequestLimits
{
  std::uint32_t headerBytes = 16384;
  std::uint64_t bodyBytes = 262144;
  std::int64_t headerTimeoutMs = 3000;
  std::int64_t idleTimeoutMs = 15000;
};

struct ClusterConfig
{
  std::uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::map<std::string, ServiceConfig> services;
  RequestLimits limits;

  // Returns the queue with the longest matching prefix, or null. A port in `aHost` is ignored.
  const QueueConfig* FindQueue(std::string_view aHost, std::string_view aPath) const;

  // Returns whether the queue has the jobs that were submitted when a queue had this name and this
  // address. They are those of the queue with this name, wherever callers reach it now; if there is
  // none any more, it was renamed, and they are those of the queue at this address.
  bool HasJobsOf(const QueueConfig& aQueue,
                 std::string_view aName,
                 std::string_view aAddress) const;
};

} // namespace oriolespread::cluster
