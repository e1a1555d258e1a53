#include "oriolespread/platform/HttpObjects.h"

#include "HttpClient.h"

namespace oriolespread {

namespace {

std::string PathOf(const std::string& aName)
{
  return "/v1/objects/" + aName;
}

} // namespace

HttpObjects::HttpObjects(const SocketAddress& aAddress, Duration aTimeout)
  : client(internal::MakeClient(aAddress, aTimeout))
{
}

HttpObjects::~HttpObjects() = default;
HttpObjects::HttpObjects(HttpObjects&&) noexcept = default;

absl::Status HttpObjects::Put(const std::string& aName, const std::string& aContent)
{
  return internal::ToStatus(this->client->Put(PathOf(aName), aContent, "application/octet-stream"));
}

absl::StatusOr<std::string> HttpObjects::Get(const std::string& aName)
{
  const auto result = this->client->Get(PathOf(aName));
  if (const absl::Status status = internal::ToStatus(result); !status.ok()) {
    return status;
  }
  return result->body;
}

absl::Status HttpObjects::Delete(const std::string& aName)
{
  return internal::ToStatus(this->client->Delete(PathOf(aName)));
}

} // namespace oriolespread
