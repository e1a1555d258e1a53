// Limits and time-outs of one link; both sides may use different ones.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/messages/MessageCodec.h"

#include <cstddef>
#include <cstdint>

namespace oriolespread {

// Shorter shared keys are refused.
constexpr std::size_t kMinKeyBytes = 16;

struct LinkLimits
{
  // Sum of names and values of all headers of one request or answer. nghttp2 itself refuses header
  // blocks above 64 KiB.
  std::size_t headerBytes = std::size_t{ 32 } << 10U;
  std::size_t bodyBytes = std::size_t{ 8 } << 20U;
  // A message in its encoded form; at most kMaxMessageBytes.
  std::size_t messageBytes = kMaxMessageBytes;
  // Calls in flight on one link.
  std::uint32_t streams = 256;
  // Encoded messages that wait for the connection.
  std::size_t pendingMessageBytes = std::size_t{ 8 } << 20U;
  // Bodies that wait for the connection.
  std::size_t pendingBodyBytes = std::size_t{ 64 } << 20U;
  // Bodies that have arrived in part.
  std::size_t bufferedBodyBytes = std::size_t{ 64 } << 20U;
  // From the TCP connection to the peer's valid proof.
  Duration handshakeTimeout = std::chrono::seconds(2);
  // Each side sends a PING this often, and closes when for pingTimeout after one neither its answer
  // nor anything else arrived.
  Duration pingInterval = std::chrono::seconds(2);
  Duration pingTimeout = std::chrono::seconds(2);
  // From Drain to closing with calls still in flight.
  Duration drainTimeout = std::chrono::seconds(30);
};

// Returns InvalidArgument naming the first limit that is out of range.
absl::Status CheckLimits(const LinkLimits& aLimits);

} // namespace oriolespread
