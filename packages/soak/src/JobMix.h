// Makes jobs of three kinds as a mixed deployment has them: short ones, long ones of which most
// make checkpoints and some fill unused cores, and ones that last until they are cancelled.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/jobs/JobSpec.h"
#include "oriolespread/platformwire_testing/StandInWorker.h"

#include <cstdint>
#include <string>

namespace oriolespread::soak {

enum class JobKind
{
  Short,
  Long,
  Lasting,
};

class JobMix
{
public:
  // `aWorkers` bounds what one job needs, so that jobs fit on few workers as well.
  JobMix(std::uint64_t aSeed, std::size_t aWorkers);

  // The shares of the kinds in the submitted jobs.
  JobKind NextKind();
  jobs::JobSpec Make(JobKind aKind, const std::string& aId);
  // Returns what a worker simulates for a run. Equal arguments give equal profiles.
  platformwire_testing::StandInRunProfile Profile(const jobs::StepSpec& aStep,
                                                  const std::string& aTask,
                                                  std::uint64_t aRun) const;

private:
  jobs::StepSpec ShortStep();
  jobs::StepSpec LongStep();
  jobs::StepSpec LastingStep();
  std::int64_t Number(std::int64_t aLow, std::int64_t aHigh);
  // Returns an exponentially distributed number from aLow to aHigh.
  std::int64_t Skewed(std::int64_t aLow, std::int64_t aMean, std::int64_t aHigh);

  std::uint64_t seed;
  std::size_t workers;
  RandomSource random;
};

} // namespace oriolespread::soak
