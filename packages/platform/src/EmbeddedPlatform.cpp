#include "oriolespread/platform/EmbeddedPlatform.h"

namespace oriolespread {

CommitOutcome EmbeddedPlatform::Commit(const Transaction& aTransaction)
{
  const std::lock_guard lock(this->mutex);
  return this->table.Commit(aTransaction);
}

FateOutcome EmbeddedPlatform::ReadFate(const TransactionId& aId)
{
  const std::lock_guard lock(this->mutex);
  return this->table.ReadFate(aId);
}

absl::StatusOr<ScanPage> EmbeddedPlatform::Scan(const std::string& aPrefix,
                                                const std::string& aAfter,
                                                std::size_t aLimit)
{
  const std::lock_guard lock(this->mutex);
  return this->table.Scan(aPrefix, aAfter, aLimit);
}

absl::Status EmbeddedPlatform::Put(const std::string& aName, const std::string& aContent)
{
  const std::lock_guard lock(this->mutex);
  this->objects.insert_or_assign(aName, aContent);
  return absl::OkStatus();
}

absl::StatusOr<std::string> EmbeddedPlatform::Get(const std::string& aName)
{
  const std::lock_guard lock(this->mutex);
  const auto it = this->objects.find(aName);
  if (it == this->objects.end()) {
    return absl::NotFoundError("no such object");
  }
  return it->second;
}

absl::Status EmbeddedPlatform::Delete(const std::string& aName)
{
  const std::lock_guard lock(this->mutex);
  this->objects.erase(aName);
  return absl::OkStatus();
}

} // namespace oriolespread
