#include "MultiRangeReader.h"

#include "oriolespread/daemon/ClusterSettings.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace oriolespread::daemon {

void MultiRangeReader::Read(asio::io_context& aContext,
                            platformwire::StoreClient& aStore,
                            std::vector<cluster::RowRange> aRanges,
                            TimeoutPolicy aNextTimeout,
                            RetryPolicy aShouldRetry,
                            Callback aCallback)
{
  const std::shared_ptr<MultiRangeReader> reader(new MultiRangeReader(
    aContext, aStore, std::move(aNextTimeout), std::move(aShouldRetry), std::move(aCallback)));
  reader->pendingRanges = aRanges.size();
  reader->result.rows.resize(aRanges.size());
  for (std::size_t index = 0; index < aRanges.size(); ++index) {
    reader->ReadPage(index, aRanges[index]);
  }
}

// A page that is being read.
struct MultiRangeReader::Page
{
  std::size_t index;
  cluster::RowRange range;
  asio::steady_timer repetitionTimer;
  int readsInFlight = 0;
  bool done = false;

  Page(asio::io_context& aContext, std::size_t aIndex, const cluster::RowRange& aRange)
    : index(aIndex)
    , range(aRange)
    , repetitionTimer(aContext)
  {
  }
};

MultiRangeReader::MultiRangeReader(asio::io_context& aContext,
                                   platformwire::StoreClient& aStore,
                                   TimeoutPolicy aNextTimeout,
                                   RetryPolicy aShouldRetry,
                                   Callback aCallback)
  : context(aContext)
  , store(aStore)
  , nextTimeout(std::move(aNextTimeout))
  , shouldRetry(std::move(aShouldRetry))
  , callback(std::move(aCallback))
{
}

void MultiRangeReader::ReadPage(std::size_t aIndex, const cluster::RowRange& aRange)
{
  auto page = std::make_shared<Page>(this->context, aIndex, aRange);
  this->SendRead(page);
}

void MultiRangeReader::SendRead(const PagePtr& aPage)
{
  const Duration timeout = this->nextTimeout();
  if (timeout <= Duration::zero()) {
    if (aPage->readsInFlight == 0) {
      cluster::ReadResult result;
      result.reason = "time_over";
      this->OnPage(aPage->index, aPage->range, result);
    }
    return;
  }
  ++aPage->readsInFlight;
  this->store.Read(aPage->range,
                   timeout,
                   [self = this->shared_from_this(), aPage](const cluster::ReadResult& aResult) {
                     --aPage->readsInFlight;
                     // While another read of the page is in flight, its answer may still arrive.
                     if (aPage->done ||
                         (aResult.end != cluster::ReadEnd::Done && aPage->readsInFlight > 0)) {
                       return;
                     }
                     aPage->done = true;
                     aPage->repetitionTimer.cancel();
                     self->OnPage(aPage->index, aPage->range, aResult);
                   });
  if (aPage->readsInFlight > 1) {
    return;
  }
  aPage->repetitionTimer.expires_after(timeout / 2);
  aPage->repetitionTimer.async_wait(
    [self = this->shared_from_this(), aPage](asio::error_code aError) {
      if (!aError && !aPage->done && self->callback != nullptr) {
        self->SendRead(aPage);
      }
    });
}

void MultiRangeReader::OnPage(std::size_t aIndex,
                              const cluster::RowRange& aRange,
                              const cluster::ReadResult& aResult)
{
  if (this->callback == nullptr) {
    return;
  }
  // Without the last key, the next page cannot be requested.
  const bool lacksNextPage = aResult.more && aResult.lastKey.empty();
  if (aResult.end != cluster::ReadEnd::Done || lacksNextPage) {
    const std::string reason = lacksNextPage ? "last_key_unreadable" : aResult.reason;
    if (!this->shouldRetry(reason)) {
      this->result.reason = reason;
      this->Finish();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(this->context, kStoreRetryDelay);
    timer->async_wait(
      [self = this->shared_from_this(), timer, aIndex, aRange](asio::error_code aError) {
        if (!aError && self->callback != nullptr) {
          self->ReadPage(aIndex, aRange);
        }
      });
    return;
  }
  const std::uint64_t version = aResult.version;
  this->result.version =
    this->result.version == 0 ? version : std::min(this->result.version, version);
  auto& rows = this->result.rows[aIndex];
  rows.insert(rows.end(), aResult.rows.begin(), aResult.rows.end());
  if (aResult.more) {
    cluster::RowRange nextPage = aRange;
    // '!' sorts before every character of a key, so no key lies between the last one and this one.
    nextPage.from = aResult.lastKey + "!";
    this->ReadPage(aIndex, nextPage);
    return;
  }
  --this->pendingRanges;
  if (this->pendingRanges == 0) {
    this->result.complete = true;
    this->Finish();
  }
}

void MultiRangeReader::Finish()
{
  std::exchange(this->callback, nullptr)(std::move(this->result));
}

std::vector<cluster::RowRange> JobTableRanges(std::string_view aTable,
                                              const std::string& aFrom,
                                              const std::string& aTo)
{
  std::vector<cluster::RowRange> ranges;
  for (std::size_t part = 0; part < jobs::kJobPartCount; ++part) {
    ranges.push_back({ std::string(aTable), aFrom, aTo, 0, jobs::JobPart(part) });
  }
  return ranges;
}

} // namespace oriolespread::daemon
