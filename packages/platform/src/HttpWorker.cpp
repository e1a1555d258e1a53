#include "oriolespread/platform/HttpWorker.h"

#include "HttpClient.h"

#include "oriolespread/platform/PlatformCodec.h"

namespace oriolespread {

namespace {

constexpr const char* kJson = "application/json";

} // namespace

HttpWorker::HttpWorker(const SocketAddress& aAddress, Duration aTimeout)
  : client(internal::MakeClient(aAddress, aTimeout))
{
}

HttpWorker::~HttpWorker() = default;
HttpWorker::HttpWorker(HttpWorker&&) noexcept = default;

absl::StatusOr<std::string> HttpWorker::Post(const std::string& aAction,
                                             const nlohmann::json& aBody)
{
  const auto result = this->client->Post("/v1/tasks/" + aAction, aBody.dump(), kJson);
  if (const absl::Status status = internal::ToStatus(result); !status.ok()) {
    return status;
  }
  return result->body;
}

absl::Status HttpWorker::Start(const WorkerTaskStart& aStart, Duration aLease)
{
  nlohmann::json body = ToJson(aStart);
  body["lease_ms"] = ToMilliseconds(aLease);
  return this->Post("start", body).status();
}

absl::Status HttpWorker::Renew(const std::vector<AttemptId>& aAttempts, Duration aLease)
{
  return this->Post("renew", { { "attempts", aAttempts }, { "lease_ms", ToMilliseconds(aLease) } })
    .status();
}

absl::Status HttpWorker::Pause(const AttemptId& aAttempt)
{
  return this->Post("pause", { { "attempt", aAttempt } }).status();
}

absl::Status HttpWorker::Resume(const AttemptId& aAttempt, Duration aLease)
{
  return this->Post("resume", { { "attempt", aAttempt }, { "lease_ms", ToMilliseconds(aLease) } })
    .status();
}

absl::StatusOr<std::string> HttpWorker::Checkpoint(const AttemptId& aAttempt)
{
  return this->Post("checkpoint", { { "attempt", aAttempt } });
}

absl::Status HttpWorker::Throttle(const AttemptId& aAttempt, const Resources& aGrant)
{
  return this->Post("throttle", { { "attempt", aAttempt }, { "grant", aGrant } }).status();
}

absl::Status HttpWorker::Stop(const AttemptId& aAttempt)
{
  return this->Post("stop", { { "attempt", aAttempt } }).status();
}

absl::Status HttpWorker::Forget(const AttemptId& aAttempt)
{
  return this->Post("forget", { { "attempt", aAttempt } }).status();
}

absl::StatusOr<std::vector<WorkerTask>> HttpWorker::List()
{
  const auto result = this->client->Get("/v1/tasks");
  if (const absl::Status status = internal::ToStatus(result); !status.ok()) {
    return status;
  }
  return WorkerTasksFromJson(result->body);
}

absl::StatusOr<std::vector<WorkerTaskUsage>> HttpWorker::Usage()
{
  const auto result = this->client->Get("/v1/usage");
  if (const absl::Status status = internal::ToStatus(result); !status.ok()) {
    return status;
  }
  return WorkerUsageFromJson(result->body);
}

} // namespace oriolespread
