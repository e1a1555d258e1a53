#include "oriolespread/standins/StandInUpstream.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace oriolespread {

namespace {

constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr const char* kJson = "application/json";

Duration RequestedDelay(const httplib::Request& aRequest)
{
  const std::string text = aRequest.get_header_value("Stand-In-Delay-Ms");
  return std::chrono::milliseconds(std::strtol(text.c_str(), nullptr, 10));
}

} // namespace

StandInUpstream::StandInUpstream(StandInUpstreamOptions aOptions)
  : options(std::move(aOptions))
{
  const auto answer = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    this->Answer(aRequest, aResponse);
  };
  httplib::Server& server = this->service.Server();
  server.Get(".*", answer);
  server.Post(".*", answer);
  server.Put(".*", answer);
  server.Patch(".*", answer);
  server.Delete(".*", answer);
}

StandInUpstream::~StandInUpstream()
{
  this->Stop();
}

absl::Status StandInUpstream::Start(const SocketAddress& aAddress)
{
  if (const absl::Status status = this->service.Start(aAddress); !status.ok()) {
    return status;
  }
  this->announcing = true;
  this->announcer = std::thread([this] { this->AnnounceUntilStopped(); });
  return absl::OkStatus();
}

void StandInUpstream::Leave()
{
  {
    const std::lock_guard lock(this->mutex);
    if (!this->announcing) {
      return;
    }
    this->announcing = false;
  }
  this->wake.notify_all();
  this->announcer.join();
  httplib::Client client(this->options.agent.ip, this->options.agent.port);
  client.Delete("/v1/upstreams/" + this->options.upstream.Value());
}

void StandInUpstream::Stop()
{
  this->Leave();
  this->service.Stop();
}

void StandInUpstream::Answer(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  const int count = ++this->total;
  const Duration wait = this->delay.load() + RequestedDelay(aRequest);
  if (wait > Duration::zero()) {
    std::this_thread::sleep_for(wait);
  }
  const nlohmann::json body = { { "upstream", this->options.upstream },
                                { "method", aRequest.method },
                                { "path", aRequest.path },
                                { "body", aRequest.body },
                                { "count", count } };
  aResponse.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), kJson);
}

void StandInUpstream::AnnounceUntilStopped()
{
  const nlohmann::json body = { { "upstream", this->options.upstream },
                                { "incarnation", BootClock::now().time_since_epoch().count() },
                                { "organisation", this->options.organisation },
                                { "service", this->options.service },
                                { "address", ToString(this->service.Address()) },
                                { "slots", this->options.slots },
                                { "connections", this->options.connections } };
  httplib::Client client(this->options.agent.ip, this->options.agent.port);
  std::unique_lock lock(this->mutex);
  while (this->announcing) {
    lock.unlock();
    client.Post("/v1/upstreams", body.dump(), kJson);
    lock.lock();
    this->wake.wait_for(lock, kAnnounceInterval, [this] { return !this->announcing; });
  }
}

} // namespace oriolespread
