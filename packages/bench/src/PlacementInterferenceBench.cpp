// How long services suffer from noisy batch tasks on their workers, with and without the steps
// against interference, for reports of different lag.
//
// Truth of the simulation: a service on a worker suffers while noisy tasks of the kinds that
// disturb it use more than a limit of cores there. A throttled task uses its lower grant. Reports
// come each second, follow the rules of ServiceLatencyReport, and arrive late.
#include "PlacementSimulation.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/placement/ScoredPlacer.h"

#include <deque>
#include <map>
#include <queue>
#include <set>

namespace oriolespread::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 40;
constexpr std::size_t kServices = 4;
constexpr std::size_t kReplicas = 16;
constexpr std::size_t kKinds = 12;
constexpr Duration kLength = seconds(3600);
// Noisy tasks come in waves of this length, every other wave being quiet.
constexpr Duration kWave = seconds(600);
constexpr std::int64_t kHarmfulMilliCores = 3'000;
// A second eviction of a task's kind from the same worker within this time is an oscillation.
constexpr Duration kOscillation = seconds(600);

struct InterferenceResult
{
  // Seconds times replicas.
  double suffered = 0;
  double served = 0;
  double throttles = 0;
  double evictions = 0;
  double innocentEvictions = 0;
  double oscillations = 0;
  double mostEvictionsOfJobInHour = 0;
};

struct Running
{
  std::string kind;
  WorkerId worker;
  Resources grant;
  std::uint64_t life = 0;
  bool stopping = false;
};

struct Replica
{
  std::size_t service = 0;
  WorkerId worker;
  int above = 0;
  bool suffering = false;
  std::deque<std::pair<Instant, bool>> late;
};

// Kind k disturbs service s when it is the noisy kind of that service; kinds 4 and above are quiet.
bool Disturbs(const std::string& aKind, std::size_t aService)
{
  return aKind == absl::StrCat("kind", aService);
}

// Returns the greatest number of the times, which ascend, that fall within one hour.
double MostInAnHour(const std::vector<Instant>& aTimes)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < aTimes.size(); ++i) {
    while (aTimes[first] + std::chrono::hours(1) <= aTimes[i]) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return static_cast<double>(most);
}

class InterferenceRun
{
public:
  InterferenceRun(std::uint64_t aSeed, Duration aLag, bool aReport)
    : random(aSeed)
    , placer(counters)
    , lag(aLag)
    , report(aReport)
  {
  }

  InterferenceResult Go()
  {
    for (const WorkerSpec& worker : MakeWorkers(kWorkers, 4)) {
      this->placer.SetWorker(worker);
    }
    this->SubmitServices();
    for (; this->now < Instant{} + kLength; this->now += milliseconds(200)) {
      this->SubmitBatch();
      this->Finish();
      for (const PlacementAction& action : this->placer.Schedule(this->now, 64)) {
        std::visit([this](const auto& aAction) { this->Apply(aAction); }, action);
      }
      if (ToMilliseconds(this->now - Instant{}) % 1000 == 0) {
        this->ReportLatency();
      }
    }
    for (const auto& entry : this->evictionTimes) {
      this->result.mostEvictionsOfJobInHour =
        std::max(this->result.mostEvictionsOfJobInHour, MostInAnHour(entry.second));
    }
    return this->result;
  }

private:
  void SubmitServices()
  {
    for (std::size_t service = 0; service < kServices; ++service) {
      for (std::size_t i = 0; i < kReplicas; ++i) {
        PlacementRequest request;
        request.task = { JobId(absl::StrCat("service", service)), static_cast<std::uint32_t>(i) };
        request.organisation = OrganisationId(absl::StrCat("owner", service));
        request.kind = "replica";
        request.taskClass = TaskClass::LatencyCritical;
        request.service = ServiceName(absl::StrCat("svc", service));
        request.declared = { 4'000, 12 * 1024, 0 };
        this->requests[request.task] = request;
        this->placer.Submit(this->now, request);
      }
    }
  }

  void SubmitBatch()
  {
    const bool noisyWave = ((this->now - Instant{}) / kWave) % 2 == 0;
    while (this->random.Chance(0.35)) {
      PlacementRequest request = MakeRequest(this->random, this->number++, TaskClass::Batch);
      const std::uint64_t kind = this->random.Chance(noisyWave ? 0.4 : 0.05)
                                   ? this->random.Below(kServices)
                                   : kServices + this->random.Below(kKinds - kServices);
      request.organisation = OrganisationId(absl::StrCat("org", kind));
      request.kind = absl::StrCat("kind", kind);
      request.task.job = JobId(absl::StrCat("job", this->number / 40, "-", kind));
      request.task.index = static_cast<std::uint32_t>(this->number);
      request.declared.milliCores = std::max<std::int64_t>(request.declared.milliCores, 2'000);
      this->requests[request.task] = request;
      this->placer.Submit(this->now, request);
    }
  }

  void Finish()
  {
    while (!this->ends.empty() && std::get<0>(this->ends.top()) <= this->now) {
      const auto [at, task, life] = this->ends.top();
      this->ends.pop();
      const auto it = this->running.find(task);
      if (it == this->running.end() || it->second.life != life) {
        continue;
      }
      const bool again = it->second.stopping;
      this->running.erase(it);
      this->placer.Release(task);
      if (again) {
        this->placer.Submit(this->now, this->requests[task]);
      }
    }
  }

  void Apply(const PlaceTask& aAction)
  {
    const PlacementRequest& request = this->requests[aAction.task];
    if (request.taskClass == TaskClass::LatencyCritical) {
      const auto service = static_cast<std::size_t>(request.service.Value().back() - '0');
      this->replicas.push_back({ service, aAction.worker, 0, false, {} });
      return;
    }
    const std::uint64_t life = ++this->lives;
    this->running[aAction.task] = { request.kind, aAction.worker, aAction.grant, life, false };
    const Duration work = seconds(5) + this->random.Exponential(seconds(240));
    this->ends.emplace(this->now + work, aAction.task, life);
  }

  void Apply(const EvictTask& aAction)
  {
    Running& task = this->running.at(aAction.task);
    ++this->result.evictions;
    bool guilty = false;
    for (const Replica& replica : this->replicas) {
      guilty = guilty || (replica.worker == task.worker && Disturbs(task.kind, replica.service));
    }
    this->result.innocentEvictions += guilty ? 0 : 1;
    Instant& last = this->lastEviction[{ task.kind, task.worker }];
    if (last != Instant{} && this->now < last + kOscillation) {
      ++this->result.oscillations;
    }
    last = this->now;
    this->evictionTimes[aAction.task.job].push_back(this->now);
    task.stopping = true;
    task.life = ++this->lives;
    this->ends.emplace(this->now + milliseconds(500), aAction.task, task.life);
  }

  void Apply(const RegrantTask& aAction)
  {
    ++this->result.throttles;
    this->running.at(aAction.task).grant = aAction.grant;
  }

  void Apply(const ReportUnplaceable& /*aAction*/) {}

  void ReportLatency()
  {
    std::map<WorkerId, std::map<std::string, std::int64_t>> load;
    for (const auto& [task, running] : this->running) {
      load[running.worker][running.kind] += running.grant.milliCores;
    }
    for (Replica& replica : this->replicas) {
      const std::int64_t noise = load[replica.worker][absl::StrCat("kind", replica.service)];
      const bool above = noise >= kHarmfulMilliCores;
      ++this->result.served;
      this->result.suffered += above ? 1 : 0;
      replica.above = above ? replica.above + 1 : 0;
      replica.suffering = replica.above >= 2 || (above && replica.suffering);
      replica.late.emplace_back(this->now + this->lag, replica.suffering);
      while (this->report && !replica.late.empty() && replica.late.front().first <= this->now) {
        ServiceLatencyReport message;
        message.worker = replica.worker;
        message.organisation = OrganisationId(absl::StrCat("owner", replica.service));
        message.service = ServiceName(absl::StrCat("svc", replica.service));
        message.suffering = replica.late.front().second;
        this->placer.RecordLatency(this->now, message);
        replica.late.pop_front();
      }
    }
  }

  using End = std::tuple<Instant, TaskId, std::uint64_t>;

  RandomSource random;
  Counters counters;
  ScoredPlacer placer;
  Duration lag;
  bool report;
  Instant now{};
  InterferenceResult result;
  std::size_t number = 0;
  std::uint64_t lives = 0;
  std::map<TaskId, PlacementRequest> requests;
  std::map<TaskId, Running> running;
  std::vector<Replica> replicas;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::map<std::pair<std::string, WorkerId>, Instant> lastEviction;
  std::map<JobId, std::vector<Instant>> evictionTimes;
};

void MeasureInterference(BenchContext& aContext)
{
  for (const int lag : { 1, 5, 20 }) {
    const InterferenceResult without = InterferenceRun(aContext.Seed(), seconds(lag), false).Go();
    const InterferenceResult with = InterferenceRun(aContext.Seed(), seconds(lag), true).Go();
    const std::string suffix = absl::StrCat("_lag_", lag, "s");
    const auto report = [&](const char* aName, double aWithout, double aWith, const char* aUnit) {
      aContext.Report({ aName + suffix, aWithout, aWith, aUnit, std::nullopt });
    };
    report(
      "suffered_share", without.suffered / without.served, with.suffered / with.served, "ratio");
    report("throttles", without.throttles, with.throttles, "regrants");
    report("evictions", without.evictions, with.evictions, "evictions");
    report("evictions_of_innocent", 0, with.innocentEvictions, "evictions");
    report("oscillations", 0, with.oscillations, "evictions");
    aContext.Report({ "most_evictions_of_job_in_hour" + suffix,
                      std::nullopt,
                      with.mostEvictionsOfJobInHour,
                      "evictions",
                      2.0 });
  }
}

const BenchRegistration kInterferenceCase{ "placement/interference", MeasureInterference };

} // namespace

} // namespace oriolespread::bench
