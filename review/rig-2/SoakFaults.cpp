#include "SoakFaults.h"

#include "PlainCaller.h"

#include <asio/signal_set.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace oriolespread::review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kOk = 200;
constexpr std::size_t kEntries = 2;
constexpr std::size_t kWorkers = 3;
constexpr std::int64_t kMemoryMb = 260;
constexpr Duration kFinish = seconds(14);
constexpr const char* kFirstPrefix = "/first/";
constexpr const char* kSecondPrefix = "/second/";
// The kinds of jobs, for their identifiers.
constexpr int kProbe = 1;
constexpr int kOrdinary = 2;
constexpr int kTrouble = 3;

// How many ordinary jobs come before and after the disruption.
constexpr int kJobsBefore = 6;
constexpr int kJobsAfter = 14;

// More than the 32 cores of a worker.
constexpr std::int64_t kFillingMilliCores = 40'000;

// One task of 300 ms on one core.
json OrdinaryStep()
{
  return { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 256 }, { "estimate_ms", 300 } };
}

std::string OrdinaryJob(const std::string& aSpec)
{
  return json{ { "spec", aSpec }, { "steps", { OrdinaryStep() } } }.dump();
}

// A temporary folder for settings and logs, which is removed at the end.
class TemporaryFolder
{
public:
  TemporaryFolder()
    : path(std::filesystem::temp_directory_path() /
           ("oriolespread-review-2-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(this->path);
  }
  ~TemporaryFolder()
  {
    std::error_code error;
    std::filesystem::remove_all(this->path, error);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Path() const { return this->path.string(); }

private:
  std::filesystem::path path;
};

// A deployment with two queues of two organisations, and what its clients and workers see.
class Play
{
public:
  using HoldsCall = std::function<bool(std::size_t aWorker, const HttpRequest& aCall)>;

  Play(const CaseOptions& aOptions,
       const std::string& aSecondService,
       std::size_t aWorkers = kWorkers,
       HoldsCall aHoldsCall = nullptr)
    : record(aOptions.record)
    , workers(aWorkers)
    , holdsCall(std::move(aHoldsCall))
    , site(this->context, this->Options(aSecondService), this->record)
    , callers(this->context, this->site, kEntries)
  {
    this->signals.async_wait([](asio::error_code aError, int /*aSignal*/) {
      if (!aError) {
        // Leaves the event loop, so that all processes are ended.
        throw std::runtime_error("ended by a signal");
      }
    });
  }

  // Starts the system and waits until it has done a job; returns whether it has.
  bool Begin()
  {
    constexpr int kSteps = 40;
    this->site.Start();
    this->site.Run(seconds(2));
    const std::string id = JobId(kProbe, 0);
    const auto submitted = this->callers.Call("POST", kFirstPrefix + id, OrdinaryJob("probe"));
    for (int step = 0; step < kSteps; ++step) {
      this->site.Run(milliseconds(500));
      if (this->doneSpecs.contains("probe") && submitted->status == kOk) {
        return true;
      }
    }
    return false;
  }

  // Ends the traffic, waits for finish_s and records the state of the entries.
  void EndTraffic()
  {
    this->record.Add("end_of_traffic", nlohmann::ordered_json::object());
    this->site.Run(kFinish);
    for (std::size_t index = 0; index < kEntries; ++index) {
      soak::Process& entry = this->site.Entry(index);
      this->record.Add("entry",
                       { { "entry", index + 1 },
                         { "runs", entry.IsRunning() },
                         { "mb", Site::ResidentMb(entry) },
                         { "processor_ms", ToMilliseconds(entry.ProcessorTime()) } });
    }
  }

  // Asks for the states of the jobs, and returns the results once all calls have ended.
  std::vector<std::shared_ptr<CallResult>> AskAll(const std::vector<std::string>& aPaths)
  {
    constexpr int kSteps = 40;
    std::vector<std::shared_ptr<CallResult>> results;
    results.reserve(aPaths.size());
    for (const std::string& path : aPaths) {
      results.push_back(this->callers.Call("GET", path));
    }
    const auto hasEnded = [](const auto& aResult) { return aResult->ended; };
    for (int step = 0; step < kSteps && !std::all_of(results.begin(), results.end(), hasEnded);
         ++step) {
      this->site.Run(milliseconds(500));
    }
    return results;
  }

  // The system, its clients and its workers run in the calling thread.
  asio::io_context context;
  asio::signal_set signals{ this->context, SIGINT, SIGTERM };
  TemporaryFolder folder;
  Record record;
  // The texts of the tasks that workers have begun, and of those that have ended `done`.
  std::multiset<std::string> startedSpecs;
  std::set<std::string> doneSpecs;
  std::map<std::string, std::string> specOfTask;
  // The jobs whose tasks use what others leave.
  std::set<std::string> fillingJobs;
  // The jobs whose tasks take 15 s.
  std::set<std::string> longJobs;
  // The runs at work, by task: worker and number of the run.
  std::map<std::string, std::set<std::string>> runsOfTask;
  // When two runs of one task were at work.
  nlohmann::ordered_json twice = nlohmann::ordered_json::array();
  std::size_t workers;
  HoldsCall holdsCall;
  Site site;
  Callers callers;

private:
  SiteOptions Options(const std::string& aSecondService)
  {
    SiteOptions options;
    options.directory = this->folder.Path();
    options.entries = kEntries;
    options.workers = this->workers;
    options.memoryMb = kMemoryMb;
    options.queues = { Site::Queue("q1", kFirstPrefix),
                       Site::Queue("q2", kSecondPrefix, aSecondService) };
    if (aSecondService != Site::kService) {
      options.services[this->workers - 1] = aSecondService;
    }
    options.profile = [this](const std::string& aTask, std::uint64_t /*aRun*/) {
      platformwire_testing::StandInRunProfile profile;
      const std::string job = aTask.substr(0, aTask.find('.'));
      const bool isFilling = this->fillingJobs.contains(job);
      profile.demand = { isFilling ? kFillingMilliCores : 1000, 256, 0 };
      profile.work = this->longJobs.contains(job) ? milliseconds(15000) : milliseconds(300);
      profile.fillsUnused = isFilling;
      return profile;
    };
    options.holdsCall = this->holdsCall;
    options.onStarted = [this](const std::string& aWorker,
                               const std::string& aTask,
                               std::uint64_t aRun,
                               const std::string& aSpec) {
      std::set<std::string>& runs = this->runsOfTask[aTask];
      runs.insert(aWorker + " run " + std::to_string(aRun));
      if (runs.size() > 1) {
        this->twice.push_back({ { "ms", this->record.Ms() }, { "task", aTask }, { "runs", runs } });
      }
      this->startedSpecs.insert(aSpec);
      this->specOfTask[aTask] = aSpec;
    };
    options.onEnded = [this](const std::string& aWorker,
                             const std::string& aTask,
                             std::uint64_t aRun,
                             const std::string& aHow) {
      this->runsOfTask[aTask].erase(aWorker + " run " + std::to_string(aRun));
      if (aHow == "done") {
        this->doneSpecs.insert(this->specOfTask[aTask]);
      }
    };
    return options;
  }
};

// Kills and restarts an entry whose memory exceeds the limit, as the platform does, until the play
// ends.
class MemoryGuard
{
public:
  explicit MemoryGuard(Play& aPlay)
    : play(aPlay)
  {
    this->Check();
  }

  std::size_t Kills() const { return this->kills; }
  std::int64_t LargestMb() const { return this->largestMb; }

private:
  void Check()
  {
    for (std::size_t index = 0; index < kEntries; ++index) {
      soak::Process& entry = this->play.site.Entry(index);
      const std::int64_t megabytes = Site::ResidentMb(entry);
      this->largestMb = std::max(this->largestMb, megabytes);
      if (megabytes > kMemoryMb) {
        ++this->kills;
        this->play.record.Add("over_memory", { { "entry", index + 1 }, { "mb", megabytes } });
        entry.Signal(SIGKILL);
        this->play.callers.After(seconds(1), [&entry] {
          if (!entry.IsRunning()) {
            entry.Start();
          }
        });
      }
    }
    this->play.callers.After(milliseconds(100), [this] { this->Check(); });
  }

  Play& play;
  std::size_t kills = 0;
  std::int64_t largestMb = 0;
};

// Submits an ordinary job of the first queue each half second for this long.
std::map<std::string, std::shared_ptr<CallResult>> SubmitOrdinaryJobs(Play& aPlay,
                                                                      int aFirst,
                                                                      int aCount)
{
  std::map<std::string, std::shared_ptr<CallResult>> submitted;
  for (int number = 0; number < aCount; ++number) {
    const std::string id = JobId(kOrdinary, aFirst + number);
    submitted[id] = aPlay.callers.Call("POST", kFirstPrefix + id, OrdinaryJob(id));
    aPlay.site.Run(milliseconds(500));
  }
  return submitted;
}

// Judges rule LOST for the jobs of the first queue that were accepted: each must be known, and must
// be done, since the workers were free for the whole of finish_s.
int JudgeAccepted(Play& aPlay, const std::map<std::string, std::shared_ptr<CallResult>>& aJobs)
{
  std::vector<std::string> paths;
  for (const auto& [id, result] : aJobs) {
    if (result->status == kOk) {
      paths.push_back(kFirstPrefix + id);
    }
  }
  const auto results = aPlay.AskAll(paths);
  std::size_t unanswered = 0;
  std::size_t notDone = 0;
  for (const auto& result : results) {
    if (result->status != kOk) {
      ++unanswered;
    } else if (result->body.find("completed") == std::string::npos) {
      ++notDone;
    }
  }
  const bool isBroken = unanswered + notDone > 0;
  const nlohmann::ordered_json verdict{ { "submitted", aJobs.size() },
                                        { "accepted", paths.size() },
                                        { "without_answer_at_the_end", unanswered },
                                        { "not_done_at_the_end", notDone },
                                        { "rule", isBroken ? "LOST broken" : "held" } };
  aPlay.record.Add("verdict", verdict);
  std::cout << verdict.dump() << '\n';
  return isBroken ? kBroken : kHeld;
}

} // namespace

int PlayDueAtOnce(const CaseOptions& aOptions)
{
  // One occurrence a minute for a week.
  constexpr int kRepeats = 7 * 24 * 60;
  constexpr int kIntervalMs = 60'000;
  Play play(aOptions, Site::kService);
  if (!play.Begin()) {
    return kCouldNotRun;
  }
  auto jobs = SubmitOrdinaryJobs(play, 0, kJobsBefore);
  std::shared_ptr<CallResult> hopeless;
  if (aOptions.trouble) {
    json step = OrdinaryStep();
    step["requirements"] = "no-such-kind";
    hopeless = play.callers.Call("POST",
                                 kSecondPrefix + JobId(kTrouble, 0),
                                 json{ { "spec", "each minute" },
                                       { "steps", { step } },
                                       { "repeats", kRepeats },
                                       { "interval_ms", kIntervalMs } }
                                   .dump());
  }
  jobs.merge(SubmitOrdinaryJobs(play, kJobsBefore, kJobsAfter));
  play.EndTraffic();
  if (hopeless != nullptr && hopeless->status != kOk) {
    std::cout << "the job that can never be done was not accepted\n";
    return kCouldNotRun;
  }
  return JudgeAccepted(play, jobs);
}

int PlayMemory(const CaseOptions& aOptions)
{
  constexpr int kLargeJobs = 24;
  // A burst of four seconds at less than 2.6 times 1.13 jobs a second, then that rate.
  constexpr int kBurstJobs = 11;
  constexpr Duration kBurstInterval = milliseconds(360);
  constexpr Duration kUsualInterval = milliseconds(900);
  constexpr int kOrdinaryJobs = 34;
  constexpr int kSteps = 10;
  constexpr int kTasksPerStep = 10'000;
  Play play(aOptions, Site::kService);
  if (!play.Begin()) {
    return kCouldNotRun;
  }
  MemoryGuard guard(play);
  auto jobs = SubmitOrdinaryJobs(play, 0, kJobsBefore);
  std::vector<std::shared_ptr<CallResult>> large;
  if (aOptions.trouble) {
    json step = OrdinaryStep();
    step["count"] = kTasksPerStep;
    const std::string body =
      json{ { "spec", "large" }, { "steps", std::vector<json>(kSteps, step) } }.dump();
    Duration at{};
    for (int number = 0; number < kLargeJobs; ++number) {
      play.callers.After(at, [&play, &large, body, number] {
        large.push_back(play.callers.Call("POST", kSecondPrefix + JobId(kTrouble, number), body));
      });
      at += number < kBurstJobs ? kBurstInterval : kUsualInterval;
    }
  }
  jobs.merge(SubmitOrdinaryJobs(play, kJobsBefore, kOrdinaryJobs));
  play.EndTraffic();
  const nlohmann::ordered_json memory{
    { "large_jobs_accepted",
      std::count_if(
        large.begin(), large.end(), [](const auto& aResult) { return aResult->status == kOk; }) },
    { "limit_mb", kMemoryMb },
    { "largest_mb", guard.LargestMb() },
    { "kills", guard.Kills() }
  };
  play.record.Add("memory", memory);
  std::cout << memory.dump() << '\n';
  return JudgeAccepted(play, jobs);
}

int PlaySameId(const CaseOptions& aOptions)
{
  constexpr std::int64_t kDueInMs = 8000;
  Play play(aOptions, "s2");
  if (!play.Begin()) {
    return kCouldNotRun;
  }
  // The identifiers that the second organisation uses for its own calls.
  const std::string ran = JobId(kOrdinary, 1);
  const std::string scheduled = JobId(kOrdinary, 2);
  const std::string ownJob = aOptions.trouble ? ran : JobId(kTrouble, 1);
  const std::string ownCancel = aOptions.trouble ? scheduled : JobId(kTrouble, 2);
  const auto first = play.callers.Call("POST", kFirstPrefix + ran, OrdinaryJob("of q1"));
  const std::int64_t unixMs =
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
  const auto timed = play.callers.Call("POST",
                                       kFirstPrefix + scheduled,
                                       json{ { "spec", "of q1, later" },
                                             { "steps", { OrdinaryStep() } },
                                             { "repeats", 1 },
                                             { "initial_delay_ms", unixMs + kDueInMs } }
                                         .dump());
  play.site.Run(seconds(3));
  const auto second = play.callers.Call("POST", kSecondPrefix + ownJob, OrdinaryJob("of q2"));
  const auto cancel = play.callers.Call("DELETE", kSecondPrefix + ownCancel);
  play.site.Run(seconds(3));
  play.EndTraffic();
  const auto states = play.AskAll({ kSecondPrefix + ownJob, kFirstPrefix + scheduled });
  if (first->status != kOk || timed->status != kOk || second->status != kOk ||
      !play.doneSpecs.contains("of q1")) {
    return kCouldNotRun;
  }
  const bool hasOwnRun = play.startedSpecs.contains("of q2");
  const bool hasTimedRun = play.startedSpecs.contains("of q1, later");
  const nlohmann::ordered_json verdict{
    { "submission_to_q2", second->status },
    { "task_of_q2_ran", hasOwnRun },
    { "state_in_q2", states.front()->body },
    { "cancel_in_q2", cancel->status },
    { "timed_task_of_q1_ran", hasTimedRun },
    { "timed_state_in_q1", states.back()->body },
    { "rule", hasOwnRun && hasTimedRun ? "held" : "LOST, MIXED broken" }
  };
  play.record.Add("verdict", verdict);
  std::cout << verdict.dump() << '\n';
  return hasOwnRun && hasTimedRun ? kHeld : kBroken;
}

int PlayFills(const CaseOptions& aOptions)
{
  constexpr std::int64_t kFewerMilliCores = 20'000;
  Play play(aOptions, Site::kService);
  if (!play.Begin()) {
    return kCouldNotRun;
  }
  const std::string id = JobId(kTrouble, 0);
  play.fillingJobs.insert(id);
  json step = OrdinaryStep();
  step["cpu"] = aOptions.trouble ? kFillingMilliCores : kFewerMilliCores;
  step["fills"] = true;
  const auto filling = play.callers.Call(
    "POST", kSecondPrefix + id, json{ { "spec", id }, { "steps", { step } } }.dump());
  static_cast<void>(SubmitOrdinaryJobs(play, 0, kJobsBefore));
  play.EndTraffic();
  // The workers have nothing else to do any more.
  play.site.Run(kFinish);
  if (filling->status != kOk) {
    return kCouldNotRun;
  }
  const auto states = play.AskAll({ kSecondPrefix + id });
  const bool hasRun = play.startedSpecs.contains(id);
  const std::string state = states.front()->body;
  const nlohmann::ordered_json verdict{ { "submission", filling->status },
                                        { "task_ran", hasRun },
                                        { "state", state },
                                        { "rule", hasRun ? "held" : "LOST broken" } };
  play.record.Add("verdict", verdict);
  std::cout << verdict.dump() << '\n';
  return hasRun ? kHeld : kBroken;
}

int PlayFormerLife(const CaseOptions& aOptions)
{
  // From the moment at which the start of the task is sent.
  constexpr Duration kAgentKilled = milliseconds(100);
  constexpr Duration kAgentDown = milliseconds(1000);
  constexpr Duration kWorkerCrashes = milliseconds(1000);
  constexpr Duration kWorkerDown = milliseconds(600);
  constexpr Duration kCallLate = milliseconds(4000);
  constexpr Duration kStoreRefuses = milliseconds(7000);
  // One worker of eight crashes, and one of ten machines has trouble.
  constexpr std::size_t kManyWorkers = 8;
  const std::string id = JobId(kTrouble, 0);
  std::optional<std::pair<std::size_t, HttpRequest>> held;
  Play play(
    aOptions, Site::kService, kManyWorkers, [&](std::size_t aWorker, const HttpRequest& aCall) {
      const bool isStart =
        aCall.target == "/oriolespread/run-start" && aCall.body.find(id) != std::string::npos;
      if (!aOptions.trouble || !isStart || held.has_value()) {
        return false;
      }
      held.emplace(aWorker, aCall);
      return true;
    });
  if (!play.Begin()) {
    return kCouldNotRun;
  }
  play.longJobs.insert(id);
  const auto submitted = play.callers.Call("POST", kFirstPrefix + id, OrdinaryJob(id));
  for (int step = 0; step < 100 && aOptions.trouble && !held.has_value(); ++step) {
    play.site.Run(milliseconds(20));
  }
  if (aOptions.trouble && !held.has_value()) {
    return kCouldNotRun;
  }
  if (held.has_value()) {
    const std::size_t machine = held->first;
    soak::Process& agent = play.site.Agent(machine);
    play.record.Add("start_held", { { "worker", machine + 1 } });
    play.site.SetStoreRefuses(machine, true);
    play.callers.After(kStoreRefuses, [&, machine] { play.site.SetStoreRefuses(machine, false); });
    play.callers.After(kAgentKilled, [&, machine] {
      play.record.Add("agent_killed", { { "machine", machine + 1 } });
      agent.Signal(SIGKILL);
    });
    play.callers.After(kAgentKilled + kAgentDown, [&, machine] {
      if (!agent.IsRunning()) {
        play.record.Add("agent_started", { { "machine", machine + 1 } });
        agent.Start();
      }
    });
    play.callers.After(kWorkerCrashes, [&, machine] {
      play.record.Add("worker_crashes", { { "worker", machine + 1 } });
      play.site.Worker(machine).Crash(kWorkerDown, Duration::zero());
    });
    play.callers.After(kCallLate, [&, machine] { play.site.Deliver(machine, held->second); });
  }
  play.site.Run(seconds(30));
  play.EndTraffic();
  const auto states = play.AskAll({ kFirstPrefix + id });
  const bool isBroken = !play.twice.empty();
  const nlohmann::ordered_json verdict{ { "submission", submitted->status },
                                        { "two_runs_at_once", play.twice },
                                        { "state", states.front()->body },
                                        { "rule", isBroken ? "TWICE broken" : "held" } };
  play.record.Add("verdict", verdict);
  std::cout << verdict.dump() << '\n';
  return isBroken ? kBroken : kHeld;
}

} // namespace oriolespread::review
