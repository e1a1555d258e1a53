// The row that stands for one idempotency key.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace oriolespread::internal {

// Longer answers are not kept: a row is meant for kilobytes, and a repeat is told that the answer
// is too large.
constexpr std::size_t kMaxStoredResponseBytes = std::size_t{ 256 } << 10U;

struct IdempotencyRecord
{
  bool done = false;
  std::string digest;
  // With `done`: the answer, or null when it was too large.
  ResponseContentPtr response;
};

// Returns `idem/<organisation>/<sha256 of key>`.
std::string RecordKey(const OrganisationId& aOrganisation, const std::string& aKey);

// Returns what makes two requests the same: a digest of service, method, path and body digest.
std::string RequestDigest(const NewRequest& aRequest);

nlohmann::json MakeRunningRecord(const EntryId& aEntry, const std::string& aDigest);
nlohmann::json MakeDoneRecord(const EntryId& aEntry,
                              const std::string& aDigest,
                              const ResponseContent& aResponse);

// Returns the record in a row, or nothing when the value is not one.
std::optional<IdempotencyRecord> ParseRecord(const nlohmann::json& aValue);

} // namespace oriolespread::internal
