// The table row of one idempotency key.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace oriolespread::internal {

// Larger responses are not stored, because rows are meant for kilobytes. A repeated request then
// fails with answer_too_large.
constexpr std::size_t kMaxStoredResponseBytes = std::size_t{ 256 } << 10U;

struct IdempotencyRecord
{
  bool done = false;
  std::string digest;
  // Set when `done`: the response, or null when it was too large.
  ResponseContentPtr response;
};

// Returns `idem/<organisation>/<sha256 of key>`.
std::string RecordKey(const OrganisationId& aOrganisation, const std::string& aKey);

// Returns a digest of service, method, path and body digest. Requests with the same key must have
// the same digest.
std::string RequestDigest(const NewRequest& aRequest);

nlohmann::json MakeRunningRecord(const EntryId& aEntry, const std::string& aDigest);
nlohmann::json MakeDoneRecord(const EntryId& aEntry,
                              const std::string& aDigest,
                              const ResponseContent& aResponse);

// Returns the record in a row, or nothing when the value is malformed.
std::optional<IdempotencyRecord> ParseRecord(const nlohmann::json& aValue);

} // namespace oriolespread::internal
