#include "InterferencePolicy.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

// First guess of the time from a step to the report that shows its effect: stopping takes 0.5 s,
// latency is taken over 1 s, and two reports decide.
constexpr Duration kFirstResponse = seconds(5);
constexpr Duration kLeastWait = seconds(4);
constexpr Duration kMaxWait = seconds(60);
constexpr std::uint32_t kMaxDoublings = 3;
// Reports that must arrive after a step before the next one.
constexpr std::uint32_t kReportsPerStep = 2;
// After so many steps without effect the cause is sought elsewhere for a while.
constexpr std::uint32_t kMaxSteps = 8;
constexpr Duration kGiveUp = minutes(5);
constexpr Duration kObservationInterval = seconds(10);
// How long a throttle that helped is held.
constexpr Duration kThrottleHold = minutes(5);
// A service that was not heard of for so long is taken to have left the worker.
constexpr Duration kSilence = minutes(5);
constexpr int kSweepStep = 8;
constexpr Duration kEvictionWindow = hours(1);
// From this estimate on a relapse after a throttle is answered by eviction at once.
constexpr double kCertain = 0.5;

} // namespace

InterferencePolicy::InterferencePolicy(InterferenceModel& aModel, Counters& aCounters)
  : model(aModel)
  , counters(aCounters)
  , response(kFirstResponse)
{
}

Duration InterferencePolicy::Wait() const
{
  return std::clamp<Duration>(this->response * 3 / 2, kLeastWait, kMaxWait);
}

std::optional<InterferenceDecision> InterferencePolicy::Report(
  Instant aNow,
  WorkerIndex aWorker,
  NameIndex aService,
  bool aSuffering,
  const std::vector<Suspect>& aSuspects)
{
  Episode& episode = this->episodes[Key(aWorker, aService)];
  ++episode.reports;
  episode.reportedAt = aNow;
  if (aSuffering && !episode.suffering) {
    episode.suffering = true;
    episode.since = aNow;
  }
  if (aNow >= episode.observedAt + kObservationInterval) {
    this->Observe(aNow, episode, aService, aSuspects);
  }
  if (!aSuffering) {
    this->Settle(aNow, aService, episode);
    return std::nullopt;
  }
  const auto next = this->nextStep.find(aWorker);
  const bool tooEarly = next != this->nextStep.end() && aNow < next->second;
  if (tooEarly || (episode.last.has_value() && episode.reports < kReportsPerStep)) {
    return std::nullopt;
  }
  return this->Escalate(aNow, aWorker, aService, episode, aSuspects);
}

void InterferencePolicy::Observe(Instant aNow,
                                 Episode& aEpisode,
                                 NameIndex aService,
                                 const std::vector<Suspect>& aSuspects)
{
  aEpisode.observedAt = aNow;
  std::vector<NameIndex> kinds;
  for (const Suspect& suspect : aSuspects) {
    // Reports lag, so a task that has just come is not in them yet.
    if (suspect.placedAt + kObservationInterval <= aNow &&
        std::find(kinds.begin(), kinds.end(), suspect.kind) == kinds.end()) {
      kinds.push_back(suspect.kind);
      this->model.Observe(aNow, suspect.kind, aService, aEpisode.suffering);
    }
  }
}

// The service is well: credits the last step and ends the episode.
void InterferencePolicy::Settle(Instant aNow, NameIndex aService, Episode& aEpisode)
{
  if (aEpisode.suffering && aEpisode.last.has_value()) {
    const Action& last = *aEpisode.last;
    this->response =
      std::clamp<Duration>(aNow - aEpisode.firstAction, this->response * 9 / 10, kMaxWait);
    this->model.RecordEffect(aNow, last.kind, aService, true);
    if (last.step == InterferenceStep::Throttle) {
      this->HoldThrottle(aNow, last.task, last.sequence);
    }
    this->counters.Add("placement_interference_total", "settled");
  }
  aEpisode.suffering = false;
  aEpisode.last.reset();
  aEpisode.steps = 0;
  aEpisode.cleared.clear();
}

std::optional<InterferenceDecision> InterferencePolicy::Escalate(
  Instant aNow,
  WorkerIndex aWorker,
  NameIndex aService,
  Episode& aEpisode,
  const std::vector<Suspect>& aSuspects)
{
  if (aEpisode.last.has_value()) {
    const Action last = *aEpisode.last;
    const auto it = std::find_if(aSuspects.begin(), aSuspects.end(), [&](const Suspect& aSuspect) {
      return aSuspect.sequence == last.sequence;
    });
    if (last.step == InterferenceStep::Throttle && it != aSuspects.end() &&
        this->MayEvict(aNow, *it->job)) {
      return this->Act(aNow, aWorker, aService, aEpisode, *it, InterferenceStep::Evict);
    }
    this->model.RecordEffect(aNow, last.kind, aService, false);
    if (last.step == InterferenceStep::Evict) {
      this->model.EndApart(last.kind, aService);
    }
    aEpisode.cleared.push_back(last.sequence);
    aEpisode.last.reset();
  }
  if (aEpisode.steps >= kMaxSteps) {
    this->counters.Add("placement_interference_total", "given_up");
    this->nextStep[aWorker] = aNow + kGiveUp;
    aEpisode.steps = 0;
    aEpisode.cleared.clear();
    return std::nullopt;
  }
  const Suspect* suspect = this->MostSuspect(aNow, aService, aEpisode, aSuspects);
  if (suspect == nullptr) {
    this->counters.Add("placement_interference_total", "no_suspect");
    this->nextStep[aWorker] = aNow + this->Wait();
    return std::nullopt;
  }
  const bool known = this->model.Estimate(aNow, suspect->kind, aService) >= kCertain;
  const bool throttled =
    std::any_of(this->throttles.begin(), this->throttles.end(), [&](const Throttle& aThrottle) {
      return aThrottle.sequence == suspect->sequence;
    });
  const bool evict = (known || throttled) && this->MayEvict(aNow, *suspect->job);
  return this->Act(aNow,
                   aWorker,
                   aService,
                   aEpisode,
                   *suspect,
                   evict ? InterferenceStep::Evict : InterferenceStep::Throttle);
}

std::optional<InterferenceDecision> InterferencePolicy::Act(Instant aNow,
                                                            WorkerIndex aWorker,
                                                            NameIndex aService,
                                                            Episode& aEpisode,
                                                            const Suspect& aSuspect,
                                                            InterferenceStep aStep)
{
  if (aEpisode.steps == 0) {
    aEpisode.firstAction = aNow;
  }
  ++aEpisode.steps;
  aEpisode.reports = 0;
  aEpisode.last = Action{ aStep, aSuspect.task, aSuspect.sequence, aSuspect.kind, aNow };
  // Reports may lag more than was learned so far, so each further step waits twice as long.
  const Duration wait =
    this->Wait() * (1U << std::min<std::uint32_t>(aEpisode.steps - 1, kMaxDoublings));
  this->nextStep[aWorker] = aNow + std::min<Duration>(wait, kMaxWait);
  if (aStep == InterferenceStep::Evict) {
    this->evictions[*aSuspect.job].push_back(aNow);
    this->model.KeepApart(aNow, aSuspect.kind, aService);
    this->counters.Add("placement_interference_total", "evict");
  } else {
    this->HoldThrottle(aNow, aSuspect.task, aSuspect.sequence);
    this->counters.Add("placement_interference_total", "throttle");
  }
  return InterferenceDecision{ aStep, aSuspect.task };
}

const Suspect* InterferencePolicy::MostSuspect(Instant aNow,
                                               NameIndex aService,
                                               const Episode& aEpisode,
                                               const std::vector<Suspect>& aSuspects) const
{
  const Suspect* most = nullptr;
  double highest = 0.0;
  for (const Suspect& suspect : aSuspects) {
    const bool cleared =
      std::find(aEpisode.cleared.begin(), aEpisode.cleared.end(), suspect.sequence) !=
      aEpisode.cleared.end();
    if (cleared || suspect.placedAt > aEpisode.since) {
      continue;
    }
    // Squared, so that what was seen elsewhere outweighs the size of the task.
    const double correlation = this->model.Correlation(suspect.kind, aService);
    const double suspicion = (0.2 + suspect.share) * correlation * correlation +
                             2.0 * this->model.Estimate(aNow, suspect.kind, aService);
    if (suspicion > highest) {
      most = &suspect;
      highest = suspicion;
    }
  }
  return most;
}

void InterferencePolicy::HoldThrottle(Instant aNow, TaskIndex aTask, std::uint64_t aSequence)
{
  const auto it =
    std::find_if(this->throttles.begin(), this->throttles.end(), [&](const Throttle& aThrottle) {
      return aThrottle.sequence == aSequence;
    });
  if (it == this->throttles.end()) {
    this->throttles.push_back({ aTask, aSequence, aNow + kThrottleHold });
  } else {
    it->until = aNow + kThrottleHold;
  }
}

bool InterferencePolicy::MayEvict(Instant aNow, const JobId& aJob)
{
  for (auto it = this->evictions.begin(); it != this->evictions.end();) {
    std::deque<Instant>& times = it->second;
    while (!times.empty() && times.front() + kEvictionWindow <= aNow) {
      times.pop_front();
    }
    it = times.empty() ? this->evictions.erase(it) : std::next(it);
  }
  const auto job = this->evictions.find(aJob);
  if (job != this->evictions.end() && job->second.size() >= kMaxEvictionsPerJob) {
    this->counters.Add("placement_interference_refused_total", "evictions_of_job");
    return false;
  }
  return true;
}

std::vector<std::pair<TaskIndex, std::uint64_t>> InterferencePolicy::EndThrottles(Instant aNow)
{
  std::vector<std::pair<TaskIndex, std::uint64_t>> ended;
  std::erase_if(this->throttles, [&](const Throttle& aThrottle) {
    if (aThrottle.until > aNow) {
      return false;
    }
    ended.emplace_back(aThrottle.task, aThrottle.sequence);
    return true;
  });
  return ended;
}

bool InterferencePolicy::HasReported(Instant aNow, WorkerIndex aWorker, NameIndex aService) const
{
  const auto it = this->episodes.find(Key(aWorker, aService));
  return it != this->episodes.end() && aNow < it->second.reportedAt + kSilence;
}

void InterferencePolicy::Sweep(Instant aNow)
{
  auto it = this->episodes.lower_bound(this->sweepFrom);
  for (int i = 0; i < kSweepStep && it != this->episodes.end(); ++i) {
    it = it->second.reportedAt + kSilence <= aNow ? this->episodes.erase(it) : std::next(it);
  }
  this->sweepFrom = it == this->episodes.end() ? Key(0, 0) : it->first;
}

void InterferencePolicy::Forget(WorkerIndex aWorker)
{
  this->nextStep.erase(aWorker);
  const auto first = this->episodes.lower_bound(Key(aWorker, 0));
  const auto last = this->episodes.upper_bound(Key(aWorker, kNone));
  this->episodes.erase(first, last);
}

} // namespace oriolespread::internal
