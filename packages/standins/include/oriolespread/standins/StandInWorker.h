// Stand-in for the platform's worker interface over HTTP, around a MemoryWorker.
#pragma once

#include "oriolespread/standins/HttpService.h"
#include "oriolespread/standins/MemoryWorker.h"

#include <functional>
#include <mutex>

namespace oriolespread {

// Thread-safe.
class StandInWorker
{
public:
  explicit StandInWorker(const Resources& aCapacity);

  absl::Status Start(const SocketAddress& aAddress) { return this->service.Start(aAddress); }
  void Stop() { this->service.Stop(); }
  const SocketAddress& Address() const { return this->service.Address(); }
  std::vector<WorkerTask> List();
  std::size_t Starts();

private:
  using Action = std::function<absl::StatusOr<std::string>(const nlohmann::json&)>;
  // Adds POST /v1/tasks/NAME, which answers with the action's text or status.
  void AddAction(const std::string& aName, Action aAction);
  void AddAttemptActions();
  void AddLists();

  std::mutex mutex;
  MemoryWorker worker;
  HttpService service;
};

} // namespace oriolespread
