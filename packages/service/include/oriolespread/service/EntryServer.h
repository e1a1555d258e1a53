// One entry: everything that the binary `oriolespread serve` runs.
//
//   auto entry = EntryServer::Create(settings);
//   (*entry)->Start();
//   ...
//   (*entry)->Shutdown();
#pragma once

#include "oriolespread/service/ApiServer.h"
#include "oriolespread/service/ControlDriver.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/RequestDriver.h"
#include "oriolespread/service/StoreClient.h"
#include "oriolespread/settings/EntrySettings.h"

#include <memory>

namespace oriolespread {

// Start, Drain and Shutdown are called from one thread; the rest is thread-safe.
class EntryServer
{
public:
  // Binds both listeners. Returns Unavailable when one cannot be bound.
  static absl::StatusOr<std::unique_ptr<EntryServer>> Create(EntrySettings aSettings);
  ~EntryServer();

  void Start();
  // Fails readiness, answers what is in progress for at most the drain time, then stops. Returns
  // whether everything was answered in time.
  bool Shutdown();
  // Ends at once, as a crash would, for tests.
  void Abort();

  std::uint16_t HttpPort() const { return this->api->Port(); }
  std::uint16_t LinkPort() const { return this->requests->LinkPort(); }
  ControlStatus Status() const { return this->control->Status(); }
  const Counters& Events() const { return this->counters; }

private:
  explicit EntryServer(EntrySettings aSettings);
  absl::Status Open();

  EntrySettings settings;
  Counters counters;
  Incarnation incarnation;
  std::unique_ptr<StorePool> store;
  EventLoop requestLoop;
  EventLoop controlLoop;
  std::unique_ptr<RequestDriver> requests;
  std::unique_ptr<ControlDriver> control;
  std::unique_ptr<ApiServer> api;
  bool running = false;
};

} // namespace oriolespread
