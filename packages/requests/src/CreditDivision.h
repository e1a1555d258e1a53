// The arithmetic of dividing an upstream's slots.
#pragma once

#include <cstdint>
#include <vector>

namespace oriolespread::internal {

struct Claim
{
  // What the claimant could use.
  std::uint32_t demand = 0;
  // What it holds in any case, because requests are in flight.
  std::uint32_t held = 0;
  // Whether it may be given anything; a claimant that is gone only holds.
  bool active = true;
};

// Returns a share for each claim such that the sum of max(share, held) is at most
// max(aTotal, sum of held). Live claims get at least 1 each while `aTotal` suffices, then max-min
// fair parts up to their demand, and then equal parts of the rest.
std::vector<std::uint32_t> DivideSlots(std::uint32_t aTotal, const std::vector<Claim>& aClaims);

} // namespace oriolespread::internal
