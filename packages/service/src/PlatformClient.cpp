#include "oriolespread/service/PlatformClient.h"

#include <utility>

namespace oriolespread {

PlatformClient::PlatformClient(Backend aBackend)
  : backend(std::move(aBackend))
{
}

PlatformClient PlatformClient::Http(const SocketAddress& aTable,
                                    const SocketAddress& aObjects,
                                    Duration aTimeout)
{
  return PlatformClient(
    HttpServices{ HttpTable(aTable, aTimeout), HttpObjects(aObjects, aTimeout) });
}

PlatformClient PlatformClient::Embedded(std::shared_ptr<EmbeddedPlatform> aPlatform)
{
  return PlatformClient(std::move(aPlatform));
}

CommitOutcome PlatformClient::Commit(const Transaction& aTransaction)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->table.Commit(aTransaction);
  }
  return std::get<1>(this->backend)->Commit(aTransaction);
}

FateOutcome PlatformClient::ReadFate(const TransactionId& aId)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->table.ReadFate(aId);
  }
  return std::get<1>(this->backend)->ReadFate(aId);
}

absl::StatusOr<ScanPage> PlatformClient::Scan(const std::string& aPrefix,
                                              const std::string& aAfter,
                                              std::size_t aLimit)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->table.Scan(aPrefix, aAfter, aLimit);
  }
  return std::get<1>(this->backend)->Scan(aPrefix, aAfter, aLimit);
}

absl::Status PlatformClient::Put(const std::string& aName, const std::string& aContent)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->objects.Put(aName, aContent);
  }
  return std::get<1>(this->backend)->Put(aName, aContent);
}

absl::StatusOr<std::string> PlatformClient::Get(const std::string& aName)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->objects.Get(aName);
  }
  return std::get<1>(this->backend)->Get(aName);
}

absl::Status PlatformClient::Delete(const std::string& aName)
{
  if (auto* http = std::get_if<HttpServices>(&this->backend)) {
    return http->objects.Delete(aName);
  }
  return std::get<1>(this->backend)->Delete(aName);
}

} // namespace oriolespread
