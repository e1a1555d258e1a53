#include "oriolespread/standins/StandInWorker.h"

#include "oriolespread/platform/PlatformCodec.h"

#include <utility>

namespace oriolespread {

namespace {

using nlohmann::json;

int HttpStatusOf(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kOk:
      return 200;
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAlreadyExists:
      return 409;
    case absl::StatusCode::kFailedPrecondition:
      return 412;
    case absl::StatusCode::kResourceExhausted:
      return 507;
    default:
      return 503;
  }
}

absl::StatusOr<std::string> NoText(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    return aStatus;
  }
  return std::string();
}

AttemptId AttemptOf(const json& aBody)
{
  return aBody.at("attempt").get<AttemptId>();
}

Duration LeaseOf(const json& aBody)
{
  return std::chrono::milliseconds(aBody.at("lease_ms").get<std::int64_t>());
}

template<typename Item>
std::string ListText(const std::vector<Item>& aItems)
{
  json list = json::array();
  for (const Item& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list.dump();
}

} // namespace

StandInWorker::StandInWorker(const Resources& aCapacity)
  : worker(aCapacity)
{
  this->AddAttemptActions();
  this->AddLists();
}

std::vector<WorkerTask> StandInWorker::List()
{
  const std::lock_guard lock(this->mutex);
  return this->worker.List(BootClock::now());
}

std::size_t StandInWorker::Starts()
{
  const std::lock_guard lock(this->mutex);
  return this->worker.Starts();
}

void StandInWorker::AddAction(const std::string& aName, Action aAction)
{
  this->service.Server().Post(
    "/v1/tasks/" + aName,
    [this, action = std::move(aAction)](const httplib::Request& aRequest,
                                        httplib::Response& aResponse) {
      absl::StatusOr<std::string> result = absl::InvalidArgumentError("body is not valid");
      try {
        const json body = json::parse(aRequest.body);
        const std::lock_guard lock(this->mutex);
        result = action(body);
      } catch (const json::exception& error) {
        result = absl::InvalidArgumentError(error.what());
      }
      aResponse.status = HttpStatusOf(result.status());
      aResponse.set_content(result.ok() ? *result : std::string(result.status().message()),
                            "text/plain");
    });
}

void StandInWorker::AddAttemptActions()
{
  this->AddAction("start", [this](const json& aBody) -> absl::StatusOr<std::string> {
    const auto start = WorkerTaskStartFromJson(aBody);
    if (!start.ok()) {
      return start.status();
    }
    return NoText(this->worker.Start(BootClock::now(), *start, LeaseOf(aBody)));
  });
  this->AddAction("renew", [this](const json& aBody) {
    const auto attempts = aBody.at("attempts").get<std::vector<AttemptId>>();
    return NoText(this->worker.Renew(BootClock::now(), attempts, LeaseOf(aBody)));
  });
  this->AddAction("pause", [this](const json& aBody) {
    return NoText(this->worker.Pause(BootClock::now(), AttemptOf(aBody)));
  });
  this->AddAction("resume", [this](const json& aBody) {
    return NoText(this->worker.Resume(BootClock::now(), AttemptOf(aBody), LeaseOf(aBody)));
  });
  this->AddAction("checkpoint", [this](const json& aBody) {
    return this->worker.Checkpoint(BootClock::now(), AttemptOf(aBody));
  });
  this->AddAction("throttle", [this](const json& aBody) {
    const auto grant = aBody.at("grant").get<Resources>();
    return NoText(this->worker.Throttle(BootClock::now(), AttemptOf(aBody), grant));
  });
  this->AddAction("stop", [this](const json& aBody) {
    return NoText(this->worker.Stop(BootClock::now(), AttemptOf(aBody)));
  });
  this->AddAction(
    "forget", [this](const json& aBody) { return NoText(this->worker.Forget(AttemptOf(aBody))); });
}

void StandInWorker::AddLists()
{
  this->service.Server().Get("/v1/tasks",
                             [this](const httplib::Request&, httplib::Response& aResponse) {
                               aResponse.set_content(ListText(this->List()), "application/json");
                             });
  this->service.Server().Get(
    "/v1/usage", [this](const httplib::Request&, httplib::Response& aResponse) {
      const std::lock_guard lock(this->mutex);
      aResponse.set_content(ListText(this->worker.Usage(BootClock::now())), "application/json");
    });
}

} // namespace oriolespread
