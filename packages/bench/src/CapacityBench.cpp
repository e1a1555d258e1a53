// Slopes for docs/CAPACITY.md: what one more worker costs an entry as request server, and what an
// agent's messages weigh.

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/requests/RequestEngine.h"

#include <malloc.h>

#include <ctime>
#include <string>

namespace oriolespread {

namespace {

constexpr std::size_t kSizes[] = { 100, 1'000, 3'700 };
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
constexpr int kReports = 25;

UpstreamId UpstreamOf(std::size_t aIndex)
{
  return UpstreamId{ "upstream-" + std::to_string(aIndex) };
}

AgentId AgentOf(std::size_t aIndex)
{
  return AgentId{ "agent-" + std::to_string(aIndex) };
}

Announce MakeAnnounce(std::size_t aIndex)
{
  Announce announce;
  announce.agent = AgentOf(aIndex);
  announce.incarnation = Incarnation{ 1 };
  announce.worker = WorkerId{ "worker-" + std::to_string(aIndex) };
  announce.dataCentre = DataCentreId{ "dc-" + std::to_string(aIndex % 6) };
  announce.rack = RackId{ "rack-" + std::to_string(aIndex / 30) };
  announce.capacity = { 32'000, 125'000, 0 };
  announce.upstreams.push_back({ UpstreamOf(aIndex),
                                 Incarnation{ 1 },
                                 OrganisationId{ "organisation-" + std::to_string(aIndex % 300) },
                                 ServiceName{ "service" },
                                 8,
                                 64,
                                 UpstreamState::Serving });
  return announce;
}

LoadReport MakeReport(std::size_t aIndex, std::uint64_t aSequence)
{
  LoadReport report;
  report.agent = AgentOf(aIndex);
  report.incarnation = Incarnation{ 1 };
  report.sequence = aSequence;
  report.ticket = TicketNumber{ 100'000 };
  report.upstreams.push_back({ UpstreamOf(aIndex), 4, 0, 80, 0, 9'800, 31'000 });
  return report;
}

Heartbeat MakeHeartbeat(std::size_t aTasks)
{
  Heartbeat heartbeat;
  heartbeat.agent = AgentOf(1'000);
  heartbeat.incarnation = Incarnation{ 1 };
  heartbeat.worker = WorkerId{ "worker-1000" };
  heartbeat.sequence = 100'000;
  heartbeat.session = { ShardId{ 3 }, Epoch{ 12 }, 400 };
  heartbeat.capacity = { 32'000, 125'000, 0 };
  for (std::size_t index = 0; index < aTasks; ++index) {
    heartbeat.attempts.push_back(
      { { { JobId{ "organisation-17~nightly-2026-12-04" }, static_cast<std::uint32_t>(index) },
          { Epoch{ 12 }, 1'000'000 + index } },
        AttemptState::Running,
        "progress-1234567",
        "",
        { 1'500, 4'000, 0 } });
  }
  return heartbeat;
}

// An entry that every agent is linked with, which is the worst case: with 4 links an agent and 12
// entries each entry has a third of the agents.
void MeasureEntryOf(BenchContext& aContext, std::size_t aAgents)
{
  const auto heapBefore = mallinfo2().uordblks;
  Counters counters;
  RequestEngine engine({ EntryId{ "e" }, Incarnation{ 1 }, DataCentreId{ "dc-0" }, 1 }, counters);
  Instant now(std::chrono::seconds(1000));
  RequestEffects effects;
  for (std::size_t index = 0; index < aAgents; ++index) {
    const LinkId link{ index + 1 };
    engine.Handle(now, LinkUp{ link, std::chrono::milliseconds(7) }, effects);
    engine.Handle(now, LinkMessageReceived{ link, MakeAnnounce(index) }, effects);
    engine.Handle(
      now,
      LinkMessageReceived{ link, CreditGrant{ UpstreamOf(index), Incarnation{ 1 }, 1, 8, 64 } },
      effects);
  }
  const auto heap = mallinfo2().uordblks - heapBefore;
  const std::clock_t begin = std::clock();
  for (int round = 1; round <= kReports; ++round) {
    now += kReportInterval;
    for (std::size_t index = 0; index < aAgents; ++index) {
      const std::string bytes = EncodeMessage(MakeReport(index, static_cast<std::uint64_t>(round)));
      const auto message = DecodeMessage(bytes);
      engine.Handle(
        now, LinkMessageReceived{ LinkId{ index + 1 }, std::get<LoadReport>(*message) }, effects);
    }
    engine.Handle(now, Tick{}, effects);
    effects.clear();
  }
  const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const double agents = static_cast<double>(aAgents);
  const std::string size = std::to_string(aAgents);
  aContext.Report({ "heap_per_agent_" + size,
                    {},
                    static_cast<double>(heap) / agents,
                    "bytes",
                    {},
                    BoundKind::AtMost });
  aContext.Report({ "report_" + size,
                    {},
                    seconds * 1e6 / (agents * kReports),
                    "us per report, encoded and decoded",
                    {},
                    BoundKind::AtMost });
}

void MeasureEntry(BenchContext& aContext)
{
  for (const std::size_t agents : kSizes) {
    MeasureEntryOf(aContext, agents);
  }
}

void MeasureMessages(BenchContext& aContext)
{
  const auto report = [&](const char* aName, std::size_t aBytes) {
    aContext.Report({ aName, {}, static_cast<double>(aBytes), "bytes", {}, BoundKind::AtMost });
  };
  const std::size_t load = EncodeMessage(MakeReport(1'000, 100'000)).size();
  const std::size_t steady = EncodeMessage(MakeHeartbeat(0)).size();
  const std::size_t whole = EncodeMessage(MakeHeartbeat(19)).size();
  report("announce", EncodeMessage(MakeAnnounce(1'000)).size());
  report("load_report", load);
  report("heartbeat_unchanged", steady);
  report("heartbeat_19_tasks", whole);
  // 4 links with 5 reports a second each, and an announcement each 5 s on each; heartbeats each 2 s
  // to the owner; frame and length headers of 13 bytes.
  constexpr double kLinks = 4.0;
  constexpr double kFrame = 13.0;
  const double announces = static_cast<double>(EncodeMessage(MakeAnnounce(1'000)).size()) + kFrame;
  const double bytes = kLinks * (5.0 * (static_cast<double>(load) + kFrame) + announces / 5.0) +
                       (static_cast<double>(steady) + kFrame) / 2.0;
  aContext.Report({ "agent_bytes_per_second", {}, bytes, "bytes/s", 7'000.0, BoundKind::AtMost });
}

const BenchRegistration kEntry{ "capacity/entry_membership", MeasureEntry };
const BenchRegistration kMessages{ "capacity/messages", MeasureMessages };

} // namespace

} // namespace oriolespread
