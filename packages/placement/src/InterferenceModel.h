// What is known about how tasks of a kind disturb a service that shares their worker.
#pragma once

#include "PlacementModel.h"

#include <map>
#include <vector>

namespace oriolespread::internal {

// Not thread-safe. Keeps at most kMaxPairs pairs; further ones are not learned until others expire.
class InterferenceModel
{
public:
  // The service was seen with the kind on its worker and did or did not suffer.
  void RecordObservation(Instant aNow, NameIndex aKind, NameIndex aService, bool aDegraded);
  // A step against the kind ended the suffering, or did not.
  void RecordEffect(Instant aNow, NameIndex aKind, NameIndex aService, bool aHelped);
  // Keeps the pair on different workers: 10 minutes, twice that for each earlier time that has not
  // decayed, up to 2 hours.
  void AddAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService);
  void RemoveAntiAffinity(NameIndex aKind, NameIndex aService);

  // Returns how much the kind is suspected, from 0 to 1; decays by half each hour.
  double Estimate(Instant aNow, NameIndex aKind, NameIndex aService) const;
  // Returns the suspicion from co-location alone, from 0 to 1; 0.5 when nothing is known.
  double Correlation(NameIndex aKind, NameIndex aService) const;
  bool HasAntiAffinity(Instant aNow, NameIndex aKind, NameIndex aService) const;
  // Returns the services from which the kind is kept apart.
  std::vector<NameIndex> AntiAffineServices(Instant aNow, NameIndex aKind) const;
  // Returns the kinds that are kept apart from the service.
  std::vector<NameIndex> AntiAffineKinds(Instant aNow, NameIndex aService) const;

  static constexpr std::size_t kMaxPairs = 50'000;

private:
  struct Pair
  {
    double estimate = 0.0;
    Instant estimatedAt;
    // Decayed numbers of observations, all and those of a suffering service.
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
  // Drops a few pairs that were not touched for long.
  void RemoveStale(Instant aNow);

  std::map<Key, Pair> pairs;
  // Pairs that were ever kept apart and have not expired, by service.
  std::map<NameIndex, std::vector<NameIndex>> antiAffineKinds;
  std::map<NameIndex, std::vector<NameIndex>> antiAffineServices;
  Key sweepPosition{ 0, 0 };
};

} // namespace oriolespread::internal
