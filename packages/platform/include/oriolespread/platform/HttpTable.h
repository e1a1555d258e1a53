// Blocking client of the platform's table service over HTTP:
//
//   POST /v1/transactions   {id, conditions: [{key, version}], writes: [{key, value?}]}
//   POST /v1/fates          {id}
//   GET  /v1/rows?prefix=P&after=K&limit=N
//
// A write without "value" deletes its row. Each call waits at most the timeout for its answer.
#pragma once

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/platform/TableServicePort.h"

#include <memory>

namespace httplib {
class Client;
}

namespace oriolespread {

// Keeps one connection. Not thread-safe: each thread uses its own client.
class HttpTable
{
public:
  HttpTable(const SocketAddress& aAddress, Duration aTimeout);
  ~HttpTable();
  HttpTable(HttpTable&&) noexcept;

  // Returns Unavailable only when no connection could be made, Unknown when the request may have
  // arrived and no valid answer came back.
  CommitOutcome Commit(const Transaction& aTransaction);
  FateOutcome ReadFate(const TransactionId& aId);
  absl::StatusOr<ScanPage> Scan(const std::string& aPrefix,
                                const std::string& aAfter,
                                std::size_t aLimit);

private:
  std::unique_ptr<httplib::Client> client;
};

} // namespace oriolespread
