#include "InterferencePolicy.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

// Initial estimate of the time from a step to the report that shows its effect: stopping a task
// takes 0.5 s, latency is measured over 1 s, and two reports are needed.
constexpr Duration kInitialResponseTime = seconds(5);
constexpr Duration kMinStepInterval = seconds(4);
constexpr Duration kMaxStepInterval = seconds(60);
constexpr std::uint32_t kMaxIntervalDoublings = 3;
// Reports that must arrive after a step before the next step.
constexpr std::uint32_t kReportsPerStep = 2;
// After this number of steps without effect the cause is assumed to be something else, and no steps
// are taken for kGiveUpPause.
constexpr std::uint32_t kMaxStepsPerEpisode = 8;
constexpr Duration kGiveUpPause = minutes(5);
constexpr Duration kObservationInterval = seconds(10);
// How long a throttle is kept after it was applied or was seen to help.
constexpr Duration kThrottleDuration = minutes(5);
// A service without reports for this time is assumed to have left the worker.
constexpr Duration kReportTimeout = minutes(5);
constexpr int kMaxEpisodesPerSweep = 8;
constexpr Duration kEvictionWindow = hours(1);
// A suspect whose estimate is at least this value is evicted without being throttled first.
constexpr double kEvictionThreshold = 0.5;

} // namespace

InterferencePolicy::InterferencePolicy(InterferenceModel& aModel, Counters& aCounters)
  : model(aModel)
  , counters(aCounters)
  , responseTime(kInitialResponseTime)
{
}

Duration InterferencePolicy::StepInterval() const
{
  return std::clamp<Duration>(this->responseTime * 3 / 2, kMinStepInterval, kMaxStepInterval);
}

std::optional<InterferenceDecision> InterferencePolicy::Report(
  Instant aNow,
  WorkerIndex aWorker,
  NameIndex aService,
  bool aDegraded,
  const std::vector<Suspect>& aSuspects)
{
  Episode& episode = this->episodes[Key(aWorker, aService)];
  ++episode.reportsSinceStep;
  episode.reportedAt = aNow;
  if (aDegraded && !episode.degraded) {
    episode.degraded = true;
    episode.degradedSince = aNow;
  }
  if (aNow >= episode.observedAt + kObservationInterval) {
    this->RecordObservation(aNow, episode, aService, aSuspects);
  }
  if (!aDegraded) {
    this->HandleRecovery(aNow, aService, episode);
    return std::nullopt;
  }
  const auto next = this->nextStepAt.find(aWorker);
  const bool tooEarly = next != this->nextStepAt.end() && aNow < next->second;
  if (tooEarly || (episode.lastStep.has_value() && episode.reportsSinceStep < kReportsPerStep)) {
    return std::nullopt;
  }
  return this->Escalate(aNow, aWorker, aService, episode, aSuspects);
}

void InterferencePolicy::RecordObservation(Instant aNow,
                                           Episode& aEpisode,
                                           NameIndex aService,
                                           const std::vector<Suspect>& aSuspects)
{
  aEpisode.observedAt = aNow;
  std::vector<NameIndex> kinds;
  for (const Suspect& suspect : aSuspects) {
    // Reports lag, so they do not yet show the effect of a task that was placed just now.
    if (suspect.placedAt + kObservationInterval <= aNow &&
        std::find(kinds.begin(), kinds.end(), suspect.kind) == kinds.end()) {
      kinds.push_back(suspect.kind);
      this->model.RecordObservation(aNow, suspect.kind, aService, aEpisode.degraded);
    }
  }
}

// Handles a report that the service is not degraded. If it was, records that the last step helped,
// and ends the episode.
void InterferencePolicy::HandleRecovery(Instant aNow, NameIndex aService, Episode& aEpisode)
{
  if (aEpisode.degraded && aEpisode.lastStep.has_value()) {
    const TakenStep& last = *aEpisode.lastStep;
    this->responseTime = std::clamp<Duration>(
      aNow - aEpisode.firstStepAt, this->responseTime * 9 / 10, kMaxStepInterval);
    this->model.RecordEffect(aNow, last.kind, aService, true);
    if (last.step == InterferenceStep::Throttle) {
      this->ExtendThrottle(aNow, last.task, last.sequence);
    }
    this->counters.Add("placement_interference_total", "settled");
  }
  aEpisode.degraded = false;
  aEpisode.lastStep.reset();
  aEpisode.steps = 0;
  aEpisode.ruledOut.clear();
}

std::optional<InterferenceDecision> InterferencePolicy::Escalate(
  Instant aNow,
  WorkerIndex aWorker,
  NameIndex aService,
  Episode& aEpisode,
  const std::vector<Suspect>& aSuspects)
{
  if (aEpisode.lastStep.has_value()) {
    const TakenStep last = *aEpisode.lastStep;
    const auto it = std::find_if(aSuspects.begin(), aSuspects.end(), [&](const Suspect& aSuspect) {
      return aSuspect.sequence == last.sequence;
    });
    if (last.step == InterferenceStep::Throttle && it != aSuspects.end() &&
        this->MayEvict(aNow, *it->job)) {
      return this->TakeStep(aNow, aWorker, aService, aEpisode, *it, InterferenceStep::Evict);
    }
    this->model.RecordEffect(aNow, last.kind, aService, false);
    if (last.step == InterferenceStep::Evict) {
      this->model.RemoveAntiAffinity(last.kind, aService);
    }
    aEpisode.ruledOut.push_back(last.sequence);
    aEpisode.lastStep.reset();
  }
  if (aEpisode.steps >= kMaxStepsPerEpisode) {
    this->counters.Add("placement_interference_total", "given_up");
    this->nextStepAt[aWorker] = aNow + kGiveUpPause;
    aEpisode.steps = 0;
    aEpisode.ruledOut.clear();
    return std::nullopt;
  }
  const Suspect* suspect = this->MostSuspect(aNow, aService, aEpisode, aSuspects);
  if (suspect == nullptr) {
    this->counters.Add("placement_interference_total", "no_suspect");
    this->nextStepAt[aWorker] = aNow + this->StepInterval();
    return std::nullopt;
  }
  const bool confident = this->model.Estimate(aNow, suspect->kind, aService) >= kEvictionThreshold;
  const bool throttled =
    std::any_of(this->throttles.begin(), this->throttles.end(), [&](const Throttle& aThrottle) {
      return aThrottle.sequence == suspect->sequence;
    });
  const bool evict = (confident || throttled) && this->MayEvict(aNow, *suspect->job);
  return this->TakeStep(aNow,
                        aWorker,
                        aService,
                        aEpisode,
                        *suspect,
                        evict ? InterferenceStep::Evict : InterferenceStep::Throttle);
}

std::optional<InterferenceDecision> InterferencePolicy::TakeStep(Instant aNow,
                                                                 WorkerIndex aWorker,
                                                                 NameIndex aService,
                                                                 Episode& aEpisode,
                                                                 const Suspect& aSuspect,
                                                                 InterferenceStep aStep)
{
  if (aEpisode.steps == 0) {
    aEpisode.firstStepAt = aNow;
  }
  ++aEpisode.steps;
  aEpisode.reportsSinceStep = 0;
  aEpisode.lastStep = TakenStep{ aStep, aSuspect.task, aSuspect.sequence, aSuspect.kind, aNow };
  // Reports may lag more than measured so far, so each further step doubles the wait.
  const Duration wait = this->StepInterval() *
                        (1U << std::min<std::uint32_t>(aEpisode.steps - 1, kMaxIntervalDoublings));
  this->nextStepAt[aWorker] = aNow + std::min<Duration>(wait, kMaxStepInterval);
  if (aStep == InterferenceStep::Evict) {
    this->evictionTimes[*aSuspect.job].push_back(aNow);
    this->model.AddAntiAffinity(aNow, aSuspect.kind, aService);
    this->counters.Add("placement_interference_total", "evict");
  } else {
    this->ExtendThrottle(aNow, aSuspect.task, aSuspect.sequence);
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
  double highestSuspicion = 0.0;
  for (const Suspect& suspect : aSuspects) {
    const bool ruledOut =
      std::find(aEpisode.ruledOut.begin(), aEpisode.ruledOut.end(), suspect.sequence) !=
      aEpisode.ruledOut.end();
    if (ruledOut || suspect.placedAt > aEpisode.degradedSince) {
      continue;
    }
    // Squared, so that observations from other workers outweigh the size of the task.
    const double correlation = this->model.Correlation(suspect.kind, aService);
    const double suspicion = (0.2 + suspect.share) * correlation * correlation +
                             2.0 * this->model.Estimate(aNow, suspect.kind, aService);
    if (suspicion > highestSuspicion) {
      most = &suspect;
      highestSuspicion = suspicion;
    }
  }
  return most;
}

void InterferencePolicy::ExtendThrottle(Instant aNow, TaskIndex aTask, std::uint64_t aSequence)
{
  const auto it =
    std::find_if(this->throttles.begin(), this->throttles.end(), [&](const Throttle& aThrottle) {
      return aThrottle.sequence == aSequence;
    });
  if (it == this->throttles.end()) {
    this->throttles.push_back({ aTask, aSequence, aNow + kThrottleDuration });
  } else {
    it->until = aNow + kThrottleDuration;
  }
}

bool InterferencePolicy::MayEvict(Instant aNow, const JobId& aJob)
{
  for (auto it = this->evictionTimes.begin(); it != this->evictionTimes.end();) {
    std::deque<Instant>& times = it->second;
    while (!times.empty() && times.front() + kEvictionWindow <= aNow) {
      times.pop_front();
    }
    it = times.empty() ? this->evictionTimes.erase(it) : std::next(it);
  }
  const auto job = this->evictionTimes.find(aJob);
  if (job != this->evictionTimes.end() && job->second.size() >= kMaxEvictionsPerJob) {
    this->counters.Add("placement_interference_refused_total", "evictions_of_job");
    return false;
  }
  return true;
}

std::vector<std::pair<TaskIndex, std::uint64_t>> InterferencePolicy::TakeExpiredThrottles(
  Instant aNow)
{
  std::vector<std::pair<TaskIndex, std::uint64_t>> expired;
  std::erase_if(this->throttles, [&](const Throttle& aThrottle) {
    if (aThrottle.until > aNow) {
      return false;
    }
    expired.emplace_back(aThrottle.task, aThrottle.sequence);
    return true;
  });
  return expired;
}

bool InterferencePolicy::HasRecentReport(Instant aNow,
                                         WorkerIndex aWorker,
                                         NameIndex aService) const
{
  const auto it = this->episodes.find(Key(aWorker, aService));
  return it != this->episodes.end() && aNow < it->second.reportedAt + kReportTimeout;
}

void InterferencePolicy::RemoveStale(Instant aNow)
{
  auto it = this->episodes.lower_bound(this->sweepPosition);
  for (int i = 0; i < kMaxEpisodesPerSweep && it != this->episodes.end(); ++i) {
    it = it->second.reportedAt + kReportTimeout <= aNow ? this->episodes.erase(it) : std::next(it);
  }
  this->sweepPosition = it == this->episodes.end() ? Key(0, 0) : it->first;
}

void InterferencePolicy::RemoveWorker(WorkerIndex aWorker)
{
  this->nextStepAt.erase(aWorker);
  const auto first = this->episodes.lower_bound(Key(aWorker, 0));
  const auto last = this->episodes.upper_bound(Key(aWorker, kNone));
  this->episodes.erase(first, last);
}

} // namespace oriolespread::internal
