// Calls upstreams over HTTP from a pool of threads.
#pragma once

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/link/LinkTypes.h"
#include "oriolespread/service/ThreadPool.h"

#include <httplib.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oriolespread {

enum class UpstreamEnd
{
  // The whole answer was read.
  Answered,
  // No connection could be made, so the upstream has not seen the request.
  NotConnected,
  // The upstream may have seen the request.
  Failed,
};

struct UpstreamResult
{
  UpstreamEnd end = UpstreamEnd::Failed;
  CallAnswer answer;
};

// Clients of one thread, one for each upstream address.
class UpstreamClients
{
public:
  httplib::Client& For(const SocketAddress& aAddress);

private:
  std::map<std::string, std::unique_ptr<httplib::Client>> clients;
};

// Thread-safe.
class UpstreamCaller
{
public:
  using Done = std::function<void(UpstreamResult)>;

  explicit UpstreamCaller(std::size_t aThreads);

  // Returns false when no thread and no place in the ring is free; `aDone` is then never called.
  // Otherwise `aDone` is called exactly once, on a thread of the pool.
  bool Call(const SocketAddress& aAddress, CallRequest aRequest, Done aDone);
  void Stop() { this->pool.Stop(); }

private:
  ThreadPool<UpstreamClients> pool;
};

// Sends one request and reads its whole answer. An answer counts as whole only when its length was
// declared, or it was sent in chunks, or its status allows no body.
UpstreamResult CallUpstream(httplib::Client& aClient, const CallRequest& aRequest);

} // namespace oriolespread
