#include "oriolespread/base/SocketAddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace oriolespread {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), port);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return port;
}

bool IsNumber(int aFamily, const std::string& aIp)
{
  in6_addr number{};
  return inet_pton(aFamily, aIp.c_str(), &number) == 1;
}

} // namespace

std::optional<SocketAddress> SocketAddress::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || aText.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(aText.substr(colon + 1));
  std::string ip(aText.substr(0, colon));
  const bool bracketed = ip.size() >= 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!port.has_value() || !IsNumber(bracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return SocketAddress{ std::move(ip), *port };
}

bool SocketAddress::IsWildcard() const
{
  return this->ip == "0.0.0.0" || this->ip == "::";
}

bool SocketAddress::ClashesWith(const SocketAddress& aOther) const
{
  const bool samePort = this->port != 0 && this->port == aOther.port;
  return samePort && (this->ip == aOther.ip || this->IsWildcard() || aOther.IsWildcard());
}

std::string ToString(const SocketAddress& aAddress)
{
  const bool bracketed = aAddress.ip.find(':') != std::string::npos;
  const std::string host = bracketed ? "[" + aAddress.ip + "]" : aAddress.ip;
  return host + ":" + std::to_string(aAddress.port);
}

} // namespace oriolespread
