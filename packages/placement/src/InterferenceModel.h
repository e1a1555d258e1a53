// Estimates how much batch tasks of a kind degrade a service that runs on the same worker.
#pragma once

#include "PlacementModel.h"

#include <map>
#include <vector>

namespace oriolespread::internal {

// Not thread-safe. Keeps at most kMaxPairs pairs of a kind and a service; data on further pairs is
// ignored until others expire.
class InterferenceModel
{
public:
  // Records that the service shared a worker with the kind, and whether it was degraded.
  void RecordObservation(Instant aNow, NameIndex aKind, NameIndex aService, bool aDegraded);
  // Records whether throttling or evicting a task of the kind ended the degradation.
  void RecordEffect(Instant aNow, NameIndex aKind, NameIndex aService, bool aHelped);
  // Keeps the pair on different workers for 10 minutes, doubled for each earlier call that has not
  // decayed, up to 2 hours.
  void AddAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService);
  void RemoveAntiAffinity(NameIndex aKind, NameIndex aService);

  // Returns the estimate, from 0 to 1, that the kind degrades the service, learned from the effect
  // of earlier steps. It halves each hour.
  double Estimate(Instant aNow, NameIndex aKind, NameIndex aService) const;
  // Returns the smoothed share of co-location observations in which the service was degraded, from
  // 0 to 1; 0.5 without observations.
  double Correlation(NameIndex aKind, NameIndex aService) const;
  bool HasAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService) const;
  // Returns the services that the kind must not share a worker with.
  std::vector<NameIndex> AntiAffineServices(Instant aNow, NameIndex aKind) const;
  // Returns the kinds that must not share a worker with the service.
  std::vector<NameIndex> AntiAffineKinds(Instant aNow, NameIndex aService) const;

  static constexpr std::size_t kMaxPairs = 50'000;

private:
  struct Pair
  {
    double estimate = 0.0;
    Instant estimatedAt;
    // Decayed numbers of all observations and of those with a degraded service.
    float observations = 0.0F;
    float degradedObservations = 0.0F;
    Instant updatedAt;
    Instant antiAffinityUntil;
    double antiAffinityCount = 0.0;
  };
  using Key = std::pair<NameIndex, NameIndex>;

  Pair* FindOrAdd(Instant aNow, NameIndex aKind, NameIndex aService);
  const Pair* Find(NameIndex aKind, NameIndex aService) const;
  static double Decayed(double aValue, Duration aAge);
  // Checks a bounded number of pairs and removes those that have not been updated for a long time.
  void RemoveStale(Instant aNow);

  std::map<Key, Pair> pairs;
  // Pairs with a current or past anti-affinity that have not expired, by service and by kind.
  std::map<NameIndex, std::vector<NameIndex>> antiAffineKinds;
  std::map<NameIndex, std::vector<NameIndex>> antiAffineServices;
  // Where the next call of RemoveStale starts.
  Key sweepPosition{ 0, 0 };
};

} // namespace oriolespread::internal
