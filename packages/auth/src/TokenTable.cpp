#include "oriolespread/auth/TokenTable.h"

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace oriolespread {

namespace {

constexpr std::string_view kScheme = "bearer ";

char ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

bool StartsWithScheme(std::string_view aText)
{
  return aText.size() > kScheme.size() &&
         std::equal(kScheme.begin(), kScheme.end(), aText.begin(), [](char aLeft, char aRight) {
           return aLeft == ToLower(aRight);
         });
}

} // namespace

absl::StatusOr<TokenTable> TokenTable::Create(std::vector<TokenGrant> aGrants)
{
  std::sort(aGrants.begin(), aGrants.end(), [](const TokenGrant& aLeft, const TokenGrant& aRight) {
    return aLeft.digest < aRight.digest;
  });
  for (std::size_t i = 1; i < aGrants.size(); ++i) {
    if (aGrants[i].digest == aGrants[i - 1].digest) {
      return absl::InvalidArgumentError(
        absl::StrCat("token digest ", ToHex(aGrants[i].digest), " is granted twice"));
    }
  }
  return TokenTable(std::move(aGrants));
}

TokenTable::TokenTable(std::vector<TokenGrant> aGrants)
  : grants(std::move(aGrants))
{
}

std::optional<Principal> TokenTable::Find(std::string_view aToken) const
{
  if (aToken.empty() || aToken.size() > kMaxTokenBytes) {
    return std::nullopt;
  }
  const Sha256Digest digest = Sha256(aToken);
  const TokenGrant* match = nullptr;
  for (const TokenGrant& grant : this->grants) {
    match = DigestsEqual(grant.digest, digest) ? &grant : match;
  }
  if (match == nullptr) {
    return std::nullopt;
  }
  return match->principal;
}

std::optional<Principal> TokenTable::Authenticate(std::string_view aAuthorization) const
{
  if (!StartsWithScheme(aAuthorization)) {
    return std::nullopt;
  }
  return this->Find(aAuthorization.substr(kScheme.size()));
}

} // namespace oriolespread
