// The only worker with a label is lost for good. Jobs that need the label are accepted within the
// seconds after that. Checks that `pending` counts them, as none of their tasks has started.
#include "../rig/Rig.h"

#include <iostream>

using namespace review;

namespace {

constexpr int kWorkers = 8;
constexpr int kJobs = 4;
// visible_ms + 2 s.
constexpr std::int64_t kPendingAfterMs = 5000;
constexpr int kLooks = 10;

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
  rig.SleepMs(2000);
  if (HasTrouble()) {
    rig.workers[0]->Crash();
  }
  rig.SleepMs(500);
  std::vector<std::string> ids;
  for (int job = 0; job < kJobs; ++job) {
    const std::string id = "00000000000000d" + std::to_string(job);
    const nlohmann::json steps = nlohmann::json::array({ { { "count", 2 },
                                                           { "cpu", 500 },
                                                           { "mem_mb", 200 },
                                                           { "estimate_ms", 1000 },
                                                           { "requirements", "b" } } });
    if (rig.Submit(job % 2, id, steps, { 500, 200, 1000, 0.1 }).status == 200) {
      ids.push_back(id);
    }
    rig.SleepMs(500);
  }
  if (ids.empty()) {
    return kCouldNotRun;
  }
  rig.SleepMs(kPendingAfterMs + 500);
  int broken = 0;
  for (int look = 0; look < kLooks; ++look) {
    std::size_t notBegun = 0;
    for (const std::string& id : ids) {
      notBegun += rig.CountStarted(id) == 0 ? 1 : 0;
    }
    const Answer answer = rig.Call(look % 2, "GET", "/rounds/");
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status == 200 && body.is_object() &&
        2 * body.value("pending", std::size_t{ 0 }) < notBegun) {
      ++broken;
      rig.Note("MIXED: " + std::to_string(notBegun) + " accepted jobs have not begun, pending is " +
               answer.body);
    }
    rig.SleepMs(1000);
  }
  rig.Note("wrong answers: " + std::to_string(broken) + " of " + std::to_string(kLooks));
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
