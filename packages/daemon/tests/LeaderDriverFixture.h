// Test fixture: the LeaderDriver of an entry at a stand-in store, with the test as its agents.
#pragma once

#include "LeaderDriver.h"
#include "StoreFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace oriolespread::daemon {

inline constexpr Duration kMillisecond = std::chrono::milliseconds(1);

// The LeaderDriver of an entry; the test acts as its agents.
struct TestEntry
{
  std::vector<Epoch> claims;
  // The last claim that was sent to each agent.
  std::map<std::string, LeaderClaim> lastClaims;
  std::vector<WorkerOrders> orders;
  std::size_t extensions = 0;
  LeaseExtension lastExtension;
  std::unique_ptr<LeaderDriver> driver;

  TestEntry(StoreFixture& aFixture,
            const std::string& aName,
            Duration aWorkerLease = std::chrono::seconds(5),
            Duration aStoreOutageTolerance = std::chrono::seconds(5),
            platformwire::StoreClient* aClient = nullptr,
            bool aEvacuationsRead = true)
  {
    LeaderDriverOptions options;
    options.entry = aName;
    options.process = "process of " + aName;
    options.workerLease = aWorkerLease;
    options.storeOutageTolerance = aStoreOutageTolerance;
    options.endedJobRetention = std::chrono::seconds(120);
    this->driver = std::make_unique<LeaderDriver>(
      aFixture.context,
      aClient == nullptr ? *aFixture.client : *aClient,
      options,
      aFixture.counters,
      [this](const std::string& aAgent, const LinkMessage& aMessage) {
        if (const auto* claim = std::get_if<LeaderClaim>(&aMessage)) {
          this->lastClaims[aAgent] = *claim;
          this->claims.push_back(claim->epoch);
        } else if (const auto* sent = std::get_if<WorkerOrders>(&aMessage)) {
          this->orders.push_back(*sent);
        } else if (const auto* extension = std::get_if<LeaseExtension>(&aMessage)) {
          ++this->extensions;
          this->lastExtension = *extension;
        }
        return true;
      });
    if (aEvacuationsRead) {
      this->driver->SetEvacuatedDataCentres({});
    }
    this->driver->OnAgentUp("agent");
  }

  // Returns the number of starts that were ordered for tasks of the job.
  std::size_t CountStarts(const std::string& aJob) const
  {
    std::size_t count = 0;
    for (const WorkerOrders& sent : this->orders) {
      count += static_cast<std::size_t>(
        std::count_if(sent.starts.begin(), sent.starts.end(), [&](const StartRun& aStart) {
          return aStart.ref.task.starts_with(aJob + ".");
        }));
    }
    return count;
  }

  std::size_t CountStops() const
  {
    std::size_t count = 0;
    for (const WorkerOrders& sent : this->orders) {
      count += sent.stops.size();
    }
    return count;
  }

  // Only a leader has a scheduler, which provides the gauge "jobs_known".
  bool IsLeading() const { return this->driver->Gauges().contains("jobs_known"); }
  double JobCount() const
  {
    const auto gauges = this->driver->Gauges();
    return gauges.contains("jobs_known") ? gauges.at("jobs_known") : -1;
  }

  void SendReport(const std::string& aWorker = "w",
                  const std::string& aAgent = "agent",
                  bool aFull = true,
                  std::int64_t aLeasesEndInMs = 0,
                  const std::string& aDataCentre = "")
  {
    WorkerReport report;
    report.epoch = this->claims.back();
    report.sequence = 1;
    report.full = aFull;
    report.leasesEndInMs = aLeasesEndInMs;
    report.worker.id = aWorker;
    report.worker.born = 1;
    report.worker.service = "s";
    report.worker.dataCentre = aDataCentre;
    report.worker.capacity = { 8000, 64000, 0 };
    this->driver->OnReport(aAgent, report);
  }
};

inline void PutRow(StoreFixture& aFixture, const jobs::RowKey& aRow, const std::string& aValue)
{
  cluster::StoreTransaction transaction;
  transaction.changes.push_back({ aRow, aValue, false });
  bool stored = false;
  aFixture.client->Commit(
    transaction, 1000 * kMillisecond, [&](const cluster::CommitResult& aResult) {
      stored = aResult.end == cluster::CommitEnd::Applied;
    });
  REQUIRE(aFixture.RunUntil([&] { return stored; }));
}

inline void SubmitJob(StoreFixture& aFixture, const std::string& aId, std::uint32_t aTasks = 1)
{
  jobs::JobRecord record;
  record.id = aId;
  record.policy.queue = "q";
  record.policy.service = "s";
  record.spec.steps.emplace_back().count = aTasks;
  PutRow(aFixture, jobs::JobRow(aId), jobs::EncodeJobRecord(record));
}

inline void PutLeaderRow(StoreFixture& aFixture, const cluster::LeaderRecord& aRecord)
{
  PutRow(aFixture, jobs::LeaderRow(), cluster::EncodeLeaderRecord(aRecord));
}

inline std::function<bool(const std::string&, const std::string&)> RefuseKeys(
  const std::string& aPrefix)
{
  return [aPrefix](const std::string& /*aTable*/, const std::string& aKey) {
    return aKey.starts_with(aPrefix);
  };
}

} // namespace oriolespread::daemon
