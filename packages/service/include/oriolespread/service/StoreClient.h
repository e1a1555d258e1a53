// The platform's table service and object store as ports of one event loop. Calls run on the store
// threads; callbacks run on the loop.
#pragma once

#include "oriolespread/platform/ObjectStorePort.h"
#include "oriolespread/platform/TableServicePort.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/PlatformClient.h"
#include "oriolespread/service/ThreadPool.h"

namespace oriolespread {

using StorePool = ThreadPool<PlatformClient>;

// Satisfies TableServicePort and ObjectStorePort. A call that finds the pool's ring full ends as
// Unavailable. `aPool`, `aLoop` and `aCounters` outlive this object. Call from the loop's thread.
class StoreClient
{
public:
  StoreClient(StorePool& aPool, EventLoop& aLoop, Counters& aCounters);

  void Commit(const Transaction& aTransaction, CommitCallback aDone);
  void ReadFate(const TransactionId& aId, FateCallback aDone);
  void Scan(const std::string& aPrefix,
            const std::string& aAfter,
            std::size_t aLimit,
            ScanCallback aDone);
  void Put(const std::string& aName, const std::string& aContent, ObjectWriteCallback aDone);
  void Get(const std::string& aName, ObjectReadCallback aDone);
  void Delete(const std::string& aName, ObjectWriteCallback aDone);

private:
  // Runs `aCall` on a store thread and hands its result, or `aRefused` when the ring is full, to
  // `aDone` on the loop.
  template<typename Result, typename Call, typename Done>
  void Run(const char* aName, Call aCall, Result aRefused, Done aDone);

  StorePool& pool;
  EventLoop& loop;
  Counters& counters;
};

} // namespace oriolespread
