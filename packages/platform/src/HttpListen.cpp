#include "oriolespread/platform/HttpListen.h"

#include <httplib.h>

namespace oriolespread {

absl::StatusOr<std::uint16_t> BindHttp(httplib::Server& aServer, const SocketAddress& aAddress)
{
  if (aAddress.port == 0) {
    const int bound = aServer.bind_to_any_port(aAddress.ip);
    if (bound > 0) {
      return static_cast<std::uint16_t>(bound);
    }
  } else if (aServer.bind_to_port(aAddress.ip, aAddress.port)) {
    return aAddress.port;
  }
  return absl::UnavailableError("cannot bind " + ToString(aAddress));
}

std::thread ServeHttp(httplib::Server& aServer)
{
  std::thread thread([&aServer] { aServer.listen_after_bind(); });
  while (!aServer.is_running()) {
    std::this_thread::yield();
  }
  return thread;
}

} // namespace oriolespread
