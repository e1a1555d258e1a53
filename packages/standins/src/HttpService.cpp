#include "oriolespread/standins/HttpService.h"

#include "oriolespread/platform/HttpListen.h"

namespace oriolespread {

namespace {

constexpr std::size_t kThreads = 80;

} // namespace

HttpService::HttpService()
{
  this->server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  this->server.set_tcp_nodelay(true);
  this->server.set_keep_alive_max_count(1'000'000);
  // Stop waits for idle connections to reach this limit.
  this->server.set_keep_alive_timeout(1);
}

HttpService::~HttpService()
{
  this->Stop();
}

absl::Status HttpService::Start(const SocketAddress& aAddress)
{
  const auto port = BindHttp(this->server, aAddress);
  if (!port.ok()) {
    return port.status();
  }
  this->address = { aAddress.ip, *port };
  this->thread = ServeHttp(this->server);
  return absl::OkStatus();
}

void HttpService::Stop()
{
  if (!this->thread.joinable()) {
    return;
  }
  this->server.stop();
  this->thread.join();
}

} // namespace oriolespread
