#include "ProcessorQuota.h"

#include <algorithm>

namespace oriolespread::soak {

namespace {

constexpr Duration kWindow = std::chrono::milliseconds(100);
// A process exceeds its budget by up to this time, which is taken from its next window.
constexpr Duration kLookInterval = std::chrono::milliseconds(1);
constexpr int kPhases = 16;

} // namespace

ProcessorQuota::~ProcessorQuota()
{
  this->ending = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
  for (const Limited& item : this->limited) {
    item.process->SetThrottled(false);
  }
}

void ProcessorQuota::Add(Process& aProcess, double aShare)
{
  const auto number = static_cast<int>(this->limited.size());
  this->limited.push_back({ &aProcess, aShare, kWindow * (number % kPhases) / kPhases });
}

void ProcessorQuota::Start()
{
  if (!this->limited.empty()) {
    this->thread = std::thread([this] { this->Watch(); });
  }
}

void ProcessorQuota::Watch()
{
  const Instant start = BootClock::now();
  Instant last = start;
  while (!this->ending) {
    const Instant now = BootClock::now();
    this->longestGap = std::max(this->longestGap.load(), (now - last).count());
    last = now;
    for (Limited& item : this->limited) {
      Look(item, now - start);
    }
    std::this_thread::sleep_for(kLookInterval);
  }
}

void ProcessorQuota::Look(Limited& aLimited, Duration aTime)
{
  const Duration share = std::chrono::duration_cast<Duration>(kWindow * aLimited.share);
  const std::int64_t window = (aTime + aLimited.phase) / kWindow + 1;
  if (window == aLimited.window && aLimited.stopped) {
    return;
  }
  const Duration used = aLimited.process->ProcessorTime();
  if (window != aLimited.window) {
    const Duration excess =
      std::max(Duration::zero(), used - aLimited.usedBefore - aLimited.budget);
    aLimited.budget = std::min(share, share * (window - aLimited.window) - excess);
    aLimited.usedBefore = used;
    aLimited.window = window;
  }
  const bool stops = used - aLimited.usedBefore >= aLimited.budget;
  if (stops != aLimited.stopped) {
    aLimited.stopped = stops;
    aLimited.process->SetThrottled(stops);
  }
}

} // namespace oriolespread::soak
