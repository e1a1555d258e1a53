// Settings that both binaries have, and how settings are read.
#pragma once

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/base/Time.h"

#include <cstdint>
#include <string>

namespace oriolespread {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

// Shared secret by which entries and agents authenticate one another. Never logged.
struct LinkSettings
{
  std::string key;
};

struct LogSettings
{
  LogLevel level = LogLevel::Info;
};

// Bounds on one HTTP message; larger messages are refused.
struct HttpLimits
{
  // All header lines together.
  std::uint64_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 8 * 1024 * 1024;
  // The request line and each header line.
  std::uint64_t lineBytes = 8 * 1024;
};

} // namespace oriolespread
