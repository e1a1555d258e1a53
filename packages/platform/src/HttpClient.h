// Shared set-up of the platform's HTTP clients.
#pragma once

#include "absl/status/status.h"

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/base/Time.h"

#include <httplib.h>

#include <memory>

namespace oriolespread::internal {

std::unique_ptr<httplib::Client> MakeClient(const SocketAddress& aAddress, Duration aTimeout);

// Returns the status of an answer: OK for 2xx, the matching code for 4xx, Unavailable otherwise.
absl::Status ToStatus(const httplib::Result& aResult);

} // namespace oriolespread::internal
