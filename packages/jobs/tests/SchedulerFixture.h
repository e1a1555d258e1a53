// Test fixture: a scheduler with an in-memory store that applies every batch, and simulated agents
// that start every run as ordered. Stop orders are only recorded; a test ends runs itself.
#pragma once

#include "oriolespread/jobs/JobScheduler.h"

namespace oriolespread::jobs {

inline constexpr Duration kMs = std::chrono::milliseconds(1);

inline JobRecord MakeJob(const std::string& aId, std::vector<StepSpec> aSteps)
{
  JobRecord record;
  record.id = aId;
  record.policy = { "queue", "service", 0, 2, 2.0, 1000, "" };
  record.spec.payload = "payload";
  record.spec.steps = std::move(aSteps);
  return record;
}

inline StepSpec MakeStep(std::uint32_t aCount, std::vector<std::uint32_t> aAfter = {})
{
  StepSpec step;
  step.count = aCount;
  step.demand = { 1000, 100, 0 };
  step.estimateMs = 1000;
  step.after = std::move(aAfter);
  return step;
}

struct SchedulerFixture
{
  Counters counters;
  std::vector<std::pair<std::string, nlohmann::ordered_json>> logged;
  SchedulerSettings settings;
  JobScheduler scheduler{ settings,
                          counters,
                          [this](std::string_view aEvent, const nlohmann::ordered_json& aFields) {
                            this->logged.emplace_back(aEvent, aFields);
                          } };
  Now now{ Instant{} + std::chrono::hours(1), 1'000'000 };
  std::map<RowKey, std::string> rows;
  std::map<std::string, WorkerReport> agents;
  std::vector<std::pair<std::string, StartRun>> starts;
  std::vector<RunRef> stops;
  std::vector<std::uint64_t> acknowledgedEnds;

  // Creates the first leader of a cluster.
  SchedulerFixture() { this->scheduler.FinishLoading(Epoch{ 1 }, this->now.instant, this->now); }
  explicit SchedulerFixture(const SchedulerSettings& aSettings)
    : settings(aSettings)
  {
    this->scheduler.FinishLoading(Epoch{ 1 }, this->now.instant, this->now);
  }
  // Creates a leader that loads the rows stored by an earlier leader, which takes `aLoadTime`.
  explicit SchedulerFixture(const std::map<RowKey, std::string>& aStored, Duration aLoadTime = {})
    : rows(aStored)
  {
    this->Load(aLoadTime);
  }

  void AddAgent(const std::string& aName, std::int64_t aMilliCores = 8000)
  {
    WorkerReport& report = this->agents[aName];
    report.worker.id = "w-" + aName;
    report.worker.born = 1;
    report.worker.service = "service";
    report.worker.capacity = { aMilliCores, 64000, 0 };
    report.full = true;
    this->scheduler.OnAgentUp(aName, this->now);
    this->Report(aName);
  }

  // Adds a worker that has room for less than one core, as a long-running task takes the rest.
  void AddFullAgent(const std::string& aName)
  {
    this->AddAgent(aName);
    StepSpec step = MakeStep(1);
    step.demand.milliCores = 7500;
    step.longRunning = true;
    this->Submit(MakeJob("job that fills " + aName, { step }));
    this->RunUntilIdle();
    std::erase_if(this->starts, [&](const auto& aStart) { return aStart.first == aName; });
  }

  void Report(const std::string& aName)
  {
    this->scheduler.OnReport(aName, this->agents[aName], this->now);
  }

  void Submit(const JobRecord& aRecord)
  {
    const std::string bytes = EncodeJobRecord(aRecord);
    this->rows[JobRow(aRecord.id)] = bytes;
    this->scheduler.OnJobRow(aRecord.id, bytes, this->now);
  }

  void Advance(Duration aTime)
  {
    this->now.instant += aTime;
    this->now.unixMs += ToMilliseconds(aTime);
  }

  void TakeOrders()
  {
    for (auto& [agent, orders] : this->scheduler.TakeOrders()) {
      WorkerReport& report = this->agents[agent];
      report.lastOrders = orders.sequence;
      for (const StartRun& start : orders.starts) {
        this->starts.emplace_back(agent, start);
        report.running.push_back({ start.ref, "", 0, 0 });
      }
      this->stops.insert(this->stops.end(), orders.stops.begin(), orders.stops.end());
      for (const std::uint64_t number : orders.acknowledgedEnds) {
        this->acknowledgedEnds.push_back(number);
        std::erase_if(report.ended, [&](const EndedRun& aEnd) { return aEnd.number == number; });
      }
    }
  }

  // Runs scheduling rounds, and applies their batches and removals to the rows, until a round
  // changes nothing. Limited to 20 rounds.
  void RunUntilIdle()
  {
    for (int round = 0; round < 20; ++round) {
      this->scheduler.Decide(this->now);
      this->TakeOrders();
      StoreBatch batch = this->scheduler.TakeBatch(50);
      const std::vector<RowKey> removals = this->scheduler.TakeRemovals(50);
      for (const RowKey& row : removals) {
        this->rows.erase(row);
      }
      this->scheduler.OnRemoved(removals, this->now);
      if (batch.empty() && removals.empty()) {
        return;
      }
      this->Apply(batch);
      this->scheduler.OnStored(std::move(batch), this->now);
      this->TakeOrders();
    }
  }

  void Apply(const StoreBatch& aBatch)
  {
    for (const RowChange& change : aBatch.changes) {
      if (change.remove) {
        this->rows.erase(change.row);
      } else {
        this->rows[change.row] = change.value;
      }
    }
  }

  // Loads the stored rows as a new leader does. The earlier leader renewed its leadership last when
  // the loading began.
  void Load(Duration aLoadTime)
  {
    const Instant lastRenewedAt = this->now.instant;
    this->Advance(aLoadTime);
    for (const auto& [row, value] : this->rows) {
      if (row.table == kStateTable) {
        this->scheduler.LoadState(row.key, value);
      } else if (row.table == kProgressTable) {
        this->scheduler.LoadProgress(row.key, value);
      } else if (row.table == kLearnedTable) {
        this->scheduler.LoadInterferenceWeights(row.key, value);
      }
    }
    for (const auto& [row, value] : this->rows) {
      if (row.table == kJobsTable) {
        this->scheduler.LoadJob(row.key, value, this->now);
      }
    }
    const SchedulerSettings settings;
    this->scheduler.FinishLoading(
      Epoch{ 2 }, lastRenewedAt + settings.storeOutageTolerance + settings.LeaseBound(), this->now);
  }

  // Ends a run on the agent and sends a report with the end to the scheduler.
  void End(const std::string& aAgent,
           const RunRef& aRef,
           RunEnd aRunEnd,
           const std::string& aCheckpoint = "")
  {
    WorkerReport& report = this->agents[aAgent];
    std::erase_if(report.running, [&](const RunningRun& aRun) { return aRun.ref == aRef; });
    report.ended.push_back({ ++this->lastEndNumber, aRef, aRunEnd, aCheckpoint });
    this->Report(aAgent);
  }

  // Returns the fields of the last line of the event; null if there is none.
  nlohmann::ordered_json LastLogged(std::string_view aEvent) const
  {
    const auto last = std::find_if(this->logged.rbegin(),
                                   this->logged.rend(),
                                   [&](const auto& aLine) { return aLine.first == aEvent; });
    return last == this->logged.rend() ? nlohmann::ordered_json() : last->second;
  }

  JobState StateOf(const std::string& aId) { return this->scheduler.Jobs().at(aId).state; }

  std::uint64_t lastEndNumber = 0;
};

} // namespace oriolespread::jobs
