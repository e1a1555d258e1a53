#include "oriolespread/http/HttpTypes.h"

#include "absl/strings/match.h"

namespace oriolespread {

std::string_view FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (absl::EqualsIgnoreCase(header.name, absl::string_view(aName.data(), aName.size()))) {
      return header.value;
    }
  }
  return {};
}

} // namespace oriolespread
