#include "PlacementSimulation.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <queue>

namespace oriolespread::bench {

namespace {

constexpr std::size_t kActionsPerTick = 256;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

enum class Phase
{
  Waiting,
  Running,
  Stopping,
  Done,
};

struct State
{
  Phase phase = Phase::Waiting;
  Duration remaining{};
  Instant started;
  Instant safe;
  Resources grant;
  std::size_t worker = 0;
  std::uint64_t evictions = 0;
  std::uint64_t life = 0;
  bool everStarted = false;
};

enum class EventKind
{
  Finish,
  Checkpoint,
  Stopped,
};

struct Event
{
  Instant at;
  EventKind kind;
  std::size_t task;
  std::uint64_t life;

  bool operator>(const Event& aOther) const
  {
    return std::tie(this->at, this->task, this->kind) >
           std::tie(aOther.at, aOther.task, aOther.kind);
  }
};

class Run
{
public:
  Run(const SimulationSetup& aSetup, AnyPlacer& aPlacer)
    : setup(aSetup)
    , placer(aPlacer)
    , random(aSetup.seed)
    , states(aSetup.tasks.size())
    , used(aSetup.workers.size())
  {
    for (std::size_t i = 0; i < aSetup.workers.size(); ++i) {
      this->workerIndex[aSetup.workers[i].worker.Value()] = i;
      this->placer.SetWorker(aSetup.workers[i]);
    }
    for (std::size_t i = 0; i < aSetup.tasks.size(); ++i) {
      this->taskIndex[ToString(aSetup.tasks[i].request.task)] = i;
      this->states[i].remaining = aSetup.tasks[i].work;
    }
  }

  SimulationResult Go()
  {
    std::size_t next = 0;
    double utilisation = 0.0;
    std::size_t ticks = 0;
    for (Instant now{}; now <= Instant{} + this->setup.length; now += this->setup.tick) {
      for (; next < this->setup.tasks.size() && this->setup.tasks[next].arrival <= now; ++next) {
        this->placer.Submit(now, this->setup.tasks[next].request);
      }
      while (!this->events.empty() && this->events.top().at <= now) {
        const Event event = this->events.top();
        this->events.pop();
        this->Handle(event);
      }
      const double before = ThreadSeconds();
      const auto actions = this->placer.Schedule(now, kActionsPerTick);
      this->result.placerSeconds += ThreadSeconds() - before;
      for (const PlacementAction& action : actions) {
        std::visit([&](const auto& aAction) { this->Apply(now, aAction); }, action);
      }
      utilisation += this->Utilisation();
      ++ticks;
    }
    this->result.meanUtilisation = utilisation / static_cast<double>(ticks);
    this->CountUnfinished();
    return this->result;
  }

private:
  void Handle(const Event& aEvent)
  {
    State& state = this->states[aEvent.task];
    const SimulatedTask& task = this->setup.tasks[aEvent.task];
    if (state.life != aEvent.life) {
      return;
    }
    if (aEvent.kind == EventKind::Checkpoint) {
      if (state.phase == Phase::Running) {
        this->Keep(aEvent.task, aEvent.at);
        this->placer.RecordCheckpoint(aEvent.at, task.request.task);
        this->events.push({ aEvent.at + task.checkpoint, aEvent.kind, aEvent.task, state.life });
      }
      return;
    }
    if (aEvent.kind == EventKind::Finish && state.phase == Phase::Running) {
      this->Keep(aEvent.task, aEvent.at);
      state.phase = Phase::Done;
      ++this->result.completed;
      this->result.makespan = std::max(this->result.makespan, Seconds(aEvent.at - Instant{}));
      this->Free(aEvent.task);
      return;
    }
    if (aEvent.kind == EventKind::Stopped && state.phase == Phase::Stopping) {
      state.phase = Phase::Waiting;
      ++state.life;
      this->Free(aEvent.task);
      this->placer.Submit(aEvent.at, task.request);
    }
  }

  // The work since the last safe point is done for good.
  void Keep(std::size_t aTask, Instant aAt)
  {
    State& state = this->states[aTask];
    const SimulatedTask& task = this->setup.tasks[aTask];
    if (task.request.taskClass == TaskClass::Batch && !task.request.urgent) {
      this->result.batchWork +=
        Seconds(aAt - state.safe) * static_cast<double>(task.request.declared.milliCores) / 1000;
    }
    state.remaining -= aAt - state.safe;
    state.safe = aAt;
  }

  void Free(std::size_t aTask)
  {
    const State& state = this->states[aTask];
    this->used[state.worker] -= state.grant;
    this->usedCores -= state.grant.milliCores;
    const double before = ThreadSeconds();
    this->placer.Release(this->setup.tasks[aTask].request.task);
    this->result.placerSeconds += ThreadSeconds() - before;
  }

  void Apply(Instant aNow, const PlaceTask& aAction)
  {
    const std::size_t index = this->taskIndex.at(ToString(aAction.task));
    State& state = this->states[index];
    const SimulatedTask& task = this->setup.tasks[index];
    state.phase = Phase::Running;
    state.worker = this->workerIndex.at(aAction.worker.Value());
    state.grant = aAction.grant;
    state.started = aNow;
    state.safe = aNow;
    ++state.life;
    ++this->result.starts;
    this->used[state.worker] += state.grant;
    this->usedCores += state.grant.milliCores;
    if (!this->used[state.worker].FitsIn(this->setup.workers[state.worker].capacity)) {
      ++this->result.overcommits;
    }
    if (task.request.urgent && !state.everStarted) {
      this->result.urgentDelays.push_back(Seconds(aNow - task.arrival));
    }
    state.everStarted = true;
    if (task.work > Duration::zero()) {
      this->events.push({ aNow + state.remaining, EventKind::Finish, index, state.life });
    }
    if (task.checkpoint > Duration::zero()) {
      this->events.push({ aNow + task.checkpoint, EventKind::Checkpoint, index, state.life });
    }
  }

  void Apply(Instant aNow, const EvictTask& aAction)
  {
    const std::size_t index = this->taskIndex.at(ToString(aAction.task));
    State& state = this->states[index];
    state.phase = Phase::Stopping;
    ++state.evictions;
    ++this->result.evictions;
    this->result.mostEvictionsOfTask = std::max(this->result.mostEvictionsOfTask, state.evictions);
    this->result.lostWork +=
      Seconds(aNow - state.safe) * static_cast<double>(state.grant.milliCores) / 1000;
    const Duration stop = this->random.Between(Duration::zero(), this->setup.stopTime);
    this->events.push({ aNow + stop, EventKind::Stopped, index, state.life });
  }

  void Apply(Instant /*aNow*/, const RegrantTask& aAction)
  {
    State& state = this->states[this->taskIndex.at(ToString(aAction.task))];
    this->used[state.worker] += aAction.grant - state.grant;
    this->usedCores += aAction.grant.milliCores - state.grant.milliCores;
    state.grant = aAction.grant;
  }

  void Apply(Instant /*aNow*/, const ReportUnplaceable& /*aAction*/) {}

  double Utilisation() const
  {
    double whole = 0;
    for (const WorkerSpec& worker : this->setup.workers) {
      whole += static_cast<double>(worker.capacity.milliCores);
    }
    return static_cast<double>(this->usedCores) / whole;
  }

  void CountUnfinished()
  {
    const Instant end = Instant{} + this->setup.length;
    for (std::size_t i = 0; i < this->states.size(); ++i) {
      const SimulatedTask& task = this->setup.tasks[i];
      if (task.request.urgent && !this->states[i].everStarted && task.arrival < end) {
        this->result.urgentDelays.push_back(Seconds(end - task.arrival));
      }
      if (this->states[i].phase == Phase::Running) {
        this->Keep(i, end);
      }
    }
  }

  const SimulationSetup& setup;
  AnyPlacer& placer;
  RandomSource random;
  SimulationResult result;
  std::vector<State> states;
  std::vector<Resources> used;
  std::int64_t usedCores = 0;
  std::unordered_map<std::string, std::size_t> taskIndex;
  std::unordered_map<std::string, std::size_t> workerIndex;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

} // namespace

SimulationResult Simulate(const SimulationSetup& aSetup, AnyPlacer& aPlacer)
{
  return Run(aSetup, aPlacer).Go();
}

std::vector<WorkerSpec> MakeWorkers(std::size_t aCount, std::size_t aDataCentres)
{
  std::vector<WorkerSpec> workers;
  for (std::size_t i = 0; i < aCount; ++i) {
    WorkerSpec spec;
    spec.worker = WorkerId(absl::StrCat("w", i));
    spec.dataCentre = DataCentreId(absl::StrCat("dc", i % aDataCentres));
    spec.rack = RackId(absl::StrCat("r", i / aDataCentres / 3));
    spec.capacity = { 32'000, 125 * 1024, 0 };
    workers.push_back(spec);
  }
  return workers;
}

PlacementRequest MakeRequest(RandomSource& aRandom, std::size_t aNumber, TaskClass aClass)
{
  static constexpr std::int64_t kCores[] = { 500, 1000, 1000, 1000, 2000, 2000, 4000 };
  static constexpr std::int64_t kMemoryPerCore[] = { 1, 2, 3, 4, 6 };
  PlacementRequest request;
  request.task = { JobId(absl::StrCat("job-", aNumber / 10)),
                   static_cast<std::uint32_t>(aNumber % 10) };
  const std::uint64_t organisation = aRandom.Below(300);
  request.organisation = OrganisationId(absl::StrCat("org", organisation));
  request.kind = absl::StrCat("kind", aRandom.Below(5));
  request.taskClass = aClass;
  if (aClass == TaskClass::LatencyCritical) {
    request.service = ServiceName(absl::StrCat("svc", aRandom.Below(3)));
  }
  const std::int64_t cores = kCores[aRandom.Below(std::size(kCores))];
  request.declared = { cores, cores * 1024 / 1000 * kMemoryPerCore[aRandom.Below(5)], 0 };
  return request;
}

double Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto rank =
    static_cast<std::size_t>(std::ceil(aPart * static_cast<double>(aValues.size())));
  const auto nth =
    aValues.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(aValues.begin(), nth, aValues.end());
  return *nth;
}

double ThreadSeconds()
{
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

} // namespace oriolespread::bench
