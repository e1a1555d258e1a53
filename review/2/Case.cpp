// The store is down for 4.5 s while two workers end over 500 tasks each. A worker lists at most 500
// ends at a time. Checks that no task is started again after its run has ended `done`.
#include "../rig/Rig.h"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

constexpr int kJobs = 4;
constexpr int kTasksPerJob = 300;
constexpr std::int64_t kStartTimeMs = 20000;
constexpr std::int64_t kOutageMs = 4500;
constexpr std::int64_t kAfterMs = 20000;

// Returns the number of starts after the task's run had ended `done`, if that end was taken note
// of, with a line for the first ones.
std::size_t CountRepeatedStarts(Rig& aRig)
{
  std::size_t repeated = 0;
  for (const auto& [task, numbered] : aRig.Runs()) {
    for (const auto& [number, run] : numbered) {
      const bool isRepeated = std::any_of(
        numbered.begin(), numbered.end(), [&, startedAt = run.startedAt](const auto& aOther) {
          const RunRecord& other = aOther.second;
          return other.how == "done" && other.acknowledgedAt >= 0 && startedAt > other.endedAt;
        });
      if (isRepeated) {
        ++repeated;
        aRig.Note("TWICE: " + task + " run " + std::to_string(number) + " started at " +
                  std::to_string(run.startedAt) + " on " + run.worker +
                  " after a run had ended done");
      }
    }
  }
  return repeated;
}

int Run(const std::string& aFolder)
{
  std::vector<WorkerOptions> workers(2);
  for (std::size_t index = 0; index < workers.size(); ++index) {
    workers[index].id = "i-7f3a91c" + std::to_string(index + 1);
  }
  Rig rig(aFolder, 1, workers);
  if (!rig.StartAll()) {
    return kCouldNotRun;
  }
  rig.SleepMs(1000);
  std::vector<std::string> ids;
  for (int job = 0; job < kJobs; ++job) {
    ids.push_back("00000000000000a" + std::to_string(job));
    const nlohmann::json steps = nlohmann::json::array(
      { { { "count", kTasksPerJob }, { "cpu", 50 }, { "mem_mb", 10 }, { "estimate_ms", 6000 } } });
    if (rig.Submit(0, ids.back(), steps, { 50, 10, 6000, 0.15 }).status != 200) {
      return kCouldNotRun;
    }
  }
  const auto countStarted = [&] {
    std::size_t started = 0;
    for (const std::string& id : ids) {
      started += rig.CountStarted(id);
    }
    return started;
  };
  const std::int64_t latestStart = rig.NowMs() + kStartTimeMs;
  while (countStarted() < kJobs * kTasksPerJob && rig.NowMs() < latestStart) {
    rig.SleepMs(20);
  }
  if (countStarted() < kJobs * kTasksPerJob) {
    rig.Note("not all tasks were started");
    return kCouldNotRun;
  }
  rig.Note("all tasks were started");
  // The first task ends 5.1 s after its start, the last one 6.9 s after.
  std::int64_t latest = 0;
  for (const auto& [task, numbered] : rig.Runs()) {
    latest = std::max(latest, numbered.begin()->second.startedAt);
  }
  rig.SleepMs(std::max<std::int64_t>(latest + 3500 - rig.NowMs(), 0));
  if (HasTrouble()) {
    rig.store->SetBusy(true);
  }
  rig.SleepMs(kOutageMs);
  if (HasTrouble()) {
    for (const auto& worker : rig.workers) {
      rig.Note("unacknowledged ends: " + std::to_string(worker->UnacknowledgedEnds()));
    }
    rig.store->SetBusy(false);
  }
  rig.SleepMs(kAfterMs);
  for (const std::string& id : ids) {
    rig.Call(0, "GET", "/rounds/" + id);
  }
  const std::size_t repeated = CountRepeatedStarts(rig);
  rig.Note("starts after a run had ended done: " + std::to_string(repeated));
  return repeated > 0 ? kBroken : kHeld;
}

} // namespace

int main(int argc, char** argv)
{
  try {
    return argc == 2 ? Run(argv[1]) : kCouldNotRun;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
}
