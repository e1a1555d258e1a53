#include "EvacuationRequests.h"

#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/service/Log.h"

#include <utility>

namespace oriolespread::daemon {

using platformwire::kEvacuationKeyPrefix;

namespace {

bool NamesDataCentre(const cluster::StoredRow& aRow)
{
  return aRow.row.part == platformwire::kOperatorPart &&
         aRow.row.key.starts_with(kEvacuationKeyPrefix);
}

std::string DataCentreOf(const cluster::StoredRow& aRow)
{
  return aRow.row.key.substr(kEvacuationKeyPrefix.size());
}

void LogRequested(const std::string& aDataCentre, std::uint64_t aVersion)
{
  Log(LogLevel::Info,
      "evacuation_requested",
      { { "data_centre", aDataCentre }, { "row_version", aVersion } });
}

void LogEnded(const std::string& aDataCentre)
{
  Log(LogLevel::Info, "evacuation_ended", { { "data_centre", aDataCentre } });
}

} // namespace

EvacuationRequests::EvacuationRequests(Counters& aCounters, std::set<std::string> aKnownDataCentres)
  : counters(aCounters)
  , knownDataCentres(std::move(aKnownDataCentres))
{
}

void EvacuationRequests::Replace(const std::vector<cluster::StoredRow>& aRows)
{
  std::set<std::string> requested;
  for (const cluster::StoredRow& row : aRows) {
    if (!this->IsRequest(row)) {
      continue;
    }
    const std::string dataCentre = DataCentreOf(row);
    requested.insert(dataCentre);
    if (!this->dataCentres.contains(dataCentre)) {
      LogRequested(dataCentre, row.version);
    }
  }
  for (const std::string& dataCentre : this->dataCentres) {
    if (!requested.contains(dataCentre)) {
      LogEnded(dataCentre);
    }
  }
  this->dataCentres = std::move(requested);
}

void EvacuationRequests::Apply(const cluster::StoredRow& aRow)
{
  if (!NamesDataCentre(aRow)) {
    return;
  }
  const std::string dataCentre = DataCentreOf(aRow);
  if (this->IsRequest(aRow)) {
    if (this->dataCentres.insert(dataCentre).second) {
      LogRequested(dataCentre, aRow.version);
    }
  } else if (this->dataCentres.erase(dataCentre) > 0) {
    LogEnded(dataCentre);
  }
}

bool EvacuationRequests::IsRequest(const cluster::StoredRow& aRow)
{
  if (!NamesDataCentre(aRow) || aRow.removed) {
    return false;
  }
  const std::string dataCentre = DataCentreOf(aRow);
  if (dataCentre.empty()) {
    this->ReportIgnored(aRow, "malformed", "the key names no data centre");
    return false;
  }
  if (const absl::Status status = platformwire::CheckEvacuation(aRow.value); !status.ok()) {
    this->ReportIgnored(aRow, "malformed", std::string(status.message()));
    return false;
  }
  if (!this->knownDataCentres.empty() && !this->knownDataCentres.contains(dataCentre)) {
    this->ReportIgnored(aRow, "unknown_data_centre", "the settings do not list the data centre");
    return false;
  }
  return true;
}

void EvacuationRequests::ReportIgnored(const cluster::StoredRow& aRow,
                                       std::string_view aReason,
                                       const std::string& aDetail)
{
  if (std::exchange(this->reportedVersions[aRow.row.key], aRow.version) == aRow.version) {
    return;
  }
  this->counters.Add("evacuation_rows_ignored_total", aReason);
  Log(LogLevel::Error,
      "evacuation_row_ignored",
      { { "key", aRow.row.key },
        { "row_version", aRow.version },
        { "reason", std::string(aReason) },
        { "detail", aDetail } });
}

} // namespace oriolespread::daemon
