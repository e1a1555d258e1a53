// Limits the processor time of processes as a quota of a control group does: within each window of
// 100 ms, a process runs until its share of the window is used up and is then stopped.
#pragma once

#include "Process.h"

#include "oriolespread/base/Time.h"

#include <atomic>
#include <thread>
#include <vector>

namespace oriolespread::soak {

class ProcessorQuota
{
public:
  ProcessorQuota() = default;
  // Ends the thread and lets all processes run.
  ~ProcessorQuota();
  ProcessorQuota(const ProcessorQuota&) = delete;
  ProcessorQuota& operator=(const ProcessorQuota&) = delete;

  // Limits a process to this share of a core. To be called before Start; the process must outlive
  // the quota.
  void Add(Process& aProcess, double aShare);
  // Begins to watch the processes from a thread of its own. Without processes it does nothing.
  void Start();
  // Returns the longest time between two looks at the processes, by which a process may have run
  // for longer than its share or was stopped for longer.
  Duration LongestGap() const { return Duration(this->longestGap.load()); }

private:
  struct Limited
  {
    Process* process;
    double share;
    // The windows of processes begin at different times.
    Duration phase;
    std::int64_t window = 0;
    Duration usedBefore{};
    // What may be used in the present window.
    Duration budget{};
    bool stopped = false;
  };

  void Watch();
  static void Look(Limited& aLimited, Duration aTime);

  std::vector<Limited> limited;
  std::atomic<bool> ending = false;
  std::atomic<Duration::rep> longestGap = 0;
  std::thread thread;
};

} // namespace oriolespread::soak
