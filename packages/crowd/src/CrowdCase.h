// The kinds of crowds, each with the settings of the process that it meets and its bounds.
#pragma once

#include "Crowd.h"

#include <optional>
#include <string>

namespace oriolespread::crowd {

struct CrowdCase
{
  CrowdLoad load;
  // limits.memory_mb and limits.max_fds; 0 leaves the setting out.
  int memoryMb = 48;
  int maxDescriptors = 0;
  // The limit of the operating system on descriptors; 0 leaves it as it is.
  int systemDescriptors = 0;
  // The crowd goes to an agent's control port instead of an entry's address for callers.
  bool toAgent = false;
  // The crowd has left when the ordinary request is sent.
  bool crowdLeaves = false;
  // Bounds of the peak resident memory and of the open descriptors; 0 for none.
  int maxPeakMb = 48;
  int maxOpenDescriptors = 0;
};

// The limits that the test puts into the configuration. The time is long, so that connections that
// stop short of their end do not end by themselves before the memory is measured.
inline constexpr int kMaxBodyBytes = 1048576;
inline constexpr int kHeaderTimeoutMs = 30000;

std::optional<CrowdCase> FindCrowdCase(const std::string& aName);

} // namespace oriolespread::crowd
