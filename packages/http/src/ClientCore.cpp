#include "ClientCore.h"

#include "ClientConnection.h"

#include <algorithm>

namespace oriolespread::internal {

void ClientCall::Finish(const HttpResult& aResult)
{
  this->timer.cancel();
  const HttpClient::Callback run = std::move(this->callback);
  this->callback = nullptr;
  if (run != nullptr) {
    run(aResult);
  }
}

ClientCore::ClientCore(asio::io_context& aContext,
                       asio::ip::tcp::endpoint aEndpoint,
                       HttpClientLimits aLimits,
                       Counters& aCounters)
  : context(aContext)
  , endpoint(std::move(aEndpoint))
  , limits(aLimits)
  , counters(aCounters)
{
}

void ClientCore::Call(HttpRequest aRequest, Duration aTimeout, HttpClient::Callback aCallback)
{
  auto call =
    std::make_shared<ClientCall>(this->context, std::move(aRequest), std::move(aCallback));
  if (this->waiting.size() >= this->limits.waitingCalls) {
    this->counters.Add("http_calls_failed_total", "queue_full");
    asio::post(this->context, [self = this->shared_from_this(), call] {
      if (!self->closed) {
        call->Finish({ HttpEnd::NotSent, {}, "queue_full" });
      }
    });
    return;
  }
  call->timer.expires_after(aTimeout);
  call->timer.async_wait([self = this->shared_from_this(), call](asio::error_code aError) {
    if (!aError && !self->closed) {
      self->OnTimeout(call);
    }
  });
  this->waiting.push_back(std::move(call));
  this->Assign();
}

void ClientCore::Assign()
{
  while (!this->closed && !this->waiting.empty() && this->busy.size() < this->limits.connections) {
    std::shared_ptr<ClientConnection> connection = this->TakeIdle();
    if (connection == nullptr) {
      connection = std::make_shared<ClientConnection>(this->shared_from_this());
    }
    std::shared_ptr<ClientCall> call = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->busy.push_back(connection);
    call->connection = connection;
    connection->Run(std::move(call));
  }
}

std::shared_ptr<ClientConnection> ClientCore::TakeIdle()
{
  const Instant now = BootClock::now();
  while (!this->idle.empty()) {
    std::shared_ptr<ClientConnection> connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (now - connection->LastUsed() < this->limits.idleTimeout) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void ClientCore::OnTimeout(const std::shared_ptr<ClientCall>& aCall)
{
  this->counters.Add("http_calls_failed_total", "timeout");
  if (const auto connection = aCall->connection.lock(); connection != nullptr) {
    connection->Abort("timeout");
    return;
  }
  const auto it = std::find(this->waiting.begin(), this->waiting.end(), aCall);
  if (it != this->waiting.end()) {
    this->waiting.erase(it);
  }
  aCall->Finish({ HttpEnd::NotSent, {}, "timeout" });
}

void ClientCore::Release(const std::shared_ptr<ClientConnection>& aConnection, bool aReusable)
{
  const auto it = std::find(this->busy.begin(), this->busy.end(), aConnection);
  if (it != this->busy.end()) {
    this->busy.erase(it);
  }
  if (aReusable && !this->closed) {
    this->idle.push_back(aConnection);
  }
  this->Assign();
}

void ClientCore::Close()
{
  this->closed = true;
  for (const auto& call : this->waiting) {
    call->timer.cancel();
    call->callback = nullptr;
  }
  this->waiting.clear();
  const auto open = std::move(this->busy);
  this->busy.clear();
  for (const auto& connection : open) {
    connection->Close();
  }
  for (const auto& connection : this->idle) {
    connection->Close();
  }
  this->idle.clear();
}

} // namespace oriolespread::internal
