// The address of a listener or peer by IP number, as written in settings and in announcements.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

// An IPv4 or IPv6 number and a port. Port 0 lets the system choose a free port when listening.
struct SocketAddress
{
  std::string ip;
  std::uint16_t port = 0;

  // Returns the address in "127.0.0.1:8080" or "[::1]:8080"; nothing for any other form. Names are
  // not accepted, because there is no name service.
  static std::optional<SocketAddress> Parse(std::string_view aText);

  // Returns whether this is 0.0.0.0 or [::], which a listener may have but a peer cannot connect
  // to.
  bool IsWildcard() const;
  // Returns whether two listeners with these addresses would claim the same port. Port 0 never
  // does.
  bool ClashesWith(const SocketAddress& aOther) const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

// Returns the form that Parse accepts.
std::string ToString(const SocketAddress& aAddress);

} // namespace oriolespread
