#include "IdempotencyRecord.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <vector>

namespace oriolespread::internal {

namespace {

std::string Sha256(const std::string& aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aText.data(), aText.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr const char* kHex = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex.push_back(kHex[digest[i] >> 4U]);
    hex.push_back(kHex[digest[i] & 15U]);
  }
  return hex;
}

std::string ToBase64(const std::vector<std::uint8_t>& aBytes)
{
  // EVP_EncodeBlock writes 4 characters for each 3 bytes and a terminating zero.
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(
    reinterpret_cast<unsigned char*>(text.data()), aBytes.data(), static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::vector<std::uint8_t>> FromBase64(const std::string& aText)
{
  std::vector<std::uint8_t> bytes(aText.size() / 4 * 3 + 3);
  const int length = EVP_DecodeBlock(bytes.data(),
                                     reinterpret_cast<const unsigned char*>(aText.data()),
                                     static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(length));
  return bytes;
}

ResponseContentPtr ParseResponse(const std::string& aText)
{
  const auto bytes = FromBase64(aText);
  if (!bytes.has_value()) {
    return nullptr;
  }
  // Decoding turns the base64 padding into zero bytes, so trailing bytes are allowed here.
  const nlohmann::json json = nlohmann::json::from_msgpack(*bytes, false, false);
  if (!json.is_array() || json.size() != 3 || !json[0].is_number_integer() || !json[1].is_array() ||
      !json[2].is_string()) {
    return nullptr;
  }
  auto response = std::make_shared<ResponseContent>();
  response->status = json[0].get<int>();
  for (const nlohmann::json& header : json[1]) {
    if (!header.is_array() || header.size() != 2 || !header[0].is_string() ||
        !header[1].is_string()) {
      return nullptr;
    }
    response->headers.emplace_back(header[0].get<std::string>(), header[1].get<std::string>());
  }
  response->body = json[2].get<std::string>();
  return response;
}

} // namespace

std::string RecordKey(const OrganisationId& aOrganisation, const std::string& aKey)
{
  return "idem/" + aOrganisation.Value() + "/" + Sha256(aKey);
}

std::string RequestDigest(const NewRequest& aRequest)
{
  return Sha256(aRequest.service.Value() + "\n" + aRequest.content->method + "\n" +
                aRequest.content->path + "\n" + aRequest.bodyDigest);
}

nlohmann::json MakeRunningRecord(const EntryId& aEntry, const std::string& aDigest)
{
  return { { "state", "running" }, { "entry", aEntry }, { "digest", aDigest } };
}

nlohmann::json MakeDoneRecord(const EntryId& aEntry,
                              const std::string& aDigest,
                              const ResponseContent& aResponse)
{
  nlohmann::json record{ { "state", "done" }, { "entry", aEntry }, { "digest", aDigest } };
  std::size_t size = aResponse.body.size();
  nlohmann::json headers = nlohmann::json::array();
  for (const auto& [name, value] : aResponse.headers) {
    size += name.size() + value.size();
    headers.push_back(nlohmann::json::array({ name, value }));
  }
  if (size <= kMaxStoredResponseBytes) {
    // Header values and bodies need not be UTF-8, which JSON text requires.
    record["answer"] = ToBase64(nlohmann::json::to_msgpack(
      nlohmann::json::array({ aResponse.status, std::move(headers), aResponse.body })));
  }
  return record;
}

std::optional<IdempotencyRecord> ParseRecord(const nlohmann::json& aValue)
{
  if (!aValue.is_object() || !aValue.contains("state") || !aValue.contains("digest") ||
      !aValue["digest"].is_string()) {
    return std::nullopt;
  }
  IdempotencyRecord record;
  record.done = aValue["state"] == "done";
  record.digest = aValue["digest"].get<std::string>();
  if (aValue.contains("answer") && aValue["answer"].is_string()) {
    record.response = ParseResponse(aValue["answer"].get<std::string>());
  }
  return record;
}

} // namespace oriolespread::internal
