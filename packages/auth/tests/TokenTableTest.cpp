#include "oriolespread/auth/TokenTable.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

TokenGrant Grant(std::string_view aToken, const Principal& aPrincipal)
{
  return { Sha256(aToken), aPrincipal };
}

const Principal kAcme{ Role::Organisation, OrganisationId{ "acme" } };
const Principal kOperator{ Role::Operator, {} };

} // namespace

// Guards against digests that differ from what other tools compute (vectors of FIPS 180-2).
TEST_CASE("Sha256Hex ReturnsThePublishedDigests")
{
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(Sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

// Guards against a digest that is accepted in a form that never compares equal.
TEST_CASE("DigestFromHex AcceptsOnlyLowerCaseDigests")
{
  const std::string hex = Sha256Hex("abc");
  REQUIRE(DigestFromHex(hex).has_value());
  CHECK(ToHex(*DigestFromHex(hex)) == hex);
  CHECK_FALSE(DigestFromHex(hex.substr(1)).has_value());
  CHECK_FALSE(DigestFromHex("B" + hex.substr(1)).has_value());
  CHECK_FALSE(DigestFromHex("g" + hex.substr(1)).has_value());
  RandomSource random(20261204);
  for (int round = 0; round < 2'000; ++round) {
    std::string damaged = hex;
    damaged[random.Below(damaged.size())] = static_cast<char>(random.Next());
    const auto digest = DigestFromHex(damaged);
    INFO("round " << round);
    CHECK((!digest.has_value() || ToHex(*digest) == damaged));
  }
}

// Guards against a token that opens another organisation's account, or anything at all when
// unknown.
TEST_CASE("TokenTable TellsWhoATokenBelongsTo")
{
  const auto table = TokenTable::Create({ Grant("t-acme", kAcme), Grant("t-op", kOperator) });
  REQUIRE(table.ok());
  CHECK(table->Find("t-acme") == kAcme);
  CHECK(table->Find("t-op") == kOperator);
  CHECK_FALSE(table->Find("t-other").has_value());
  CHECK_FALSE(table->Find("").has_value());
  CHECK_FALSE(table->Find(std::string(TokenTable::kMaxTokenBytes + 1, 'x')).has_value());
  CHECK(table->Authenticate("bEARER t-op") == kOperator);
  CHECK_FALSE(table->Authenticate("Basic t-op").has_value());
  CHECK_FALSE(table->Authenticate("Bearer ").has_value());
  CHECK_FALSE(table->Authenticate("t-op").has_value());
}

// Guards against one token that stands for two principals.
TEST_CASE("TokenTable RefusesADigestThatIsGrantedTwice")
{
  CHECK_FALSE(TokenTable::Create({ Grant("t", kAcme), Grant("t", kOperator) }).ok());
}
