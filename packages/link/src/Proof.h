// Proof that a peer holds the shared key: HMAC-SHA256 over the nonces and identities of both sides.
// The role and the identity of the prover are part of it, so that a proof can neither be reflected
// nor be used by another process.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oriolespread::internal {

enum class Role : std::uint8_t
{
  Entry = 1,
  Agent = 2,
};

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kProofBytes = 32;

// What each side tells of itself before the proofs.
struct Hello
{
  Role role = Role::Entry;
  std::string id;
  std::string dataCentre;
  std::string nonce;
};

// Returns kNonceBytes random bytes, or nothing when the system has no randomness to give.
std::string MakeNonce();

std::string EncodeHello(const Hello& aHello);
// Returns false for anything but the exact encoding of a hello with valid names.
bool DecodeHello(std::string_view aBytes, Hello& aHello);

// Returns the proof that `aProver` gives to `aVerifier`.
std::string MakeProof(std::string_view aKey, const Hello& aProver, const Hello& aVerifier);
// Compares in constant time.
bool IsProof(std::string_view aProof,
             std::string_view aKey,
             const Hello& aProver,
             const Hello& aVerifier);

} // namespace oriolespread::internal
