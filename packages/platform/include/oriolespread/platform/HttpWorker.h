// Blocking client of the worker's HTTP interface: POST /v1/tasks/{start,renew,pause,resume,
// checkpoint,throttle,stop,forget}, GET /v1/tasks and GET /v1/usage.
#pragma once

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/platform/WorkerPort.h"

#include <memory>

namespace httplib {
class Client;
}

namespace oriolespread {

// Keeps one connection. Not thread-safe: each thread uses its own client. Status codes are those of
// WorkerPort: Unavailable means that the effect is not known.
class HttpWorker
{
public:
  HttpWorker(const SocketAddress& aAddress, Duration aTimeout);
  ~HttpWorker();
  HttpWorker(HttpWorker&&) noexcept;

  absl::Status Start(const WorkerTaskStart& aStart, Duration aLease);
  absl::Status Renew(const std::vector<AttemptId>& aAttempts, Duration aLease);
  absl::Status Pause(const AttemptId& aAttempt);
  absl::Status Resume(const AttemptId& aAttempt, Duration aLease);
  absl::StatusOr<std::string> Checkpoint(const AttemptId& aAttempt);
  absl::Status Throttle(const AttemptId& aAttempt, const Resources& aGrant);
  absl::Status Stop(const AttemptId& aAttempt);
  absl::Status Forget(const AttemptId& aAttempt);
  absl::StatusOr<std::vector<WorkerTask>> List();
  absl::StatusOr<std::vector<WorkerTaskUsage>> Usage();

private:
  absl::StatusOr<std::string> Post(const std::string& aAction, const nlohmann::json& aBody);

  std::unique_ptr<httplib::Client> client;
};

} // namespace oriolespread
