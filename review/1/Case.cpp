// A client hands in one large job: a step of 2,000 small tasks, for which there is room. Checks
// that the jobs that were accepted after it run.
#include "../rig/Rig.h"

#include <iostream>

using namespace review;

namespace {

constexpr int kLargeCount = 2000;
constexpr int kSmallCount = 200;
constexpr int kOtherJobs = 5;
constexpr std::int64_t kFinishMs = 14000;

int Run(const std::string& aFolder)
{
  std::vector<WorkerOptions> workers(4);
  for (std::size_t index = 0; index < workers.size(); ++index) {
    workers[index].id = "i-7f3a91c" + std::to_string(index + 1);
  }
  Rig rig(aFolder, 2, workers);
  if (!rig.StartAll()) {
    return kCouldNotRun;
  }
  rig.SleepMs(1000);
  const auto steps = [](int aCount) {
    return nlohmann::json::array(
      { { { "count", aCount }, { "cpu", 50 }, { "mem_mb", 10 }, { "estimate_ms", 1000 } } });
  };
  const TaskShape shape{ 50, 10, 1000, 0.15 };
  // Shows that the deployment works.
  const std::string before = "00000000000000b0";
  if (rig.Submit(0, before, steps(6), shape).status != 200) {
    return kCouldNotRun;
  }
  rig.SleepMs(3000);
  if (rig.CountStarted(before) != 6) {
    rig.Note("the first job did not run");
    return kCouldNotRun;
  }
  const std::string large = "00000000000000b1";
  if (rig.Submit(0, large, steps(HasTrouble() ? kLargeCount : kSmallCount), shape).status != 200) {
    rig.Note("the large job was not accepted");
    return kHeld;
  }
  rig.SleepMs(1000);
  std::vector<std::string> others;
  for (int job = 0; job < kOtherJobs; ++job) {
    others.push_back("00000000000000c" + std::to_string(job));
    if (rig.Submit(job % 2, others.back(), steps(6), shape).status != 200) {
      others.pop_back();
    }
    rig.SleepMs(500);
  }
  rig.SleepMs(2 * kFinishMs);
  int broken = 0;
  others.push_back(large);
  for (const std::string& id : others) {
    const Answer answer = rig.Call(0, "GET", "/rounds/" + id);
    const std::size_t started = rig.CountStarted(id);
    if (started == 0) {
      ++broken;
      rig.Note("LOST: job " + id +
               " was accepted and no task of it was started; all workers have "
               "room; shown as " +
               answer.body);
    }
  }
  rig.Note("accepted jobs without a start: " + std::to_string(broken));
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
