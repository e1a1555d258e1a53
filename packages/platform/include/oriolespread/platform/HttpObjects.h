// Blocking client of the platform's object store: PUT, GET and DELETE of /v1/objects/NAME.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/base/Time.h"

#include <memory>
#include <string>

namespace httplib {
class Client;
}

namespace oriolespread {

// Keeps one connection. Not thread-safe: each thread uses its own client.
class HttpObjects
{
public:
  HttpObjects(const SocketAddress& aAddress, Duration aTimeout);
  ~HttpObjects();
  HttpObjects(HttpObjects&&) noexcept;

  absl::Status Put(const std::string& aName, const std::string& aContent);
  // Returns NotFound when there is no such object, Unavailable for everything worth asking again.
  absl::StatusOr<std::string> Get(const std::string& aName);
  absl::Status Delete(const std::string& aName);

private:
  std::unique_ptr<httplib::Client> client;
};

} // namespace oriolespread
