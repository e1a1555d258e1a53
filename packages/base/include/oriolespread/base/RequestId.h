// Identifies one request for as long as any answer to it could still arrive.
#pragma once

#include "oriolespread/base/Ids.h"

#include <cstdint>
#include <string>

namespace oriolespread {

// The entry's incarnation keeps identifiers of a restarted entry apart from those of its earlier
// lives; the counter is never reused within one incarnation.
struct RequestId
{
  Incarnation entry;
  std::uint64_t counter = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const RequestId& aId)
  {
    return H::combine(std::move(aState), aId.entry, aId.counter);
  }
};

// Returns "<incarnation>-<counter>", the form used in headers and logs.
std::string ToString(const RequestId& aId);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RequestId, entry, counter)

} // namespace oriolespread
