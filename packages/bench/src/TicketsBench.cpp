// Change tickets at the target size: time until one is in force everywhere, load on the table
// service, bytes, processor time and state size.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/tickets/testing/TicketWorld.h"

#include <algorithm>
#include <ctime>
#include <vector>

namespace oriolespread {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MakeTicket;
using testing::TicketWorld;
using testing::WorldOptions;

constexpr std::size_t kEntries = 12;
constexpr std::size_t kAgents = 3'700;
constexpr std::size_t kLinksPerAgent = 4;
constexpr std::size_t kRegions = 3;
constexpr double kTicketsPerDay = 2'700.0;
constexpr double kSecondsPerDay = 86'400.0;
constexpr double kInForceBoundMs = 10'000.0;
constexpr double kInForceTargetMs = 2'000.0;
// All control traffic of a daemon together; tickets are only a part of it.
constexpr double kAgentBytesPerSecondBound = 7'168.0;
// What the platform's services take together.
constexpr double kStoreReadsBound = 2'000.0;
constexpr double kStoreWritesBound = 300.0;
constexpr int kTickets = 20;

Duration LinkDelay(std::size_t aFrom, std::size_t aTo)
{
  const bool near = aFrom % kRegions == aTo % kRegions;
  return near ? Duration(microseconds(3'500)) : Duration(milliseconds(40));
}

WorldOptions TargetSize(std::uint64_t aSeed)
{
  WorldOptions options;
  options.seed = aSeed;
  options.entries = kEntries;
  options.agents = kAgents;
  options.linksPerAgent = kLinksPerAgent;
  options.storeDelay = milliseconds(20);
  options.linkDelay = LinkDelay;
  return options;
}

// A service as an operator writes it, so that sizes are realistic.
ChangeTicket ServiceTicket(std::uint64_t aNumber, std::uint64_t aBasedOn)
{
  ChangeTicket ticket = MakeTicket("change-" + std::to_string(aNumber), aBasedOn, {});
  ticket.changes["service/organisation-17/search-" + std::to_string(aNumber % 50)] = {
    { "class", "latency_critical" }, { "objective_ms", 50 },   { "default_deadline_ms", 1000 },
    { "max_deadline_ms", 5000 },     { "queue_length", 1000 },
  };
  return ticket;
}

double Milliseconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1e6;
}

double Quantile(std::vector<double>& aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1))];
}

// Submits tickets one after another and returns how long each took to be in force at each process,
// counted from its submission; a process that it never reached counts with the whole time waited.
std::vector<double> TimesInForce(TicketWorld& aWorld, RandomSource& aRandom)
{
  std::vector<double> times;
  std::vector<bool> reached;
  Instant submitted;
  TicketNumber awaited;
  aWorld.onReached = [&](std::size_t aProcess, TicketNumber aNumber) {
    if (aNumber >= awaited && awaited != TicketNumber{} && !reached[aProcess]) {
      reached[aProcess] = true;
      times.push_back(Milliseconds(aWorld.Now() - submitted));
    }
  };
  aWorld.RunFor(seconds(3));
  for (std::uint64_t i = 1; i <= kTickets; ++i) {
    aWorld.RunFor(aRandom.Between(Duration::zero(), seconds(1)));
    submitted = aWorld.Now();
    awaited = TicketNumber{ i };
    reached.assign(kEntries + kAgents, false);
    aWorld.Submit(aRandom.Below(kEntries), ServiceTicket(i, i - 1));
    aWorld.RunFor(seconds(4));
    const auto missing = std::count(reached.begin(), reached.end(), false);
    times.insert(times.end(), static_cast<std::size_t>(missing), kInForceBoundMs * 2);
  }
  return times;
}

void MeasureInForce(BenchContext& aContext, bool aPushesLost, bool aNotificationsLost)
{
  TicketWorld world(TargetSize(aContext.Seed()));
  world.faults.firstPushesLost = aPushesLost;
  world.faults.notificationsLost = aNotificationsLost;
  RandomSource random(aContext.Seed());
  std::vector<double> times = TimesInForce(world, random);
  const double max = Quantile(times, 1.0);
  aContext.Report({ "p50", {}, Quantile(times, 0.5), "ms", {}, BoundKind::AtMost });
  aContext.Report({ "p99", {}, Quantile(times, 0.99), "ms", kInForceBoundMs, BoundKind::AtMost });
  aContext.Report({ "max", {}, max, "ms", kInForceBoundMs, BoundKind::AtMost });
  // The target is no acceptance bound, so it is reported as a share.
  aContext.Report(
    { "max_of_2s_target", {}, max / kInForceTargetMs, "share", {}, BoundKind::AtMost });
}

void MeasureStoreAndBytes(BenchContext& aContext)
{
  WorldOptions options = TargetSize(aContext.Seed());
  options.measureBytes = true;
  TicketWorld world(options);
  world.RunFor(seconds(5));
  std::size_t scans = world.scans;
  world.RunFor(seconds(30));
  const double idleReads = static_cast<double>(world.scans - scans) / 30.0;
  scans = world.scans;
  constexpr int kRounds = 10;
  for (std::uint64_t i = 1; i <= kRounds; ++i) {
    world.Submit(i % kEntries, ServiceTicket(i, i - 1));
    world.RunFor(seconds(3));
  }
  const double perTicket = 1.0 / kRounds;
  const double ticketReads =
    std::max(0.0, static_cast<double>(world.scans - scans) - idleReads * 3.0 * kRounds) * perTicket;
  const double ticketsPerSecond = kTicketsPerDay / kSecondsPerDay;
  const double bytes = static_cast<double>(world.updateBytes) * perTicket / kAgents;
  aContext.Report({ "reads_polling", {}, idleReads, "1/s", {}, BoundKind::AtMost });
  aContext.Report({ "reads_per_ticket", {}, ticketReads, "reads", {}, BoundKind::AtMost });
  aContext.Report({ "reads_at_target",
                    {},
                    idleReads + ticketReads * ticketsPerSecond,
                    "1/s",
                    kStoreReadsBound,
                    BoundKind::AtMost });
  aContext.Report({ "writes_at_target",
                    {},
                    static_cast<double>(world.commits) * perTicket * ticketsPerSecond,
                    "1/s",
                    kStoreWritesBound,
                    BoundKind::AtMost });
  aContext.Report({ "agent_bytes_per_ticket", {}, bytes, "B", {}, BoundKind::AtMost });
  aContext.Report({ "agent_bytes_at_target",
                    {},
                    bytes * ticketsPerSecond,
                    "B/s",
                    kAgentBytesPerSecondBound,
                    BoundKind::AtMost });
}

double ProcessorMicroseconds()
{
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

// One entry with its share of the agents, driven directly, so that only the book is measured.
class OneEntry
{
public:
  explicit OneEntry(std::size_t aAgents)
    : book({ EntryId{ "e" }, Incarnation{ 1 } }, this->counters)
  {
    this->Run(TicketTick{});
    for (std::size_t i = 0; i < aAgents; ++i) {
      this->agents.push_back(AgentId{ "agent-" + std::to_string(i) });
      this->Run(TicketAgentConnected{ this->agents.back() });
    }
  }

  // Handles an event, carries out store calls and encodes each distinct update once.
  void Run(const TicketEvent& aEvent)
  {
    TicketEffects effects;
    this->book.Handle(this->now, aEvent, effects);
    const TicketUpdate* last = nullptr;
    for (const AgentUpdate& update : effects.agentUpdates) {
      if (update.update.get() != last) {
        last = update.update.get();
        this->encodedBytes += EncodeMessage(*last).size();
      }
    }
    for (const TicketStoreCall& call : effects.storeCalls) {
      if (const auto* commit = std::get_if<TicketCommitCall>(&call); commit != nullptr) {
        this->Run(TicketCommitResult{ commit->call, this->table.Commit(commit->transaction) });
      } else if (const auto* scan = std::get_if<TicketScanCall>(&call); scan != nullptr) {
        this->Run(
          TicketScanResult{ scan->call, this->table.Scan(scan->prefix, scan->after, scan->limit) });
      }
    }
  }

  void ReportAll()
  {
    this->now += milliseconds(200);
    for (const AgentId& agent : this->agents) {
      this->Run(TicketAgentReport{ agent, this->book.View().Number() });
    }
  }

  Counters counters;
  MemoryTable table;
  TicketBook book;
  std::vector<AgentId> agents;
  std::size_t encodedBytes = 0;
  Instant now = Instant(std::chrono::hours(1));
};

double RowBytes(const MemoryTable& aTable, const char* aPrefix)
{
  double bytes = 0.0;
  for (const Row& row : aTable.Scan(aPrefix, "", 1'000'000).rows) {
    bytes += static_cast<double>(row.key.size() + row.value.dump().size());
  }
  return bytes;
}

void MeasureProcessorTime(BenchContext& aContext)
{
  constexpr std::size_t kLinked = kAgents * kLinksPerAgent / kEntries;
  constexpr int kRounds = 500;
  OneEntry entry(kLinked);
  entry.ReportAll();
  double ticketTime = 0.0;
  double reportTime = 0.0;
  double agentTime = 0.0;
  ConfigView agent;
  for (std::uint64_t i = 1; i <= kRounds; ++i) {
    const double start = ProcessorMicroseconds();
    entry.Run(SubmitTicket{ i, ServiceTicket(i, i - 1) });
    const double submitted = ProcessorMicroseconds();
    entry.ReportAll();
    ticketTime += submitted - start;
    reportTime += ProcessorMicroseconds() - submitted;
    const TicketUpdate update = entry.book.View().UpdateFrom(agent.Number());
    const double received = ProcessorMicroseconds();
    agent.Apply(update);
    agentTime += ProcessorMicroseconds() - received;
  }
  const double perReport = reportTime / kRounds / kLinked;
  const double reportsPerSecond = static_cast<double>(kLinked) * 5.0;
  aContext.Report({ "entry_per_ticket", {}, ticketTime / kRounds, "us", {}, BoundKind::AtMost });
  aContext.Report({ "entry_per_report", {}, perReport, "us", {}, BoundKind::AtMost });
  aContext.Report({ "entry_reports_share_of_core",
                    {},
                    perReport * reportsPerSecond / 1e6,
                    "share",
                    {},
                    BoundKind::AtMost });

  aContext.Report({ "agent_per_update", {}, agentTime / kRounds, "us", {}, BoundKind::AtMost });
  aContext.Report(
    { "table_bytes_per_ticket",
      {},
      (RowBytes(entry.table, "ticket/log/") + RowBytes(entry.table, "ticket/id/")) / kRounds,
      "B",
      {},
      BoundKind::AtMost });
}

// 300 organisations with 5 services each, 41 quotas and an entry for each worker.
void MeasureWholeState(BenchContext& aContext)
{
  TicketUpdate update{ {}, TicketNumber{ 1 }, {} };
  const auto add = [&update](const std::string& aKey, const nlohmann::json& aValue) {
    update.states.push_back({ aKey, TicketNumber{ 1 }, aValue });
  };
  const nlohmann::json service = ServiceTicket(1, 0).changes.begin()->second;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "organisation-" + std::to_string(i);
    add("organisation/" + name, { { "weight", 1.5 }, { "requests_per_second", 500 } });
    for (int s = 0; s < 5; ++s) {
      add("service/" + name + "/service-" + std::to_string(s), service);
    }
  }
  for (int i = 0; i < 41; ++i) {
    add("quota/team-" + std::to_string(i),
        { { "resources", { { "cores", 400 }, { "memory_mib", 1'600'000 } } },
          { "organisations", { "organisation-1", "organisation-2" } } });
  }
  for (std::size_t i = 0; i < kAgents; ++i) {
    add("worker/worker-" + std::to_string(i), { { "mode", "serve" } });
  }
  const double start = ProcessorMicroseconds();
  ConfigView view;
  view.Apply(update);
  const double applied = ProcessorMicroseconds() - start;
  const double bytes = static_cast<double>(EncodeMessage(view.WholeState()).size());
  aContext.Report(
    { "message", {}, bytes, "B", static_cast<double>(kMaxMessageBytes), BoundKind::AtMost });
  aContext.Report({ "per_key",
                    {},
                    bytes / static_cast<double>(update.states.size()),
                    "B",
                    {},
                    BoundKind::AtMost });
  aContext.Report({ "apply", {}, applied / 1e3, "ms", {}, BoundKind::AtMost });
}

const BenchRegistration kNormal{ "tickets/in_force", [](BenchContext& aContext) {
                                  MeasureInForce(aContext, false, false);
                                } };
const BenchRegistration kPushesLost{ "tickets/in_force_pushes_lost", [](BenchContext& aContext) {
                                      MeasureInForce(aContext, true, false);
                                    } };
const BenchRegistration kAllLost{ "tickets/in_force_pushes_and_notifications_lost",
                                  [](BenchContext& aContext) {
                                    MeasureInForce(aContext, true, true);
                                  } };
const BenchRegistration kStore{ "tickets/store_and_bytes", MeasureStoreAndBytes };
const BenchRegistration kProcessor{ "tickets/processor_time", MeasureProcessorTime };
const BenchRegistration kState{ "tickets/whole_state", MeasureWholeState };

} // namespace

} // namespace oriolespread
