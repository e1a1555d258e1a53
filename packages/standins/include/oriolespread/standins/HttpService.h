// Runs an HTTP server on a thread of its own. Base of the stand-in services.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/base/SocketAddress.h"

#include <httplib.h>

#include <cstdint>
#include <string>
#include <thread>

namespace oriolespread {

// Routes are added to Server() before Start. Stop waits for requests in progress.
class HttpService
{
public:
  HttpService();
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  httplib::Server& Server() { return this->server; }
  // Port 0 of `aAddress` means any free port. Returns Unavailable when it cannot be bound.
  absl::Status Start(const SocketAddress& aAddress);
  void Stop();
  // The address that Start has bound.
  const SocketAddress& Address() const { return this->address; }

private:
  httplib::Server server;
  SocketAddress address;
  std::thread thread;
};

} // namespace oriolespread
