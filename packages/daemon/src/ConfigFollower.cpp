#include "ConfigFollower.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

namespace oriolespread::daemon {

using cluster::ReadEnd;

ConfigFollower::ConfigFollower(asio::io_context& aContext,
                               platformwire::StoreClient& aStore,
                               Counters& aCounters,
                               Changed aChanged)
  : store(aStore)
  , counters(aCounters)
  , changed(std::move(aChanged))
  , timer(aContext)
{
}

void ConfigFollower::Start()
{
  this->Read();
}

void ConfigFollower::Read()
{
  const std::string key(platformwire::kConfigKey);
  this->store.Read({ std::string(platformwire::kOperatorTable),
                     key,
                     key + "~",
                     1,
                     std::string(platformwire::kOperatorPart) },
                   kStoreTimeout,
                   [this, asked = BootClock::now()](const cluster::ReadResult& aResult) {
                     if (aResult.end != ReadEnd::Done) {
                       this->RetryLater();
                       return;
                     }
                     for (const cluster::StoredRow& row : aResult.rows) {
                       this->Apply(row);
                     }
                     this->version = std::max(this->version, aResult.version);
                     this->confirmed = asked;
                     this->Watch();
                   });
}

void ConfigFollower::Watch()
{
  this->store.Watch(std::string(platformwire::kOperatorTable),
                    this->version,
                    kWatchWait,
                    kWatchTimeout,
                    [this](const cluster::ReadResult& aResult) {
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->counters.Add("config_reads_total", "history_gone");
                        this->Read();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        // A read shows what a watch that was cut may have missed.
                        this->RetryLater();
                        return;
                      }
                      for (const cluster::StoredRow& row : aResult.rows) {
                        this->Apply(row);
                      }
                      this->version = std::max(this->version, aResult.version);
                      this->confirmed = BootClock::now();
                      this->Watch();
                    });
}

void ConfigFollower::RetryLater()
{
  this->counters.Add("config_reads_total", "retry");
  this->timer.expires_after(kStoreRetryDelay);
  this->timer.async_wait([this](asio::error_code aError) {
    if (!aError) {
      this->Read();
    }
  });
}

void ConfigFollower::Apply(const cluster::StoredRow& aRow)
{
  if (aRow.row.key != platformwire::kConfigKey || aRow.removed) {
    return;
  }
  auto read = platformwire::DecodeConfig(aRow.value);
  if (!read.ok()) {
    this->counters.Add("config_reads_total", "unreadable");
    Log(LogLevel::Error,
        "config_unreadable",
        { { "row_version", aRow.version }, { "reason", std::string(read.status().message()) } });
    return;
  }
  if (this->config.has_value() && read->version <= this->config->version) {
    return;
  }
  this->config = *std::move(read);
  Log(LogLevel::Info,
      "config_applied",
      { { "version", this->config->version }, { "queues", this->config->queues.size() } });
  this->changed(*this->config);
}

} // namespace oriolespread::daemon
