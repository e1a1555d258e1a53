#include "oriolespread/platform/HttpAddress.h"

#include "absl/strings/str_cat.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace oriolespread {

namespace {

bool IsIpAddress(const std::string& aHost)
{
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, aHost.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, aHost.c_str(), buffer.data()) == 1;
}

} // namespace

absl::StatusOr<HttpAddress> HttpAddress::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError("address has no port");
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = aText.substr(colon + 1);
  HttpAddress address{ std::string(host), 0 };
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, address.port);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return absl::InvalidArgumentError("port is not an integer from 0 to 65535");
  }
  if (!IsIpAddress(address.host)) {
    return absl::InvalidArgumentError("host is not an IP address");
  }
  return address;
}

std::string ToString(const HttpAddress& aAddress)
{
  const bool isV6 = aAddress.host.find(':') != std::string::npos;
  return isV6 ? absl::StrCat("[", aAddress.host, "]:", aAddress.port)
              : absl::StrCat(aAddress.host, ":", aAddress.port);
}

} // namespace oriolespread
