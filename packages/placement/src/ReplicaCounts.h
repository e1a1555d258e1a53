// Counts the replicas of each service per data centre, rack and worker, to spread them over failure
// domains.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <cstdint>

namespace oriolespread::internal {

class ReplicaCounts
{
public:
  void Add(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex)
  {
    this->Change(aService, aWorker, aIndex, 1);
  }
  void Remove(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex)
  {
    this->Change(aService, aWorker, aIndex, -1);
  }

  // Returns the penalty for one more replica on the worker. Replicas in the same data centre count
  // most, then those on the worker itself, then those in the same rack.
  double SpreadPenalty(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex) const
  {
    return 1e6 * this->Count(aService, FailureDomain::DataCentre, aWorker.dataCentre) +
           1e3 * this->Count(aService, FailureDomain::Worker, aIndex) +
           this->Count(aService, FailureDomain::Rack, aWorker.rack);
  }

private:
  enum class FailureDomain : std::uint8_t
  {
    DataCentre,
    Rack,
    Worker,
  };
  using Key = std::tuple<NameIndex, FailureDomain, std::uint32_t>;

  double Count(NameIndex aService, FailureDomain aFailureDomain, std::uint32_t aDomainIndex) const
  {
    const auto it = this->counts.find(Key(aService, aFailureDomain, aDomainIndex));
    return it == this->counts.end() ? 0.0 : it->second;
  }

  void Change(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex, int aDelta)
  {
    for (const Key& key : { Key(aService, FailureDomain::DataCentre, aWorker.dataCentre),
                            Key(aService, FailureDomain::Rack, aWorker.rack),
                            Key(aService, FailureDomain::Worker, aIndex) }) {
      if ((this->counts[key] += aDelta) == 0) {
        this->counts.erase(key);
      }
    }
  }

  absl::flat_hash_map<Key, int> counts;
};

} // namespace oriolespread::internal
