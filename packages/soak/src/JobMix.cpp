#include "JobMix.h"

#include <algorithm>
#include <functional>

namespace oriolespread::soak {

namespace {

// Jobs a second of each kind in the deployment that the mix is taken from.
constexpr double kShortRate = 10.7;
constexpr double kLongRate = 2.48;
constexpr double kLastingRate = 0.139;
constexpr std::int64_t kWorkerMilliCores = 64'000;
// One lasting job needs at most this share of all cores.
constexpr std::int64_t kLastingPart = 4;
constexpr std::uint64_t kServingImages = 10;
constexpr std::uint64_t kFillingImages = 18;
constexpr double kFillingShare = 0.4;
constexpr double kCheckpointingShare = 0.85;
// The shares of runs that fail, by kind.
constexpr double kShortFailures = 0.02;
constexpr double kLongFailures = 0.05;
constexpr double kLastingFailures = 0.1;
// The duration of a task differs from its step's, and the estimate from both, by such shares.
constexpr double kUnevenness = 0.3;
constexpr double kEstimateError = 0.2;

} // namespace

JobMix::JobMix(std::uint64_t aSeed, std::size_t aWorkers)
  : seed(aSeed)
  , workers(aWorkers)
  , random(aSeed)
{
}

std::int64_t JobMix::Number(std::int64_t aLow, std::int64_t aHigh)
{
  return aLow + static_cast<std::int64_t>(
                  this->random.Below(static_cast<std::uint64_t>(aHigh - aLow + 1)));
}

std::int64_t JobMix::Skewed(std::int64_t aLow, std::int64_t aMean, std::int64_t aHigh)
{
  const Duration drawn = this->random.Exponential(std::chrono::milliseconds(aMean - aLow));
  return std::min(aHigh, aLow + ToMilliseconds(drawn));
}

JobKind JobMix::NextKind()
{
  const double drawn = this->random.Unit() * (kShortRate + kLongRate + kLastingRate);
  return drawn < kShortRate               ? JobKind::Short
         : drawn < kShortRate + kLongRate ? JobKind::Long
                                          : JobKind::Lasting;
}

jobs::JobSpec JobMix::Make(JobKind aKind, const std::string& aId)
{
  jobs::JobSpec spec;
  spec.payload = "payload of " + aId;
  const std::int64_t first = aKind == JobKind::Long ? 2 : 1;
  const std::int64_t last = aKind == JobKind::Lasting ? 1 : first + 3;
  std::int64_t steps = first;
  while (steps < last && this->random.Chance(0.35)) {
    ++steps;
  }
  for (std::int64_t index = 0; index < steps; ++index) {
    jobs::StepSpec step = aKind == JobKind::Short  ? this->ShortStep()
                          : aKind == JobKind::Long ? this->LongStep()
                                                   : this->LastingStep();
    const double error = 1 + kEstimateError * (2 * this->random.Unit() - 1);
    step.estimateMs = static_cast<std::int64_t>(static_cast<double>(step.estimateMs) * error);
    if (index > 0) {
      step.after = { static_cast<std::uint32_t>(index - 1) };
    }
    spec.steps.push_back(std::move(step));
  }
  return spec;
}

jobs::StepSpec JobMix::ShortStep()
{
  jobs::StepSpec step;
  step.count = static_cast<std::uint32_t>(this->Skewed(1, 10, 57));
  step.demand = { this->Number(700, 2700), this->Number(2000, 4800), 0 };
  step.estimateMs = this->Skewed(300, 1000, 2500);
  if (this->random.Chance(0.15)) {
    step.maxPerWorker = static_cast<std::uint32_t>(step.count / this->workers + 2);
  }
  return step;
}

jobs::StepSpec JobMix::LongStep()
{
  jobs::StepSpec step;
  step.count = static_cast<std::uint32_t>(this->Skewed(4, 20, 80));
  step.demand = { this->Number(4000, 10000), this->Number(8000, 18000), 0 };
  step.estimateMs = this->Skewed(1200, 2700, 6800);
  step.checkpointing = this->random.Chance(kCheckpointingShare);
  step.fillsUnused = this->random.Chance(kFillingShare);
  if (step.fillsUnused) {
    step.image = "fill-" + std::to_string(this->random.Below(kFillingImages));
  }
  return step;
}

jobs::StepSpec JobMix::LastingStep()
{
  jobs::StepSpec step;
  step.demand = { this->Number(9000, 17000), this->Number(18000, 34000), 0 };
  const std::int64_t fitting = static_cast<std::int64_t>(this->workers) * kWorkerMilliCores /
                               kLastingPart / step.demand.milliCores;
  step.count =
    static_cast<std::uint32_t>(std::clamp<std::int64_t>(fitting, 2, this->Number(14, 28)));
  step.estimateMs = 400;
  step.longRunning = true;
  step.image = "serve-" + std::to_string(this->random.Below(kServingImages));
  step.latencyTargetMs = 50;
  step.maxUnavailable = static_cast<std::uint32_t>(this->Number(1, 3));
  if (this->random.Chance(0.5)) {
    step.maxPerWorker = static_cast<std::uint32_t>(step.count / this->workers + 1);
  }
  return step;
}

platformwire_testing::StandInRunProfile JobMix::Profile(const jobs::StepSpec& aStep,
                                                        const std::string& aTask,
                                                        std::uint64_t aRun) const
{
  RandomSource taskRandom(this->seed ^ std::hash<std::string>()(aTask));
  RandomSource runRandom(taskRandom.Next() + aRun);
  platformwire_testing::StandInRunProfile profile;
  profile.demand = aStep.demand;
  const double unevenness = 1 + kUnevenness * (2 * taskRandom.Unit() - 1);
  profile.work =
    std::chrono::duration_cast<Duration>(std::chrono::milliseconds(aStep.estimateMs) * unevenness);
  profile.checkpointing = aStep.checkpointing;
  profile.longRunning = aStep.longRunning;
  profile.fillsUnused = aStep.fillsUnused;
  profile.image = aStep.image;
  if (aStep.longRunning) {
    if (runRandom.Chance(kLastingFailures)) {
      profile.failsAfter = runRandom.Exponential(std::chrono::seconds(3));
    }
  } else if (runRandom.Chance(aStep.demand.milliCores < 4000 ? kShortFailures : kLongFailures)) {
    profile.failsAfter = std::chrono::duration_cast<Duration>(profile.work * runRandom.Unit());
  }
  return profile;
}

} // namespace oriolespread::soak
