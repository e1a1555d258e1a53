// Max-min fair division of an upstream's slots among links.
#pragma once

#include <cstdint>
#include <vector>

namespace oriolespread::internal {

struct Claim
{
  // Number of slots that the claimant could use.
  std::uint32_t demand = 0;
  // Number of slots in use by requests in flight, which cannot be withdrawn.
  std::uint32_t held = 0;
  // Whether slots may be assigned. The claim of a closed link is inactive and only holds slots.
  bool active = true;
};

// Returns a share for each claim such that the sum of max(share, held) is at most
// max(aTotal, sum of held). Active claims get at least 1 slot each while `aTotal` suffices, then
// max-min fair shares up to their demand, and then equal shares of the remaining slots.
std::vector<std::uint32_t> DivideSlots(std::uint32_t aTotal, const std::vector<Claim>& aClaims);

} // namespace oriolespread::internal
