// An entry on the users' platform: takes jobs from callers, and leads the cluster when it is its
// turn.
//
//   auto entry = ClusterEntry::Create(settings);
//   (*entry)->Run();   // until SIGTERM or SIGINT
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/platformwire/DaemonSettings.h"

#include <memory>

namespace oriolespread::daemon {

class ClusterEntry
{
public:
  static absl::StatusOr<std::unique_ptr<ClusterEntry>> Create(
    platformwire::DaemonSettings aSettings);
  ~ClusterEntry();
  ClusterEntry(const ClusterEntry&) = delete;
  ClusterEntry& operator=(const ClusterEntry&) = delete;

  // Serves on the calling thread until a stop signal and the drain that follows it.
  void Run();

private:
  class Core;

  explicit ClusterEntry(std::unique_ptr<Core> aCore);

  std::unique_ptr<Core> core;
};

} // namespace oriolespread::daemon
