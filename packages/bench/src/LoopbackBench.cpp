// The request path over real sockets on loopback: caller, entry, agent and upstream in one process,
// against the same calls sent to the upstream directly.

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/service/AgentServer.h"
#include "oriolespread/service/EntryServer.h"
#include "oriolespread/service/Log.h"
#include "oriolespread/standins/StandInPlatform.h"
#include "oriolespread/standins/StandInUpstream.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oriolespread {

namespace {

constexpr const char* kKey = "a-shared-key-of-the-bench-site-001";
constexpr std::size_t kCallers = 8;
constexpr std::size_t kRate = 2'000;
constexpr std::size_t kRequests = 10'000;
// Half of the 200,000 requests that must leave nothing behind; the first half fills caches.
constexpr std::size_t kLeakHalf = 100'000;
constexpr Duration kStartLimit = std::chrono::seconds(30);

using Milliseconds = std::chrono::duration<double, std::milli>;

EntrySettings MakeEntrySettings(const SocketAddress& aPlatform)
{
  EntrySettings settings;
  settings.entry.id = EntryId{ "entry-1" };
  settings.entry.dataCentre = DataCentreId{ "dc-1" };
  settings.entry.httpAddress = { "127.0.0.1", 0 };
  settings.entry.linkAddress = { "127.0.0.1", 0 };
  settings.entry.advertisedHttpAddress = settings.entry.httpAddress;
  settings.entry.advertisedLinkAddress = settings.entry.linkAddress;
  settings.entry.drainTime = std::chrono::seconds(5);
  settings.platform.tableAddress = { "127.0.0.1", aPlatform.port };
  settings.platform.objectAddress = settings.platform.tableAddress;
  settings.link.key = kKey;
  settings.shards.count = 1;
  settings.tokens.push_back(
    { Sha256("acme-token"), { Role::Organisation, OrganisationId{ "acme" } } });
  settings.tokens.push_back({ Sha256("operator-token"), { Role::Operator, {} } });
  return settings;
}

AgentSettings MakeAgentSettings(std::uint16_t aLinkPort)
{
  AgentSettings settings;
  settings.agent.id = AgentId{ "agent-1" };
  settings.agent.worker = WorkerId{ "worker-1" };
  settings.agent.dataCentre = DataCentreId{ "dc-1" };
  settings.agent.rack = RackId{ "rack-1" };
  settings.agent.localHttpAddress = { "127.0.0.1", 0 };
  settings.agent.drainTime = std::chrono::seconds(5);
  settings.entries.bootstrap.push_back({ "127.0.0.1", aLinkPort });
  settings.link.key = kKey;
  return settings;
}

// A site of one entry, one agent and one upstream; started when constructed.
class LoopbackSite
{
public:
  LoopbackSite()
  {
    InitLog(LogLevel::Error);
    (void)this->platform.Start({ "127.0.0.1", 0 });
    this->entry = *EntryServer::Create(MakeEntrySettings(this->platform.Address()));
    this->entry->Start();
    this->agent = *AgentServer::Create(MakeAgentSettings(this->entry->LinkPort()));
    this->agent->Start();
    this->upstream = std::make_unique<StandInUpstream>(
      StandInUpstreamOptions{ UpstreamId{ "upstream-1" },
                              OrganisationId{ "acme" },
                              ServiceName{ "lookup" },
                              8,
                              64,
                              { "127.0.0.1", this->agent->HttpPort() } });
    (void)this->upstream->Start({ "127.0.0.1", 0 });
  }

  ~LoopbackSite()
  {
    this->upstream->Stop();
    this->agent->Abort();
    this->entry->Abort();
    ShutdownLog();
  }

  // Configures the service and returns whether requests are answered.
  bool Configure()
  {
    httplib::Client client("127.0.0.1", this->entry->HttpPort());
    const httplib::Headers token = { { "Authorization", "Bearer operator-token" } };
    const char* ticket =
      R"({"id": "bench", "based_on": 0, "author": "bench", "changes": {"organisation/acme": {},
          "service/acme/lookup": {"class": "latency_critical"}}})";
    const Instant end = BootClock::now() + kStartLimit;
    while (BootClock::now() < end) {
      client.Post("/v1/tickets", token, ticket, "application/json");
      httplib::Client caller("127.0.0.1", this->entry->HttpPort());
      const auto result = caller.Get("/v1/services/lookup/", CallerHeaders());
      if (result && result->status == 200) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  static httplib::Headers CallerHeaders()
  {
    return { { "Authorization", "Bearer acme-token" }, { "Oriolespread-Deadline-Ms", "5000" } };
  }

  std::uint16_t EntryPort() const { return this->entry->HttpPort(); }
  std::uint16_t UpstreamPort() const { return this->upstream->Address().port; }

private:
  StandInPlatform platform;
  std::unique_ptr<EntryServer> entry;
  std::unique_ptr<AgentServer> agent;
  std::unique_ptr<StandInUpstream> upstream;
};

struct Latencies
{
  std::vector<double> ms;
  std::size_t failed = 0;

  double Quantile(double aQuantile)
  {
    if (this->ms.empty()) {
      return 0.0;
    }
    const auto rank =
      static_cast<std::size_t>(aQuantile * static_cast<double>(this->ms.size() - 1));
    std::nth_element(
      this->ms.begin(), this->ms.begin() + static_cast<std::ptrdiff_t>(rank), this->ms.end());
    return this->ms[rank];
  }
};

// Sends requests at a total rate from several callers, each on its own connection. Latency counts
// from when a request was due, so that a slow answer is not hidden by the requests it holds up.
Latencies Offer(std::uint16_t aPort,
                const std::string& aPath,
                std::size_t aRequests,
                std::size_t aRate)
{
  std::vector<Latencies> results(kCallers);
  std::vector<std::thread> threads;
  const Instant start = BootClock::now() + std::chrono::milliseconds(20);
  const Duration gap = Duration(std::chrono::seconds(1)) / aRate;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] {
      httplib::Client client("127.0.0.1", aPort);
      client.set_keep_alive(true);
      client.set_tcp_nodelay(true);
      for (std::size_t index = caller; index < aRequests; index += kCallers) {
        const Instant due = start + gap * index;
        std::this_thread::sleep_for(due - BootClock::now());
        const auto result = client.Get(aPath, LoopbackSite::CallerHeaders());
        results[caller].failed += result && result->status == 200 ? 0 : 1;
        results[caller].ms.push_back(Milliseconds(BootClock::now() - due).count());
      }
    });
  }
  Latencies all;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    threads[caller].join();
    all.failed += results[caller].failed;
    all.ms.insert(all.ms.end(), results[caller].ms.begin(), results[caller].ms.end());
  }
  return all;
}

double ResidentMiB()
{
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kPageMiB = 4096.0 / (1024.0 * 1024.0);
  return resident * kPageMiB;
}

void MeasureAddedLatency(BenchContext& aContext)
{
  LoopbackSite site;
  if (!site.Configure()) {
    aContext.Report({ "started", {}, 0.0, "sites", 1.0, BoundKind::AtLeast });
    return;
  }
  Offer(site.EntryPort(), "/v1/services/lookup/", kRequests / 10, kRate);
  Latencies direct = Offer(site.UpstreamPort(), "/", kRequests, kRate);
  Latencies through = Offer(site.EntryPort(), "/v1/services/lookup/", kRequests, kRate);
  const double directMedian = direct.Quantile(0.5);
  const double directTail = direct.Quantile(0.99);
  aContext.Report({ "added_median",
                    directMedian,
                    through.Quantile(0.5) - directMedian,
                    "ms",
                    1.0,
                    BoundKind::AtMost });
  aContext.Report(
    { "added_p99", directTail, through.Quantile(0.99) - directTail, "ms", 3.0, BoundKind::AtMost });
  aContext.Report({ "failed",
                    static_cast<double>(direct.failed),
                    static_cast<double>(through.failed),
                    "requests",
                    0.0,
                    BoundKind::AtMost });
}

void MeasureLeak(BenchContext& aContext)
{
  LoopbackSite site;
  if (!site.Configure()) {
    aContext.Report({ "started", {}, 0.0, "sites", 1.0, BoundKind::AtLeast });
    return;
  }
  // As fast as the callers go: the schedule lies in the past.
  constexpr std::size_t kUnlimited = 1'000'000;
  Offer(site.EntryPort(), "/v1/services/lookup/", kLeakHalf, kUnlimited);
  const double half = ResidentMiB();
  const Instant begin = BootClock::now();
  const Latencies rest = Offer(site.EntryPort(), "/v1/services/lookup/", kLeakHalf, kUnlimited);
  const double seconds = std::chrono::duration<double>(BootClock::now() - begin).count();
  // The callers' own figures of the second half are part of the growth.
  const double own = static_cast<double>(kLeakHalf) * 4.0 * sizeof(double) / 1048576.0;
  constexpr double kAllowedMiB = 4.0;
  aContext.Report({ "growth_last_100000",
                    half,
                    ResidentMiB() - half,
                    "MiB",
                    own + kAllowedMiB,
                    BoundKind::AtMost });
  aContext.Report(
    { "failed", {}, static_cast<double>(rest.failed), "requests", 0.0, BoundKind::AtMost });
  aContext.Report(
    { "rate", {}, static_cast<double>(kLeakHalf) / seconds, "requests/s", {}, BoundKind::AtLeast });
}

const BenchRegistration kAddedLatency{ "loopback/added_latency", MeasureAddedLatency };
const BenchRegistration kLeak{ "loopback/leak", MeasureLeak };

} // namespace

} // namespace oriolespread
