// Counts the replicas of each service by data centre, rack and worker, for spreading them.
#pragma once

#include "CapacityIndex.h"
#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <cstdint>

namespace oriolespread::internal {

class SpreadCounts
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

  // Returns how crowded the worker is for a further replica: replicas in its data centre weigh
  // most, then those on the worker itself, then those in its rack.
  double Crowding(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex) const
  {
    return 1e6 * this->Count(aService, Scope::DataCentre, aWorker.dataCentre) +
           1e3 * this->Count(aService, Scope::Worker, aIndex) +
           this->Count(aService, Scope::Rack, aWorker.rack);
  }

private:
  enum class Scope : std::uint8_t
  {
    DataCentre,
    Rack,
    Worker,
  };
  using Key = std::tuple<NameIndex, Scope, std::uint32_t>;

  double Count(NameIndex aService, Scope aScope, std::uint32_t aPlace) const
  {
    const auto it = this->counts.find(Key(aService, aScope, aPlace));
    return it == this->counts.end() ? 0.0 : it->second;
  }

  void Change(NameIndex aService, const WorkerRecord& aWorker, WorkerIndex aIndex, int aBy)
  {
    for (const Key& key : { Key(aService, Scope::DataCentre, aWorker.dataCentre),
                            Key(aService, Scope::Rack, aWorker.rack),
                            Key(aService, Scope::Worker, aIndex) }) {
      if ((this->counts[key] += aBy) == 0) {
        this->counts.erase(key);
      }
    }
  }

  absl::flat_hash_map<Key, int> counts;
};

} // namespace oriolespread::internal
