#include "oriolespread/standins/StandInPlatform.h"

#include "oriolespread/platform/PlatformCodec.h"

#include <chrono>
#include <thread>

namespace oriolespread {

namespace {

constexpr const char* kJson = "application/json";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Breaks the connection in the middle of the answer, so that the client cannot read it.
void LoseAnswer(httplib::Response& aResponse)
{
  aResponse.set_content_provider(
    1024, kJson, [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

StandInPlatform::StandInPlatform()
{
  this->AddTableRoutes();
  this->AddObjectRoutes();
  this->AddFaultRoute();
}

bool StandInPlatform::Admit(httplib::Response& aResponse)
{
  const int delayMs = this->faults.delayMs.load();
  if (delayMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delayMs));
  }
  if (this->faults.down.load()) {
    aResponse.status = kUnavailable;
    return false;
  }
  return true;
}

void StandInPlatform::AddTableRoutes()
{
  this->service.Server().Post(
    "/v1/transactions", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (!this->Admit(aResponse)) {
        return;
      }
      const auto transaction = TransactionFromJson(aRequest.body);
      if (!transaction.ok()) {
        aResponse.status = kBadRequest;
        return;
      }
      const CommitOutcome outcome = this->contents.Commit(*transaction);
      if (this->faults.loseAnswers.load() > 0) {
        --this->faults.loseAnswers;
        LoseAnswer(aResponse);
        return;
      }
      aResponse.set_content(ToJson(outcome).dump(), kJson);
    });
  this->service.Server().Post(
    "/v1/fates", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (!this->Admit(aResponse)) {
        return;
      }
      const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
      if (!body.is_object() || !body.contains("id") || !body["id"].is_string()) {
        aResponse.status = kBadRequest;
        return;
      }
      const FateOutcome fate = this->contents.ReadFate(body["id"].get<TransactionId>());
      aResponse.set_content(ToJson(fate).dump(), kJson);
    });
  this->service.Server().Get(
    "/v1/rows", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (!this->Admit(aResponse)) {
        return;
      }
      const std::string limit = aRequest.get_param_value("limit");
      const std::size_t count = std::strtoul(limit.c_str(), nullptr, 10);
      const auto page = this->contents.Scan(
        aRequest.get_param_value("prefix"), aRequest.get_param_value("after"), count);
      aResponse.set_content(ToJson(*page).dump(), kJson);
    });
}

void StandInPlatform::AddObjectRoutes()
{
  const char* pattern = R"(/v1/objects/([A-Za-z0-9._-]+))";
  this->service.Server().Put(
    pattern, [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (this->Admit(aResponse)) {
        (void)this->contents.Put(aRequest.matches[1], aRequest.body);
      }
    });
  this->service.Server().Get(
    pattern, [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (!this->Admit(aResponse)) {
        return;
      }
      const auto content = this->contents.Get(aRequest.matches[1]);
      if (!content.ok()) {
        aResponse.status = kNotFound;
        return;
      }
      aResponse.set_content(*content, "application/octet-stream");
    });
  this->service.Server().Delete(
    pattern, [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (this->Admit(aResponse)) {
        (void)this->contents.Delete(aRequest.matches[1]);
      }
    });
}

void StandInPlatform::AddFaultRoute()
{
  this->service.Server().Post(
    "/v1/faults", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto body = nlohmann::json::parse(aRequest.body, nullptr, false);
      if (!body.is_object()) {
        aResponse.status = kBadRequest;
        return;
      }
      this->faults.down = body.value("down", false);
      this->faults.delayMs = body.value("delay_ms", 0);
      this->faults.loseAnswers = body.value("lose_answers", 0);
      aResponse.set_content("{}", kJson);
    });
}

} // namespace oriolespread
