// One thread's client of the platform's table service and object store, real or embedded.
#pragma once

#include "oriolespread/platform/EmbeddedPlatform.h"
#include "oriolespread/platform/HttpObjects.h"
#include "oriolespread/platform/HttpTable.h"

#include <memory>
#include <variant>

namespace oriolespread {

// All calls block. Not thread-safe.
class PlatformClient
{
public:
  static PlatformClient Http(const SocketAddress& aTable,
                             const SocketAddress& aObjects,
                             Duration aTimeout);
  static PlatformClient Embedded(std::shared_ptr<EmbeddedPlatform> aPlatform);

  CommitOutcome Commit(const Transaction& aTransaction);
  FateOutcome ReadFate(const TransactionId& aId);
  absl::StatusOr<ScanPage> Scan(const std::string& aPrefix,
                                const std::string& aAfter,
                                std::size_t aLimit);
  absl::Status Put(const std::string& aName, const std::string& aContent);
  absl::StatusOr<std::string> Get(const std::string& aName);
  absl::Status Delete(const std::string& aName);

private:
  struct HttpServices
  {
    HttpTable table;
    HttpObjects objects;
  };
  using Backend = std::variant<HttpServices, std::shared_ptr<EmbeddedPlatform>>;

  explicit PlatformClient(Backend aBackend);

  Backend backend;
};

} // namespace oriolespread
