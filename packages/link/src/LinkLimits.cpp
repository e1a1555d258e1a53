#include "oriolespread/link/LinkLimits.h"

#include "absl/status/status.h"

namespace oriolespread {

absl::Status CheckLimits(const LinkLimits& aLimits)
{
  const Duration zero = Duration::zero();
  // nghttp2 sends header blocks of up to 64 KiB, and prefixes can double those of the caller.
  if (aLimits.headerBytes > (std::size_t{ 32 } << 10U)) {
    return absl::InvalidArgumentError("headerBytes is above 32 KiB");
  }
  if (aLimits.messageBytes > kMaxMessageBytes) {
    return absl::InvalidArgumentError("messageBytes is above kMaxMessageBytes");
  }
  if (aLimits.streams == 0) {
    return absl::InvalidArgumentError("streams is 0");
  }
  if (aLimits.handshakeTimeout <= zero || aLimits.pingInterval <= zero ||
      aLimits.pingTimeout <= zero || aLimits.drainTimeout <= zero) {
    return absl::InvalidArgumentError("a time-out is not above zero");
  }
  return absl::OkStatus();
}

} // namespace oriolespread
