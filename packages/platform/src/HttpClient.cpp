#include "HttpClient.h"

#include "absl/strings/str_cat.h"

namespace oriolespread::internal {

std::unique_ptr<httplib::Client> MakeClient(const SocketAddress& aAddress, Duration aTimeout)
{
  auto client = std::make_unique<httplib::Client>(aAddress.ip, aAddress.port);
  const auto timeout = std::chrono::duration_cast<std::chrono::microseconds>(aTimeout);
  client->set_connection_timeout(timeout);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

absl::Status ToStatus(const httplib::Result& aResult)
{
  if (!aResult) {
    return absl::UnavailableError(httplib::to_string(aResult.error()));
  }
  if (aResult->status >= 200 && aResult->status < 300) {
    return absl::OkStatus();
  }
  switch (aResult->status) {
    case 400:
      return absl::InvalidArgumentError(aResult->body);
    case 404:
      return absl::NotFoundError(aResult->body);
    case 409:
      return absl::AlreadyExistsError(aResult->body);
    case 412:
      return absl::FailedPreconditionError(aResult->body);
    case 507:
      return absl::ResourceExhaustedError(aResult->body);
    default:
      return absl::UnavailableError(absl::StrCat("HTTP status ", aResult->status));
  }
}

} // namespace oriolespread::internal
