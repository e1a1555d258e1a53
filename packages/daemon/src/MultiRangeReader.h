// Reads several ranges of the store whole, page by page and side by side.
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
  // The rows of each range, in the order of the ranges.
  std::vector<std::vector<cluster::StoredRow>> rows;
  // All later changes have a higher version.
  std::uint64_t version = 0;
  // Of the page that was given up on.
  std::string reason;
};

class MultiRangeReader : public std::enable_shared_from_this<MultiRangeReader>
{
public:
  using Callback = std::function<void(MultiRangeResult)>;
  // Told of each failed page; returns whether to ask for it again after kStoreRetryDelay.
  using RetryPolicy = std::function<bool(const std::string& aReason)>;
  // How long the next call to the store may take.
  using TimeoutPolicy = std::function<Duration()>;

  // Calls `aCallback` once, from the loop of `aContext`: when everything is read, or when `aRetry`
  // has returned false.
  static void Read(asio::io_context& aContext,
                   platformwire::StoreClient& aStore,
                   std::vector<cluster::RowRange> aRanges,
                   TimeoutPolicy aTimeout,
                   RetryPolicy aRetry,
                   Callback aCallback);

private:
  MultiRangeReader(asio::io_context& aContext,
                   platformwire::StoreClient& aStore,
                   TimeoutPolicy aTimeout,
                   RetryPolicy aRetry,
                   Callback aCallback);

  void ReadPage(std::size_t aIndex, const cluster::RowRange& aRange);
  void OnPage(std::size_t aIndex,
              const cluster::RowRange& aRange,
              const cluster::ReadResult& aResult);
  void Finish();

  asio::io_context& context;
  platformwire::StoreClient& store;
  TimeoutPolicy timeout;
  RetryPolicy retry;
  Callback callback;
  MultiRangeResult result;
  std::size_t pendingRanges = 0;
};

// The ranges that together hold a table of rows spread by job, from key `aFrom` up to `aTo`.
std::vector<cluster::RowRange> JobTableRanges(std::string_view aTable,
                                              const std::string& aFrom,
                                              const std::string& aTo);

} // namespace oriolespread::daemon
