// An IP address and port that a client connects to or a server listens on.
#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolespread {

struct HttpAddress
{
  std::string host;
  std::uint16_t port = 0;

  // Parses "127.0.0.1:8080". Returns InvalidArgument for anything but an IPv4 or bracketed IPv6
  // address with a port from 0 to 65535.
  static absl::StatusOr<HttpAddress> Parse(std::string_view aText);

  friend bool operator==(const HttpAddress&, const HttpAddress&) = default;
};

std::string ToString(const HttpAddress& aAddress);

} // namespace oriolespread
