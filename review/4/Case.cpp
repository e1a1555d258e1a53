// A client hands in one large job of 1,300 small tasks with a `spec` of 4,000 bytes, for which one
// worker has room. Checks that the job runs.
#include "../rig/Rig.h"

#include <iostream>

using namespace review;

namespace {

constexpr int kWorkers = 4;
constexpr int kTasks = 1300;
// The longest `spec`.
constexpr std::size_t kSpecBytes = 4000;
constexpr std::size_t kShortSpecBytes = 200;
constexpr std::int64_t kFinishMs = 14000;

int Run(const std::string& aFolder)
{
  std::vector<WorkerOptions> workers(kWorkers);
  for (std::size_t index = 0; index < workers.size(); ++index) {
    workers[index].id = "i-7f3a91c" + std::to_string(index + 1);
    workers[index].labels = { index == 0 ? "b" : "a", "r1-" + std::to_string(index / 3 + 1) };
  }
  Rig rig(aFolder, 2, workers);
  if (!rig.StartAll()) {
    return kCouldNotRun;
  }
  rig.SleepMs(1000);
  const auto steps = [](int aCount) {
    return nlohmann::json::array({ { { "count", aCount },
                                     { "cpu", 24 },
                                     { "mem_mb", 10 },
                                     { "estimate_ms", 1000 },
                                     { "requirements", "b" } } });
  };
  const TaskShape shape{ 24, 10, 1000, 0.15, 0 };
  // Shows that the deployment works.
  const std::string before = "00000000000000f0";
  if (rig.Submit(0, before, steps(6), shape).status != 200) {
    return kCouldNotRun;
  }
  rig.SleepMs(3000);
  if (rig.CountStarted(before) != 6) {
    rig.Note("the first job did not run");
    return kCouldNotRun;
  }
  const std::string large = "00000000000000f1";
  const std::string spec(HasTrouble() ? kSpecBytes : kShortSpecBytes, 'x');
  if (rig.Submit(0, large, steps(kTasks), shape, { { "spec", spec } }).status != 200) {
    rig.Note("the large job was not accepted");
    return kHeld;
  }
  rig.SleepMs(1000);
  const std::string after = "00000000000000f2";
  if (rig.Submit(1, after, steps(6), shape).status != 200) {
    return kCouldNotRun;
  }
  rig.SleepMs(2 * kFinishMs);
  int broken = 0;
  for (const std::string& id : { large, after }) {
    const Answer answer = rig.Call(0, "GET", "/rounds/" + id);
    if (rig.CountStarted(id) == 0) {
      ++broken;
      rig.Note("LOST: job " + id + " was accepted and no task of it was started; its worker is " +
               "empty; shown as " + answer.body);
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
