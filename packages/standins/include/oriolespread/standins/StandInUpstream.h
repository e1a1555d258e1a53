// Stand-in for an upstream: an HTTP service that announces itself to the agent beside it and
// answers every request with a JSON object {upstream, method, path, body, count}.
//
// The header "Stand-In-Delay-Ms" of a request delays its answer. The announcement is repeated each
// second by POST /v1/upstreams to the agent, and withdrawn by DELETE /v1/upstreams/ID.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/standins/HttpService.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace oriolespread {

struct StandInUpstreamOptions
{
  UpstreamId upstream;
  OrganisationId organisation;
  ServiceName service;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Address of the agent's local HTTP interface.
  SocketAddress agent;
};

// Thread-safe.
class StandInUpstream
{
public:
  explicit StandInUpstream(StandInUpstreamOptions aOptions);
  ~StandInUpstream();

  absl::Status Start(const SocketAddress& aAddress);
  // Withdraws the announcement, so that no new requests come.
  void Leave();
  void Stop();
  const SocketAddress& Address() const { return this->service.Address(); }

  // How many requests were received.
  int Total() const { return this->total.load(); }
  void SetDelay(Duration aDelay) { this->delay = aDelay; }

private:
  void Answer(const httplib::Request& aRequest, httplib::Response& aResponse);
  void AnnounceUntilStopped();

  StandInUpstreamOptions options;
  HttpService service;
  std::mutex mutex;
  std::condition_variable wake;
  bool announcing = false;
  std::thread announcer;
  std::atomic<int> total = 0;
  std::atomic<Duration> delay{ Duration::zero() };
};

} // namespace oriolespread
