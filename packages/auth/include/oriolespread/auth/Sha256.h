// SHA-256 digests of secrets, so that only digests are kept and compared:
//
//   const Sha256Digest digest = Sha256("token");
//   if (DigestsEqual(digest, expected)) { ... }
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolespread {

using Sha256Digest = std::array<std::uint8_t, 32>;

// Returns the digest of any bytes.
Sha256Digest Sha256(std::string_view aBytes);

// Returns the digest of any bytes as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

// Returns 64 lower-case hexadecimal digits.
std::string ToHex(const Sha256Digest& aDigest);

// Returns the digest, or nothing unless the text is exactly 64 lower-case hexadecimal digits.
std::optional<Sha256Digest> DigestFromHex(std::string_view aText);

// Returns whether the digests are equal. The time taken does not depend on their contents.
bool DigestsEqual(const Sha256Digest& aLeft, const Sha256Digest& aRight);

} // namespace oriolespread
