#include "oriolespread/jobs/InterferenceModel.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr double kPi = 3.14159265358979;
// Share of a worker's cores that each best-effort run uses.
constexpr double kCoreShare = 0.1;

// Simulates workers with two best-effort and two serving images while the user load oscillates.
// Only "heavy" slows down a serving image, which is "frail".
struct LoadSimulation
{
  RandomSource random{ kSeed };
  InterferenceModel model;
  std::size_t frail = model.ServingImageIndex("frail");
  std::size_t firm = model.ServingImageIndex("firm");
  BaselineHeadroom frailBaseline;
  BaselineHeadroom firmBaseline;
  double lowestBaseline = 10;
  double maxBaselineError = 0;

  static double BaselineAt(double aTimeSeconds)
  {
    return 2.75 - 1.1 * std::sin(2 * kPi * aTimeSeconds / 14);
  }

  // Each of three workers, with a run of both serving images, reports every 0.6 s.
  void Run(int aRounds)
  {
    bool hasHeavyRun[3] = {};
    bool hasLightRun[3] = {};
    for (int round = 0; round < aRounds; ++round) {
      const double timeSeconds = 0.2 * round;
      const int worker = round % 3;
      hasHeavyRun[worker] = this->random.Chance(0.15) ? !hasHeavyRun[worker] : hasHeavyRun[worker];
      hasLightRun[worker] = this->random.Chance(0.15) ? !hasLightRun[worker] : hasLightRun[worker];
      std::vector<InterferenceModel::CoRunner> coRunners;
      if (hasHeavyRun[worker]) {
        coRunners.push_back({ "heavy", kCoreShare });
      }
      if (hasLightRun[worker]) {
        coRunners.push_back({ "light", kCoreShare });
      }
      const Instant now =
        Instant{} + std::chrono::hours(1) + std::chrono::milliseconds(200 * round);
      const double baseline = BaselineAt(timeSeconds);
      const double noiseFactor = this->random.Chance(0.5) ? 1.05 : 0.95;
      this->model.Observe(this->frail,
                          noiseFactor * (baseline - (hasHeavyRun[worker] ? 1.0 : 0.0)),
                          coRunners,
                          this->frailBaseline,
                          now);
      this->model.Observe(this->firm, noiseFactor * baseline, coRunners, this->firmBaseline, now);
      this->lowestBaseline = std::min(this->lowestBaseline, baseline);
      if (round > 100) {
        this->maxBaselineError =
          std::max(this->maxBaselineError, std::abs(this->firmBaseline.current - baseline));
      }
    }
  }

  double HeadroomCost(const std::string& aBestEffortImage, std::size_t aServingIndex) const
  {
    return kCoreShare * this->model.Weight(aBestEffortImage, aServingIndex);
  }
};

} // namespace

// Guards against pausing or separating images that cause no interference: the model must tell apart
// the images that do and do not within seconds, while the user load oscillates.
TEST_CASE("InterferenceModel FindsTheInterferingImageWithinSecondsWhenLoadsOscillate")
{
  LoadSimulation simulation;
  simulation.Run(50);
  INFO("seed " << kSeed << " heavy " << simulation.HeadroomCost("heavy", simulation.frail)
               << " light " << simulation.HeadroomCost("light", simulation.frail));
  CHECK(simulation.HeadroomCost("heavy", simulation.frail) > 0.7);
  CHECK(simulation.HeadroomCost("light", simulation.frail) < 0.25);
}

// Guards against idle workers: with a single weight per best-effort image, the image would not be
// placed beside serving images that it does not slow down.
TEST_CASE("InterferenceModel LearnsWhichServingImagesAnImageSlowsDown")
{
  LoadSimulation simulation;
  simulation.Run(400);
  INFO("seed " << kSeed << " weight for firm " << simulation.HeadroomCost("heavy", simulation.firm)
               << " for frail " << simulation.HeadroomCost("heavy", simulation.frail));
  CHECK(simulation.HeadroomCost("heavy", simulation.firm) < 0.15);
  CHECK(simulation.HeadroomCost("heavy", simulation.frail) == Approx(1.0).margin(0.2));
}

// Guards against mistaking changes of the user load for interference, and the reverse.
TEST_CASE("InterferenceModel TracksTheBaselineHeadroomOfAStep")
{
  LoadSimulation simulation;
  simulation.Run(400);
  INFO("seed " << kSeed << " worst error " << simulation.maxBaselineError << " recent minimum "
               << simulation.firmBaseline.recentMin);
  CHECK(simulation.maxBaselineError < 0.5);
  // The recent load peak is still known after it has passed.
  CHECK(simulation.firmBaseline.recentMin == Approx(simulation.lowestBaseline).margin(0.6));
}

// Guards against weights that no longer change after minutes of measurements, so that an image that
// begins to interfere is placed as if it did not.
TEST_CASE("InterferenceModel FollowsAnImageThatBeginsToInterfere")
{
  RandomSource random(kSeed);
  InterferenceModel model;
  const std::size_t serving = model.ServingImageIndex("serving");
  BaselineHeadroom baseline;
  Instant now = Instant{} + std::chrono::hours(1);
  const auto play = [&](int aReports, double aWeight) {
    for (int report = 0; report < aReports; ++report) {
      now += std::chrono::milliseconds(300);
      const bool busy = random.Chance(0.5);
      const double noiseFactor = random.Chance(0.5) ? 1.05 : 0.95;
      std::vector<InterferenceModel::CoRunner> coRunners;
      if (busy) {
        coRunners.push_back({ "changing", kCoreShare });
      }
      const double headroom = 2.5 - (busy ? aWeight * kCoreShare : 0.0);
      model.Observe(serving, noiseFactor * headroom, coRunners, baseline, now);
    }
  };
  play(1000, 1.0);
  CHECK(model.Weight("changing", serving) == Approx(1.0).margin(1.0));
  // 20 s with a weight of 9.
  play(67, 9.0);
  INFO("weight " << model.Weight("changing", serving));
  CHECK(model.Weight("changing", serving) > 4.5);
}

// Guards against a large change of the estimate after one outlier; some measurements are wrong by
// 50%.
TEST_CASE("InterferenceModel ChangesLittleAfterOneOutlier")
{
  LoadSimulation simulation;
  simulation.Run(400);
  const double before = simulation.HeadroomCost("light", simulation.firm);
  const Instant now = simulation.firmBaseline.lastUpdate + std::chrono::milliseconds(200);
  simulation.model.Observe(
    simulation.firm, 0.3, { { "light", kCoreShare } }, simulation.firmBaseline, now);
  CHECK(simulation.HeadroomCost("light", simulation.firm) - before < 0.15);
}

TEST_CASE("InterferenceModel GivesAnUnknownPairThePriorWeight")
{
  InterferenceModel model;
  const std::size_t serving = model.ServingImageIndex("serving");
  const double first = model.Weight("new", serving);
  CHECK(first > 0);
  BaselineHeadroom baseline;
  model.Observe(
    serving, 2.5, { { "new", kCoreShare } }, baseline, Instant{} + std::chrono::hours(1));
  const std::size_t later = model.ServingImageIndex("later");
  CHECK(model.Weight("new", later) == Approx(first));
}

// Guards against state that grows with every image name that callers use.
TEST_CASE("InterferenceModel KeepsThePriorWeightOfImagesBeyondItsLimit")
{
  InterferenceModel model;
  const std::size_t serving = model.ServingImageIndex("serving");
  const double first = model.Weight("unseen", serving);
  BaselineHeadroom baseline;
  Instant now = Instant{} + std::chrono::hours(1);
  for (int image = 0; image < 400; ++image) {
    now += std::chrono::milliseconds(100);
    model.Observe(serving, 0.5, { { "i" + std::to_string(image), kCoreShare } }, baseline, now);
  }
  CHECK(model.Weight("i0", serving) != Approx(first));
  CHECK(model.Weight("i399", serving) == Approx(first));
}

// Guards against a new leader that starts without weights and lets serving runs miss their targets
// until it has estimated them.
TEST_CASE("InterferenceModel ContinuesWithRestoredWeights")
{
  LoadSimulation simulation;
  simulation.Run(400);
  InterferenceModel next;
  REQUIRE(next.Restore(simulation.model.Encode()));
  CHECK(next.Weight("heavy", next.ServingImageIndex("frail")) ==
        Approx(simulation.model.Weight("heavy", simulation.frail)).margin(0.01));
  CHECK(next.Weight("heavy", next.ServingImageIndex("firm")) ==
        Approx(simulation.model.Weight("heavy", simulation.firm)).margin(0.01));
  // Later observations still change the restored weights.
  BaselineHeadroom baseline;
  const double before = next.Weight("light", next.ServingImageIndex("firm"));
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 50; ++round) {
    now += std::chrono::milliseconds(200);
    std::vector<InterferenceModel::CoRunner> coRunners;
    if (round % 2 == 0) {
      coRunners.push_back({ "light", kCoreShare });
    }
    next.Observe(
      next.ServingImageIndex("firm"), round % 2 == 0 ? 1.0 : 2.0, coRunners, baseline, now);
  }
  CHECK(next.Weight("light", next.ServingImageIndex("firm")) > before + 3.0);
}

// Guards against a row that the store refuses for its length, which stops all transactions of the
// leader: callers choose the names of images, at any length.
TEST_CASE("InterferenceModel EncodesAtMostOneRowWhenImagesHaveLongNames")
{
  constexpr std::size_t kMaxEncodedBytes = 49'152;
  const std::size_t length = GENERATE(10U, 76U, 1000U);
  InterferenceModel model;
  BaselineHeadroom baseline;
  Instant now = Instant{} + std::chrono::hours(1);
  const std::size_t frail = model.ServingImageIndex("frail");
  model.Observe(frail, 0.5, { { "heavy", kCoreShare } }, baseline, now);
  for (int image = 100; image < 220; ++image) {
    const std::string name = std::string(length, 'n') + std::to_string(image);
    const std::size_t serving = model.ServingImageIndex(name);
    now += std::chrono::milliseconds(100);
    model.Observe(serving, 0.5, { { name, kCoreShare } }, baseline, now);
  }
  const std::string bytes = model.Encode();
  INFO("names of " << length << " bytes");
  CHECK(bytes.size() <= kMaxEncodedBytes);
  InterferenceModel next;
  REQUIRE(next.Restore(bytes));
  CHECK(next.Weight("heavy", next.ServingImageIndex("frail")) ==
        Approx(model.Weight("heavy", frail)).margin(0.01));
}

// Guards against a failure on a row that another program or a later version wrote.
TEST_CASE("InterferenceModel RejectsBytesThatAreNotWeights")
{
  InterferenceModel model;
  const double first = model.Weight("new", model.ServingImageIndex("serving"));
  InterferenceModel other;
  other.ServingImageIndex("a");
  // The library's conversion of this weight to an integer is undefined.
  std::string largeWeight;
  nlohmann::json::to_msgpack(
    nlohmann::json::parse(R"({"serving": ["a"], "filling": ["b"], "weights": [[1e300]]})"),
    largeWeight);
  for (const std::string& bytes : { largeWeight,
                                    std::string(),
                                    std::string("x"),
                                    std::string("\x81\xa1z\x01"),
                                    std::string(1'000'000, '\x91'),
                                    other.Encode().substr(0, 12) }) {
    CHECK_FALSE(model.Restore(bytes));
  }
  CHECK(model.Weight("new", model.ServingImageIndex("serving")) == Approx(first));
}
