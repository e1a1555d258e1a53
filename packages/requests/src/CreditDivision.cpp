#include "CreditDivision.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// Progressive filling: raises the smallest share of an active claim by one slot at a time, up to
// its limit. A slot that the claimant already holds takes none of the free slots. An upstream has
// few slots (8), so that a loop over them is cheaper than sorting.
void FillProgressively(std::uint32_t& aFreeSlots,
                       const std::vector<Claim>& aClaims,
                       const std::vector<std::uint32_t>& aLimits,
                       std::vector<std::uint32_t>& aShares)
{
  while (true) {
    std::size_t smallest = aClaims.size();
    for (std::size_t i = 0; i < aClaims.size(); ++i) {
      const bool isAlreadyHeld = aShares[i] < aClaims[i].held;
      const bool mayGrow = aClaims[i].active && aShares[i] < aLimits[i];
      if (mayGrow && (isAlreadyHeld || aFreeSlots > 0) &&
          (smallest == aClaims.size() || aShares[i] < aShares[smallest])) {
        smallest = i;
      }
    }
    if (smallest == aClaims.size()) {
      return;
    }
    if (aShares[smallest] >= aClaims[smallest].held) {
      --aFreeSlots;
    }
    ++aShares[smallest];
  }
}

} // namespace

std::vector<std::uint32_t> DivideSlots(std::uint32_t aTotal, const std::vector<Claim>& aClaims)
{
  // Computes the fair target as if no slots were held.
  std::vector<Claim> unheldClaims = aClaims;
  std::vector<std::uint32_t> demands;
  for (Claim& claim : unheldClaims) {
    claim.held = 0;
    demands.push_back(std::max<std::uint32_t>(claim.demand, 1));
  }
  std::uint32_t freeSlots = aTotal;
  std::vector<std::uint32_t> target(aClaims.size(), 0);
  FillProgressively(freeSlots, unheldClaims, demands, target);
  FillProgressively(
    freeSlots, unheldClaims, std::vector<std::uint32_t>(aClaims.size(), aTotal), target);

  // Assigns as much of the target as is not held by other claims.
  std::uint32_t held = 0;
  for (const Claim& claim : aClaims) {
    held += claim.held;
  }
  std::uint32_t available = aTotal > held ? aTotal - held : 0;
  std::vector<std::uint32_t> shares(aClaims.size(), 0);
  FillProgressively(available, aClaims, target, shares);
  return shares;
}

} // namespace oriolespread::internal
