// Tells who a bearer token belongs to. Only digests of tokens are held:
//
//   absl::StatusOr<TokenTable> table = TokenTable::Create(std::move(grants));
//   const std::optional<Principal> caller = table->Authenticate(request.header("Authorization"));
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/auth/Sha256.h"
#include "oriolespread/base/Ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace oriolespread {

enum class Role
{
  Organisation,
  Operator,
};

// Who sent a request. `organisation` is empty for operators.
struct Principal
{
  Role role = Role::Organisation;
  OrganisationId organisation;

  friend bool operator==(const Principal&, const Principal&) = default;
};

// One token's digest and whom the token stands for.
struct TokenGrant
{
  Sha256Digest digest{};
  Principal principal;
};

// Immutable once created; lookups are thread-safe.
class TokenTable
{
public:
  // Longer tokens are refused before they are digested, so that a caller cannot make the entry
  // digest megabytes.
  static constexpr std::size_t kMaxTokenBytes = 512;

  // Returns InvalidArgument when two grants have the same digest.
  static absl::StatusOr<TokenTable> Create(std::vector<TokenGrant> aGrants);

  // Returns whom a token stands for, or nothing for an unknown token. Compares the digest with
  // every grant, so that the time taken depends on the number of grants but not on whether or where
  // one matches.
  std::optional<Principal> Find(std::string_view aToken) const;

  // Returns whom the value of an Authorization header stands for; it must be "Bearer <token>" with
  // the scheme in any case.
  std::optional<Principal> Authenticate(std::string_view aAuthorization) const;

  std::size_t size() const { return this->grants.size(); }

private:
  explicit TokenTable(std::vector<TokenGrant> aGrants);

  std::vector<TokenGrant> grants;
};

} // namespace oriolespread
