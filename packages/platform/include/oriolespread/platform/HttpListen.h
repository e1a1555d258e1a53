// Starts HTTP servers of the library on a thread of their own.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/SocketAddress.h"

#include <cstdint>
#include <thread>

namespace httplib {
class Server;
}

namespace oriolespread {

// Returns the port that was bound, any free one when the address has port 0, or Unavailable.
absl::StatusOr<std::uint16_t> BindHttp(httplib::Server& aServer, const SocketAddress& aAddress);

// Serves on a new thread and returns once the server accepts connections, so that a stop cannot
// come before the start. The server must be bound and outlive the thread.
std::thread ServeHttp(httplib::Server& aServer);

} // namespace oriolespread
