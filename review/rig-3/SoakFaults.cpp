// The cases of the third review that are scripts. Usage: rig-3 CASE RECORD. Exits with 1 if the
// rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the environment it
// does the same without the disruption.
#include "SoakCluster.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <optional>
#include <sstream>

namespace oriolespread::review {

namespace {

struct CaseOptions
{
  RigOptions rig;
  // Without it, the same is done without the disruption.
  bool trouble = true;
};

using platformwire_testing::StandInRunProfile;

constexpr const char* kOrdinary = "/lookup/";
constexpr const char* kOther = "/quote/";

std::string JobId(std::uint64_t aNumber)
{
  std::ostringstream text;
  text << std::hex << (0x5c0e7a2100000000ULL + aNumber);
  return text.str();
}

StandInRunProfile Work(std::int64_t aMilliCores, std::int64_t aMemoryMiB, Duration aTime)
{
  StandInRunProfile profile;
  profile.demand = { aMilliCores, aMemoryMiB, 0 };
  profile.work = aTime;
  return profile;
}

// The jobs of an ordinary client: one step of four tasks that each take 0.3 s on half a core.
class OrdinaryJobs
{
public:
  explicit OrdinaryJobs(Rig& aRig)
    : rig(aRig)
  {
  }

  // Returns whether the job was accepted.
  bool Submit()
  {
    const std::string id = JobId(++this->last);
    this->rig.SetWork(id, { Work(500, 512, std::chrono::milliseconds(300)) });
    const Answer answer = this->rig.CallAny(
      "POST",
      kOrdinary + id,
      R"({"spec":"lookup","steps":[{"count":4,"cpu":500,"mem_mb":512,"estimate_ms":300}]})");
    if (answer.status != 200) {
      this->unanswered += answer.status == 0 ? 1 : 0;
      return false;
    }
    this->accepted[id] = BootClock::now();
    return true;
  }

  bool HasStarted(const std::string& aId) const
  {
    return std::any_of(this->rig.starts.begin(),
                       this->rig.starts.end(),
                       [&](const StartedRun& aRun) { return aRun.task.starts_with(aId); });
  }

  // Returns the accepted jobs of which no worker has been told to start a task.
  std::vector<std::string> NotStarted() const
  {
    std::vector<std::string> ids;
    for (const auto& [id, at] : this->accepted) {
      if (!this->HasStarted(id)) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  // Returns how many accepted jobs are asked for without any answer.
  std::size_t CountUnanswered()
  {
    std::size_t unanswered = 0;
    for (const auto& [id, at] : this->accepted) {
      unanswered += this->rig.CallAny("GET", kOrdinary + id, "", 1).status == 0 ? 1 : 0;
    }
    return unanswered;
  }

  std::map<std::string, Instant> accepted;
  // Submissions that none of five tries at all entries got an answer to.
  std::size_t unanswered = 0;

private:
  Rig& rig;
  std::uint64_t last = 0;
};

// Returns the highest share of the capacity of all workers that runs use at present.
double UsedShare(const Rig& aRig)
{
  double used = 0;
  double all = 0;
  for (const auto& worker : aRig.workers) {
    used += static_cast<double>(worker->Reserved().milliCores);
    all += static_cast<double>(worker->Capacity().milliCores);
  }
  return used / all;
}

// Waits until an ordinary job is served, and then for half a lease, so that the deployment is calm.
bool WarmUp(Rig& aRig, OrdinaryJobs& aJobs)
{
  aRig.Start();
  const Instant latest = BootClock::now() + std::chrono::seconds(20);
  while (!aJobs.Submit()) {
    if (BootClock::now() > latest) {
      return false;
    }
  }
  const bool served =
    aRig.RunUntil([&] { return aJobs.NotStarted().empty(); }, std::chrono::seconds(15));
  aRig.RunFor(std::chrono::seconds(3));
  return served;
}

// After the disruption, ordinary jobs go on arriving. Rule LOST: for 3 s, a job has nothing running
// while a task's turn has come, there is capacity for it twice over, and under half of the
// service's capacity is in use; or an accepted job gets no answer in time. The check waits for
// `aTime`, which is much longer. It also fails if an ordinary submission gets no answer from any
// entry, five times with 3 s each.
int CheckOrdinaryJobs(Rig& aRig, OrdinaryJobs& aJobs, Duration aSubmitTime, Duration aTime)
{
  double used = 0;
  const Instant until = BootClock::now() + aSubmitTime;
  std::size_t accepted = 0;
  while (BootClock::now() < until && aJobs.unanswered == 0) {
    accepted += aJobs.Submit() ? 1 : 0;
    aRig.RunFor(std::chrono::milliseconds(700));
    used = std::max(used, UsedShare(aRig));
  }
  const bool allStarted = aRig.RunUntil(
    [&] {
      used = std::max(used, UsedShare(aRig));
      return aJobs.NotStarted().empty();
    },
    aTime);
  const Instant now = BootClock::now();
  for (const std::string& id : aJobs.NotStarted()) {
    aRig.Note("broken: job " + id + " was accepted " +
              std::to_string(ToMilliseconds(now - aJobs.accepted.at(id))) +
              " ms ago and nothing of it has been started");
  }
  const std::size_t unanswered = aJobs.CountUnanswered();
  std::ostringstream summary;
  summary << "result: " << aJobs.accepted.size() << " ordinary jobs accepted, " << accepted
          << " of them after the disruption, " << aJobs.NotStarted().size() << " never started, "
          << unanswered << " asked for without an answer; " << aJobs.unanswered
          << " submissions without an answer from any entry; at most "
          << static_cast<int>(100 * used) << "% of the workers' cores in use; "
          << aRig.epochs.size() << " leaders; " << aRig.memoryKills
          << " entries ended for their memory, " << aRig.ownEnds
          << " processes ended by themselves";
  aRig.Note(summary.str());
  std::cout << summary.str() << "\n";
  const bool isBroken = !allStarted || unanswered > 0 || aJobs.unanswered > 0;
  return isBroken ? 1 : accepted == 0 ? 2 : 0;
}

// A client submits one job of many small tasks beside a lasting job of another client.
int RunSmallTasks(const CaseOptions& aOptions)
{
  Rig rig(aOptions.rig);
  rig.PutConfig({ { { "name", "lookup" }, { "path_prefix", kOrdinary } },
                  { { "name", "quote" }, { "path_prefix", kOther } } });
  OrdinaryJobs jobs(rig);
  if (!WarmUp(rig, jobs)) {
    return 2;
  }
  const std::string lasting = JobId(0xaaaa);
  StandInRunProfile profile = Work(2000, 4000, Duration::zero());
  profile.longRunning = true;
  rig.SetWork(lasting, { profile });
  const Answer answer = rig.CallAny(
    "POST",
    kOrdinary + lasting,
    R"({"spec":"watch","steps":[{"count":6,"cpu":2000,"mem_mb":4000,"long_running":true,"may_miss":1}]})");
  if (answer.status != 200) {
    return 2;
  }
  rig.RunFor(std::chrono::seconds(3));
  if (aOptions.trouble) {
    nlohmann::json steps = nlohmann::json::array();
    std::vector<StandInRunProfile> work;
    for (int index = 0; index < 10; ++index) {
      steps.push_back(
        { { "count", 10000 }, { "cpu", 1 }, { "mem_mb", 1 }, { "estimate_ms", 8000 } });
      work.push_back(Work(1, 1, std::chrono::seconds(8)));
    }
    rig.SetWork(JobId(0xbbbb), work);
    rig.CallAny("POST",
                kOther + JobId(0xbbbb),
                nlohmann::json{ { "spec", "quote" }, { "steps", steps } }.dump());
  }
  const auto lapsedTasks = [&] {
    return std::count_if(rig.ends.begin(), rig.ends.end(), [&](const auto& aEnd) {
      return aEnd.first.first.starts_with(lasting) && aEnd.second == "lapsed";
    });
  };
  rig.RunUntil([&] { return lapsedTasks() > 1; }, std::chrono::seconds(60));
  rig.RunFor(std::chrono::seconds(2));
  std::ostringstream summary;
  summary
    << "result: " << lapsedTasks()
    << " of 6 lasting tasks have ended as their lease lapsed, may_miss is 1; the stand-ins' own "
       "loop was late by "
    << ToMilliseconds(rig.longestLateness) << " ms at most";
  rig.Note(summary.str());
  std::cout << summary.str() << "\n";
  if (rig.longestLateness > std::chrono::seconds(1)) {
    return 2;
  }
  return lapsedTasks() > 1 ? 1 : 0;
}

// The operator adds a route with a long name, and a client submits a job on it.
int RunLongName(const CaseOptions& aOptions)
{
  // 90 letters of two bytes each; without the disruption, 40 letters.
  std::string name;
  for (int index = 0; index < (aOptions.trouble ? 90 : 40); ++index) {
    name += "\u0436";
  }
  Rig rig(aOptions.rig);
  rig.PutConfig({ { { "name", "lookup" }, { "path_prefix", kOrdinary } } });
  OrdinaryJobs jobs(rig);
  if (!WarmUp(rig, jobs)) {
    return 2;
  }
  rig.Note("operator: adds a route whose name has " + std::to_string(name.size()) + " bytes");
  rig.PutConfig({ { { "name", "lookup" }, { "path_prefix", kOrdinary } },
                  { { "name", name }, { "path_prefix", kOther } } });
  rig.RunFor(std::chrono::seconds(3));
  const std::string id = JobId(0xcccc);
  rig.SetWork(id, { Work(500, 512, std::chrono::milliseconds(300)) });
  const Answer answer = rig.CallAny(
    "POST",
    kOther + id,
    R"({"spec":"quote","steps":[{"count":4,"cpu":500,"mem_mb":512,"estimate_ms":300}]})");
  if (answer.status != 200) {
    return answer.status == 0 ? 2 : 0;
  }
  const bool started = rig.RunUntil(
    [&] {
      return std::any_of(rig.starts.begin(), rig.starts.end(), [&](const StartedRun& aRun) {
        return aRun.task.starts_with(id);
      });
    },
    std::chrono::seconds(30));
  const Answer state = rig.CallAny("GET", kOther + id, "");
  const bool isKnown = state.status == 200;
  rig.Note("result: accepted with 200, started " + std::to_string(started) +
           ", asked for: " + std::to_string(state.status));
  std::cout << "accepted, started " << started << ", asked for: " << state.status << "\n";
  return started && isKnown ? 0 : 1;
}

// Entries have been replaced over time, and then the processes on the workers' machines are killed.
int RunReplaced(const CaseOptions& aOptions)
{
  Rig rig(aOptions.rig);
  rig.PutConfig({ { { "name", "lookup" }, { "path_prefix", kOrdinary } } });
  OrdinaryJobs jobs(rig);
  if (!WarmUp(rig, jobs)) {
    return 2;
  }
  if (aOptions.trouble && !rig.ReplaceEntries(520)) {
    return 2;
  }
  for (int index = 0; index < 3; ++index) {
    jobs.Submit();
    rig.RunFor(std::chrono::seconds(1));
  }
  if (!rig.RunUntil([&] { return jobs.NotStarted().empty(); }, std::chrono::seconds(15))) {
    return 2;
  }
  rig.Note("platform: kills all processes on the workers' machines");
  for (const auto& agent : rig.agents) {
    agent->Signal(SIGKILL);
  }
  rig.RunFor(std::chrono::seconds(15));
  return CheckOrdinaryJobs(rig, jobs, std::chrono::seconds(8), std::chrono::seconds(30));
}

// The first start of a task is not answered and arrives late. Its repetition is carried out, the
// run fails by its own fault, and the next run is at work on another worker when the first worker's
// machine loses power for a while.
int RunSettledStart(const CaseOptions& aOptions)
{
  constexpr Duration kLateness = std::chrono::milliseconds(4000);
  constexpr Duration kWorkerDownTime = std::chrono::milliseconds(600);
  constexpr Duration kAgentDownTime = std::chrono::milliseconds(3500);
  RigOptions rigOptions = aOptions.rig;
  rigOptions.workers = 8;
  Rig rig(rigOptions);
  rig.PutConfig({ { { "name", "lookup" }, { "path_prefix", kOrdinary } } });
  OrdinaryJobs jobs(rig);
  if (!WarmUp(rig, jobs)) {
    return 2;
  }
  const std::string id = JobId(0xeeee);
  const std::string task = id + ".0.0.0";
  rig.profile = [&](const std::string& aTask,
                    std::uint64_t aRun) -> std::optional<StandInRunProfile> {
    if (aTask != task) {
      return std::nullopt;
    }
    StandInRunProfile profile = Work(1000, 1000, std::chrono::seconds(8));
    if (aRun == 1 && rig.starts.back().task != task) {
      profile.failsAfter = std::chrono::milliseconds(200);
    }
    return profile;
  };
  std::optional<std::size_t> first;
  rig.delays = [&](std::size_t aWorker, const HttpRequest& aRequest) -> std::optional<Duration> {
    if (!aOptions.trouble || first.has_value() || aRequest.target != "/oriolespread/run-start" ||
        aRequest.body.find(task) == std::string::npos) {
      return std::nullopt;
    }
    first = aWorker;
    rig.Note("network: the start of " + task + " on w-" + std::to_string(aWorker + 1) +
             " gets no answer and arrives 4 s later");
    return kLateness;
  };
  const Answer answer = rig.CallAny(
    "POST",
    kOrdinary + id,
    R"({"spec":"lookup","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"estimate_ms":8000}]})");
  const auto runsOf = [&](std::uint64_t aRun) {
    return std::count_if(rig.starts.begin(), rig.starts.end(), [&](const StartedRun& aStart) {
      return aStart.task == task && aStart.run == aRun;
    });
  };
  if (answer.status != 200 ||
      !rig.RunUntil([&] { return runsOf(2) > 0; }, std::chrono::seconds(10))) {
    return 2;
  }
  const StartedRun second = rig.starts.back();
  if (aOptions.trouble) {
    if (!first.has_value() || second.worker == "w-" + std::to_string(*first + 1)) {
      return 2;
    }
    rig.RunFor(std::chrono::milliseconds(300));
    rig.LosePower(*first, kWorkerDownTime, kAgentDownTime);
  }
  bool twice = false;
  rig.RunUntil(
    [&] {
      const bool secondWorks = !rig.ends.contains({ task, 2 });
      twice = twice || (secondWorks && runsOf(1) > 1);
      return twice || !secondWorks;
    },
    std::chrono::seconds(15));
  rig.RunFor(std::chrono::seconds(4));
  const std::string summary = "result: run 1 was started " + std::to_string(runsOf(1)) +
                              " times; two runs of " + task +
                              " at the same time: " + (twice ? "yes" : "no");
  rig.Note(summary);
  std::cout << summary << "\n";
  return twice ? 1 : 0;
}

// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int RunCase(const std::string& aName, const CaseOptions& aOptions)
{
  if (aName == "small-tasks") {
    return RunSmallTasks(aOptions);
  }
  if (aName == "long-name") {
    return RunLongName(aOptions);
  }
  if (aName == "replaced") {
    return RunReplaced(aOptions);
  }
  if (aName == "settled-start") {
    return RunSettledStart(aOptions);
  }
  std::cerr << "rig-3: no case " << aName << "\n";
  return 2;
}

} // namespace

// Runs the case in a temporary folder.
int RunCaseInFolder(const std::string& aName, const std::string& aRecord)
{
  const char* trouble = std::getenv("TROUBLE");
  const auto directory =
    std::filesystem::temp_directory_path() / ("oriolespread-review-" + std::to_string(::getpid()));
  CaseOptions options;
  options.rig.programs = std::filesystem::absolute("target/packages/apps").string();
  options.rig.directory = directory.string();
  options.rig.record = aRecord;
  options.rig.network = 1 + static_cast<int>(::getpid() % 250);
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  int result = 2;
  try {
    result = RunCase(aName, options);
  } catch (const std::exception& error) {
    std::cerr << "rig-3: " << error.what() << "\n";
  }
  std::filesystem::remove_all(directory);
  return result;
}

} // namespace oriolespread::review

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: rig-3 CASE RECORD\n";
    return 2;
  }
  // The processes that a case starts are in the group of this one, and end with it when it is
  // stopped.
  ::setpgid(0, 0);
  for (const int ending : { SIGTERM, SIGINT, SIGHUP }) {
    std::signal(ending, [](int /*aSignal*/) { ::kill(0, SIGKILL); });
  }
  return oriolespread::review::RunCaseInFolder(argv[1], argv[2]);
}
