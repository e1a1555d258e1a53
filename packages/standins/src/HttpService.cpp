#include "oriolespread/standins/HttpService.h"

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

absl::Status HttpService::Start(const HttpAddress& aAddress)
{
  this->address = aAddress;
  if (aAddress.port == 0) {
    const int port = this->server.bind_to_any_port(aAddress.host);
    if (port <= 0) {
      return absl::UnavailableError("cannot bind " + ToString(aAddress));
    }
    this->address.port = static_cast<std::uint16_t>(port);
  } else if (!this->server.bind_to_port(aAddress.host, aAddress.port)) {
    return absl::UnavailableError("cannot bind " + ToString(aAddress));
  }
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
  // stop() before the listening loop has begun would be lost.
  while (!this->server.is_running()) {
    std::this_thread::yield();
  }
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
