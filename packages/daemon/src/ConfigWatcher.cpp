#include "ConfigWatcher.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

#include <algorithm>
#include <utility>

namespace oriolespread::daemon {

using cluster::ReadEnd;

ConfigWatcher::ConfigWatcher(asio::io_context& aContext,
                             platformwire::StoreClient& aStore,
                             Counters& aCounters,
                             ChangeCallback aOnChanged)
  : store(aStore)
  , counters(aCounters)
  , onChanged(std::move(aOnChanged))
  , evacuations(std::make_unique<EvacuationRequests>(aCounters, std::set<std::string>()))
  , timer(aContext)
{
}

void ConfigWatcher::Start()
{
  this->Read();
}

void ConfigWatcher::SubscribeToEvacuations(std::set<std::string> aKnownDataCentres,
                                           EvacuationsCallback aOnChanged)
{
  this->evacuations =
    std::make_unique<EvacuationRequests>(this->counters, std::move(aKnownDataCentres));
  this->onEvacuationsChanged = std::move(aOnChanged);
}

void ConfigWatcher::Read()
{
  auto pages = std::make_shared<Pages>();
  pages->requestedAt = BootClock::now();
  this->ReadPage(std::string(platformwire::kConfigKey), std::move(pages));
}

void ConfigWatcher::ReadPage(const std::string& aFrom, std::shared_ptr<Pages> aPages)
{
  this->store.Read(
    { std::string(platformwire::kOperatorTable),
      aFrom,
      std::string(platformwire::kEvacuationKeyEnd),
      0,
      std::string(platformwire::kOperatorPart) },
    kStoreTimeout,
    [this, pages = std::move(aPages)](const cluster::ReadResult& aResult) {
      if (aResult.end != ReadEnd::Done || (aResult.more && aResult.lastKey.empty())) {
        this->ScheduleRetry();
        return;
      }
      pages->version =
        pages->version == 0 ? aResult.version : std::min(pages->version, aResult.version);
      pages->rows.insert(pages->rows.end(), aResult.rows.begin(), aResult.rows.end());
      if (aResult.more) {
        // '!' sorts before every character of a key, so no key lies between.
        this->ReadPage(aResult.lastKey + "!", pages);
        return;
      }
      this->version = std::max(this->version, pages->version);
      this->confirmedAt = pages->requestedAt;
      // Watches first, so that later changes are still seen if a handler throws.
      this->Watch();
      this->evacuations->Replace(pages->rows);
      this->TellEvacuations();
      for (const cluster::StoredRow& row : pages->rows) {
        this->ApplyRow(row);
      }
    });
}

void ConfigWatcher::Watch()
{
  this->store.Watch(std::string(platformwire::kOperatorTable),
                    this->version,
                    kWatchLongPollTime,
                    kWatchTimeout,
                    [this](const cluster::ReadResult& aResult) {
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->counters.Add("config_reads_total", "history_gone");
                        this->Read();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        // Read again, as the failed watch may have missed a change.
                        this->ScheduleRetry();
                        return;
                      }
                      this->version = std::max(this->version, aResult.version);
                      this->confirmedAt = BootClock::now();
                      this->Watch();
                      for (const cluster::StoredRow& row : aResult.rows) {
                        this->evacuations->Apply(row);
                      }
                      this->TellEvacuations();
                      for (const cluster::StoredRow& row : aResult.rows) {
                        this->ApplyRow(row);
                      }
                    });
}

void ConfigWatcher::ScheduleRetry()
{
  this->counters.Add("config_reads_total", "retry");
  this->timer.expires_after(kStoreRetryDelay);
  this->timer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      this->Read();
    }
  });
}

void ConfigWatcher::TellEvacuations()
{
  if (this->onEvacuationsChanged == nullptr ||
      this->toldEvacuations == this->evacuations->DataCentres()) {
    return;
  }
  this->toldEvacuations = this->evacuations->DataCentres();
  this->onEvacuationsChanged(*this->toldEvacuations);
}

void ConfigWatcher::ApplyRow(const cluster::StoredRow& aRow)
{
  if (aRow.row.key != platformwire::kConfigKey || aRow.removed) {
    return;
  }
  auto decoded = platformwire::DecodeConfig(aRow.value);
  if (!decoded.ok()) {
    this->counters.Add("config_reads_total", "unreadable");
    Log(LogLevel::Error,
        "config_unreadable",
        { { "row_version", aRow.version }, { "reason", std::string(decoded.status().message()) } });
    return;
  }
  if (this->config.has_value() && decoded->version <= this->config->version) {
    return;
  }
  this->config = *std::move(decoded);
  Log(LogLevel::Info,
      "config_applied",
      { { "version", this->config->version }, { "queues", this->config->queues.size() } });
  this->onChanged(*this->config);
}

} // namespace oriolespread::daemon
