// Reads several ranges of the store completely, in parallel and each page by page. A page that is
// not answered within half of its time-out, in which also a slowed store answers, is requested once
// more beside it, so that a lost answer does not cost a whole time-out.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/cluster/StoreTypes.h"
#include "oriolespread/platformwire/StoreClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::daemon {

struct MultiRangeResult
{
  // Whether every range was read to its end.
  bool complete = false;
  // The rows of each range, in the order in which the ranges were given.
  std::vector<std::vector<cluster::StoredRow>> rows;
  // The lowest version of all pages. A watch from this version misses no later change.
  std::uint64_t version = 0;
  // Why the page that was not retried failed; empty if `complete`.
  std::string reason;
};

class MultiRangeReader : public std::enable_shared_from_this<MultiRangeReader>
{
public:
  using Callback = std::function<void(MultiRangeResult)>;
  // Called for each failed page; returns whether to request it again after kStoreRetryDelay.
  using RetryPolicy = std::function<bool(const std::string& aReason)>;
  // Returns the timeout of the next call to the store. With zero, the page fails without a call.
  using TimeoutPolicy = std::function<Duration()>;

  // Calls `aCallback` once, on the event loop of `aContext`: when all ranges are read, or when
  // `aShouldRetry` has returned false.
  static void Read(asio::io_context& aContext,
                   platformwire::StoreClient& aStore,
                   std::vector<cluster::RowRange> aRanges,
                   TimeoutPolicy aNextTimeout,
                   RetryPolicy aShouldRetry,
                   Callback aCallback);

private:
  struct Page;
  using PagePtr = std::shared_ptr<Page>;

  MultiRangeReader(asio::io_context& aContext,
                   platformwire::StoreClient& aStore,
                   TimeoutPolicy aNextTimeout,
                   RetryPolicy aShouldRetry,
                   Callback aCallback);

  void ReadPage(std::size_t aIndex, const cluster::RowRange& aRange);
  void SendRead(const PagePtr& aPage);
  void OnPage(std::size_t aIndex,
              const cluster::RowRange& aRange,
              const cluster::ReadResult& aResult);
  void Finish();

  asio::io_context& context;
  platformwire::StoreClient& store;
  TimeoutPolicy nextTimeout;
  RetryPolicy shouldRetry;
  Callback callback;
  MultiRangeResult result;
  std::size_t pendingRanges = 0;
};

// Returns the ranges that together hold the keys from `aFrom` up to `aTo` of a table whose rows are
// partitioned by job.
std::vector<cluster::RowRange> JobTableRanges(std::string_view aTable,
                                              const std::string& aFrom,
                                              const std::string& aTo);

} // namespace oriolespread::daemon
