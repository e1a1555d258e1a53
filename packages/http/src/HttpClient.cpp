#include "oriolespread/http/HttpClient.h"

#include "ClientCore.h"

#include "oriolespread/base/SocketAddress.h"

namespace oriolespread {

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::Create(asio::io_context& aContext,
                                                               const std::string& aAddress,
                                                               HttpClientLimits aLimits,
                                                               Counters& aCounters)
{
  const auto parsed = SocketAddress::Parse(aAddress);
  if (!parsed.has_value()) {
    return absl::InvalidArgumentError("not an address: " + aAddress);
  }
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(parsed->ip, error);
  if (error) {
    return absl::InvalidArgumentError("not an IP address: " + aAddress);
  }
  return std::unique_ptr<HttpClient>(new HttpClient(std::make_shared<internal::ClientCore>(
    aContext, asio::ip::tcp::endpoint(address, parsed->port), aLimits, aCounters)));
}

HttpClient::HttpClient(std::shared_ptr<internal::ClientCore> aCore)
  : core(std::move(aCore))
{
}

HttpClient::~HttpClient()
{
  this->core->Close();
}

void HttpClient::Call(HttpRequest aRequest, Duration aTimeout, Callback aCallback)
{
  this->core->Call(std::move(aRequest), aTimeout, std::move(aCallback));
}

} // namespace oriolespread
