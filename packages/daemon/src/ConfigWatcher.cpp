#include "ConfigWatcher.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

using cluster::ReadEnd;

ConfigWatcher::ConfigWatcher(asio::io_context& aContext,
                             platformwire::StoreClient& aStore,
                             Counters& aCounters,
                             ChangeCallback aOnChanged)
  : store(aStore)
  , counters(aCounters)
  , onChanged(std::move(aOnChanged))
  , timer(aContext)
{
}

void ConfigWatcher::Start()
{
  this->Read();
}

void ConfigWatcher::Read()
{
  const std::string key(platformwire::kConfigKey);
  // Requests at most one row, beginning at the key.
  this->store.Read({ std::string(platformwire::kOperatorTable),
                     key,
                     key + "~",
                     1,
                     std::string(platformwire::kOperatorPart) },
                   kStoreTimeout,
                   [this, requestedAt = BootClock::now()](const cluster::ReadResult& aResult) {
                     if (aResult.end != ReadEnd::Done) {
                       this->ScheduleRetry();
                       return;
                     }
                     this->version = std::max(this->version, aResult.version);
                     this->confirmedAt = requestedAt;
                     // Watches first, so that later changes are still seen if a handler throws.
                     this->Watch();
                     for (const cluster::StoredRow& row : aResult.rows) {
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
