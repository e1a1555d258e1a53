// Stand-in for the platform's table service and object store, over HTTP, with faults on command:
//
//   POST /v1/faults {"down": true, "delay_ms": 100, "lose_answers": 3}
//
// With "lose_answers" N the next N commits take effect and their connection is then closed.
#pragma once

#include "oriolespread/platform/EmbeddedPlatform.h"
#include "oriolespread/standins/HttpService.h"

#include <atomic>

namespace oriolespread {

struct PlatformFaults
{
  std::atomic<bool> down = false;
  std::atomic<int> delayMs = 0;
  std::atomic<int> loseAnswers = 0;
};

// Thread-safe.
class StandInPlatform
{
public:
  StandInPlatform();

  absl::Status Start(const SocketAddress& aAddress) { return this->service.Start(aAddress); }
  void Stop() { this->service.Stop(); }
  const SocketAddress& Address() const { return this->service.Address(); }
  PlatformFaults& Faults() { return this->faults; }
  EmbeddedPlatform& Contents() { return this->contents; }

private:
  void AddTableRoutes();
  void AddObjectRoutes();
  void AddFaultRoute();
  // Delays the request and answers 503 as the faults demand; returns false when it has answered.
  bool Admit(httplib::Response& aResponse);

  EmbeddedPlatform contents;
  PlatformFaults faults;
  HttpService service;
};

} // namespace oriolespread
