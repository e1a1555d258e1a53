#include "oriolespread/auth/Sha256.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace oriolespread {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

std::optional<std::uint8_t> DigitValue(char aDigit)
{
  const std::size_t value = kDigits.find(aDigit);
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<std::uint8_t>(value);
}

} // namespace

Sha256Digest Sha256(std::string_view aBytes)
{
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()), aBytes.size(), digest.data());
  return digest;
}

std::string Sha256Hex(std::string_view aBytes)
{
  return ToHex(Sha256(aBytes));
}

std::string ToHex(const Sha256Digest& aDigest)
{
  std::string text;
  text.reserve(aDigest.size() * 2);
  for (const std::uint8_t byte : aDigest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

std::optional<Sha256Digest> DigestFromHex(std::string_view aText)
{
  Sha256Digest digest{};
  if (aText.size() != digest.size() * 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto high = DigitValue(aText[2 * i]);
    const auto low = DigitValue(aText[2 * i + 1]);
    if (!high.has_value() || !low.has_value()) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>(*high << 4U | *low);
  }
  return digest;
}

bool DigestsEqual(const Sha256Digest& aLeft, const Sha256Digest& aRight)
{
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace oriolespread
