#include "oriolespread/service/StoreClient.h"

#include <string_view>
#include <utility>

namespace oriolespread {

static_assert(TableServicePort<StoreClient>);
static_assert(ObjectStorePort<StoreClient>);

namespace {

absl::Status RingFull()
{
  return absl::UnavailableError("store ring is full");
}

std::string_view ResultName(const CommitOutcome& aOutcome)
{
  return ToString(aOutcome.status);
}

std::string_view ResultName(const FateOutcome& aOutcome)
{
  return ToString(aOutcome.fate);
}

std::string_view ResultName(const absl::Status& aStatus)
{
  return aStatus.ok() ? "ok" : "failed";
}

template<typename T>
std::string_view ResultName(const absl::StatusOr<T>& aResult)
{
  return aResult.ok() || absl::IsNotFound(aResult.status()) ? "ok" : "failed";
}

} // namespace

StoreClient::StoreClient(StorePool& aPool, EventLoop& aLoop, Counters& aCounters)
  : pool(aPool)
  , loop(aLoop)
  , counters(aCounters)
{
}

template<typename Result, typename Call, typename Done>
void StoreClient::Run(const char* aName, Call aCall, Result aRefused, Done aDone)
{
  const bool accepted =
    this->pool.TryRun([this, aName, call = std::move(aCall), aDone](PlatformClient& aClient) {
      Result result = call(aClient);
      this->counters.Add(aName, ResultName(result));
      this->loop.Deliver([aDone, result = std::move(result)] { aDone(result); });
    });
  if (!accepted) {
    this->counters.Add(aName, "ring_full");
    this->loop.Deliver([aDone, refused = std::move(aRefused)] { aDone(refused); });
  }
}

void StoreClient::Commit(const Transaction& aTransaction, CommitCallback aDone)
{
  this->Run(
    "store_commits_total",
    [aTransaction](PlatformClient& aClient) { return aClient.Commit(aTransaction); },
    CommitOutcome{ CommitStatus::Unavailable, {}, {} },
    std::move(aDone));
}

void StoreClient::ReadFate(const TransactionId& aId, FateCallback aDone)
{
  this->Run(
    "store_fates_total",
    [aId](PlatformClient& aClient) { return aClient.ReadFate(aId); },
    FateOutcome{},
    std::move(aDone));
}

void StoreClient::Scan(const std::string& aPrefix,
                       const std::string& aAfter,
                       std::size_t aLimit,
                       ScanCallback aDone)
{
  this->Run(
    "store_scans_total",
    [aPrefix, aAfter, aLimit](PlatformClient& aClient) {
      return aClient.Scan(aPrefix, aAfter, aLimit);
    },
    absl::StatusOr<ScanPage>(RingFull()),
    std::move(aDone));
}

void StoreClient::Put(const std::string& aName,
                      const std::string& aContent,
                      ObjectWriteCallback aDone)
{
  this->Run(
    "object_writes_total",
    [aName, aContent](PlatformClient& aClient) { return aClient.Put(aName, aContent); },
    RingFull(),
    std::move(aDone));
}

void StoreClient::Get(const std::string& aName, ObjectReadCallback aDone)
{
  this->Run(
    "object_reads_total",
    [aName](PlatformClient& aClient) { return aClient.Get(aName); },
    absl::StatusOr<std::string>(RingFull()),
    std::move(aDone));
}

void StoreClient::Delete(const std::string& aName, ObjectWriteCallback aDone)
{
  this->Run(
    "object_writes_total",
    [aName](PlatformClient& aClient) { return aClient.Delete(aName); },
    RingFull(),
    std::move(aDone));
}

} // namespace oriolespread
