// The data centres whose evacuation the operator requests, as of the rows that were passed in. Does
// no I/O.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/cluster/StoreTypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::daemon {

class EvacuationRequests
{
public:
  // Rows that name other data centres than the known ones have no effect. If none is known, all
  // names are accepted.
  EvacuationRequests(Counters& aCounters, std::set<std::string> aKnownDataCentres);

  // Replaces the set by the requests among the rows, which are all rows of a read.
  void Replace(const std::vector<cluster::StoredRow>& aRows);
  // Applies a row of a watch. Rows of other kinds have no effect.
  void Apply(const cluster::StoredRow& aRow);

  const std::set<std::string>& DataCentres() const { return this->dataCentres; }

private:
  // Returns whether the row requests an evacuation. Reports a row that should but does not.
  bool IsRequest(const cluster::StoredRow& aRow);
  // Counts and logs the row, once for each of its versions.
  void ReportIgnored(const cluster::StoredRow& aRow,
                     std::string_view aReason,
                     const std::string& aDetail);

  Counters& counters;
  std::set<std::string> knownDataCentres;
  std::set<std::string> dataCentres;
  // The version in which each ignored row was last reported, by key.
  std::map<std::string, std::uint64_t> reportedVersions;
};

} // namespace oriolespread::daemon
