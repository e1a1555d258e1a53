// A client hands in a job whose only step is a gang of three and that repeats four times, every 5
// s. Checks that the job is not shown as completed before its last time has run.
#include "../rig/Rig.h"

#include <chrono>
#include <iostream>

using namespace review;

namespace {

constexpr int kMembers = 3;
constexpr int kRepeats = 4;
constexpr std::int64_t kIntervalMs = 5000;
constexpr std::int64_t kFinishMs = 14000;

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::size_t CountDone(Rig& aRig, const std::string& aId)
{
  std::size_t done = 0;
  for (const auto& [task, numbered] : aRig.Runs()) {
    bool isDone = false;
    for (const auto& [number, run] : numbered) {
      isDone = isDone || run.how == "done";
    }
    done += isDone && task.starts_with(aId + ".") ? 1 : 0;
  }
  return done;
}

int Run(const std::string& aFolder)
{
  std::vector<WorkerOptions> workers(3);
  for (std::size_t index = 0; index < workers.size(); ++index) {
    workers[index].id = "i-7f3a91c" + std::to_string(index + 1);
  }
  Rig rig(aFolder, 2, workers);
  if (!rig.StartAll()) {
    return kCouldNotRun;
  }
  rig.SleepMs(1000);
  const bool isGang = HasTrouble();
  const std::string id = "00000000000000e0";
  nlohmann::json step{
    { "count", kMembers }, { "cpu", 500 }, { "mem_mb", 200 }, { "estimate_ms", 1000 }
  };
  if (isGang) {
    step["gang"] = true;
  }
  nlohmann::json fields{ { "repeats", kRepeats },
                         { "initial_delay_ms", UnixMs() + 2000 },
                         { "interval_ms", kIntervalMs } };
  const TaskShape shape{ 500, 200, 1000, 0, isGang ? std::size_t{ kMembers } : 0 };
  if (rig.Submit(0, id, nlohmann::json::array({ step }), shape, fields).status != 200) {
    return kCouldNotRun;
  }
  const std::int64_t until = rig.NowMs() + 2000 + kRepeats * kIntervalMs + kFinishMs;
  int broken = 0;
  while (rig.NowMs() < until) {
    // The tasks are counted after the answer, so that one that ends meanwhile breaks nothing.
    const Answer answer = rig.Call(1, "GET", "/rounds/" + id);
    const std::size_t done = CountDone(rig, id);
    if (answer.body.find("completed") != std::string::npos && done < kMembers * kRepeats) {
      ++broken;
      rig.Note("MIXED: the job is shown as completed, and " + std::to_string(done) + " of " +
               std::to_string(kMembers * kRepeats) + " tasks have ended done");
    }
    rig.SleepMs(500);
  }
  rig.Note("tasks that ended done: " + std::to_string(CountDone(rig, id)));
  return broken > 0 ? kBroken : kHeld;
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
