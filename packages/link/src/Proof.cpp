#include "Proof.h"

#include "oriolespread/base/Ids.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace oriolespread::internal {

namespace {

constexpr char kVersion = 1;
constexpr std::string_view kContext = "oriolespread link proof 1";

void AppendSized(std::string& aOut, std::string_view aText)
{
  aOut.push_back(static_cast<char>(aText.size()));
  aOut.append(aText);
}

// Takes a text with its length in front from the start of `aBytes`.
bool TakeSized(std::string_view& aBytes, std::string& aText)
{
  if (aBytes.empty()) {
    return false;
  }
  const std::size_t size = static_cast<unsigned char>(aBytes[0]);
  if (aBytes.size() < 1 + size) {
    return false;
  }
  aText.assign(aBytes.substr(1, size));
  aBytes.remove_prefix(1 + size);
  return true;
}

bool IsRole(char aByte)
{
  return aByte == static_cast<char>(Role::Entry) || aByte == static_cast<char>(Role::Agent);
}

} // namespace

std::string MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceBytes) != 1) {
    return {};
  }
  return nonce;
}

std::string EncodeHello(const Hello& aHello)
{
  std::string bytes;
  bytes.push_back(kVersion);
  bytes.push_back(static_cast<char>(aHello.role));
  AppendSized(bytes, aHello.id);
  AppendSized(bytes, aHello.dataCentre);
  AppendSized(bytes, aHello.nonce);
  return bytes;
}

bool DecodeHello(std::string_view aBytes, Hello& aHello)
{
  if (aBytes.size() < 2 || aBytes[0] != kVersion || !IsRole(aBytes[1])) {
    return false;
  }
  aHello.role = static_cast<Role>(aBytes[1]);
  aBytes.remove_prefix(2);
  if (!TakeSized(aBytes, aHello.id) || !TakeSized(aBytes, aHello.dataCentre) ||
      !TakeSized(aBytes, aHello.nonce) || !aBytes.empty()) {
    return false;
  }
  return IsValidName(aHello.id) && IsValidName(aHello.dataCentre) &&
         aHello.nonce.size() == kNonceBytes;
}

std::string MakeProof(std::string_view aKey, const Hello& aProver, const Hello& aVerifier)
{
  std::string input(kContext);
  // The encoding of a hello is self-delimiting, so that the two cannot run into each other.
  input += EncodeHello(aProver);
  input += EncodeHello(aVerifier);
  std::string proof(kProofBytes, '\0');
  unsigned int size = kProofBytes;
  const unsigned char* made = HMAC(EVP_sha256(),
                                   aKey.data(),
                                   static_cast<int>(aKey.size()),
                                   reinterpret_cast<const unsigned char*>(input.data()),
                                   input.size(),
                                   reinterpret_cast<unsigned char*>(proof.data()),
                                   &size);
  return made == nullptr || size != kProofBytes ? std::string() : proof;
}

bool IsProof(std::string_view aProof,
             std::string_view aKey,
             const Hello& aProver,
             const Hello& aVerifier)
{
  const std::string expected = MakeProof(aKey, aProver, aVerifier);
  if (expected.size() != kProofBytes || aProof.size() != kProofBytes) {
    return false;
  }
  return CRYPTO_memcmp(aProof.data(), expected.data(), kProofBytes) == 0;
}

} // namespace oriolespread::internal
