// One agent: everything that the binary `oriolespread-agent` runs.
//
//   auto agent = AgentServer::Create(settings);
//   (*agent)->Start();
//   ...
//   (*agent)->Shutdown();
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/settings/AgentSettings.h"

#include <httplib.h>

#include <atomic>
#include <memory>
#include <thread>

namespace oriolespread {

class AgentCore;

// Start, Shutdown and Abort are called from one thread.
class AgentServer
{
public:
  // Binds the local HTTP interface. Returns Unavailable when that fails.
  static absl::StatusOr<std::unique_ptr<AgentServer>> Create(AgentSettings aSettings);
  ~AgentServer();

  void Start();
  // Withdraws the upstreams, lets requests in progress end for at most the drain time, closes the
  // links and stops. Returns whether every request ended in time.
  bool Shutdown();
  // Ends at once, as a crash would, for tests.
  void Abort();

  std::uint16_t HttpPort() const { return this->port; }
  const Counters& Events() const { return this->counters; }

private:
  explicit AgentServer(AgentSettings aSettings);
  absl::Status Bind();
  void AddRoutes();
  void ServeAnnouncement(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeWithdrawal(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeStatus(httplib::Response& aResponse);

  AgentSettings settings;
  Counters counters;
  EventLoop loop;
  std::unique_ptr<AgentCore> core;
  httplib::Server server;
  std::thread thread;
  std::uint16_t port = 0;
  std::atomic<bool> ready = true;
  bool running = false;
};

} // namespace oriolespread
