// The agent beside a worker on the users' platform: takes its heartbeats, follows the leading
// entry, and drives the worker by the leader's orders.
//
//   auto agent = ClusterAgent::Create(settings);
//   (*agent)->Run();   // until SIGTERM or SIGINT
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/platformwire/DaemonSettings.h"

#include <memory>

namespace oriolespread::daemon {

class ClusterAgent
{
public:
  static absl::StatusOr<std::unique_ptr<ClusterAgent>> Create(
    platformwire::DaemonSettings aSettings);
  ~ClusterAgent();
  ClusterAgent(const ClusterAgent&) = delete;
  ClusterAgent& operator=(const ClusterAgent&) = delete;

  // Serves on the calling thread until a stop signal.
  void Run();

private:
  class Core;

  explicit ClusterAgent(std::unique_ptr<Core> aCore);

  std::unique_ptr<Core> core;
};

} // namespace oriolespread::daemon
