#include "oriolespread/jobs/InterferenceModel.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr double kPi = 3.14159265358979;
// What each run that fills takes of a worker's cores.
constexpr double kCores = 0.1;

// Plays workers on which two images fill beside two that serve, while the load of what serves
// swings. "heavy" disturbs "frail" only.
struct Swinging
{
  RandomSource random{ kSeed };
  InterferenceModel model;
  std::size_t frail = model.NumberOf("frail");
  std::size_t firm = model.NumberOf("firm");
  OwnHeadroom frailOwn;
  OwnHeadroom firmOwn;
  double lowestOwn = 10;
  double worstError = 0;

  static double OwnAt(double aSecond) { return 2.75 - 1.1 * std::sin(2 * kPi * aSecond / 14); }

  // Three workers report each 0.6 s; each has a run of both serving images.
  void Play(int aRounds)
  {
    bool heavy[3] = {};
    bool light[3] = {};
    for (int round = 0; round < aRounds; ++round) {
      const double second = 0.2 * round;
      const int worker = round % 3;
      heavy[worker] = this->random.Chance(0.15) ? !heavy[worker] : heavy[worker];
      light[worker] = this->random.Chance(0.15) ? !light[worker] : light[worker];
      std::vector<InterferenceModel::Company> company;
      if (heavy[worker]) {
        company.push_back({ "heavy", kCores });
      }
      if (light[worker]) {
        company.push_back({ "light", kCores });
      }
      const Instant now =
        Instant{} + std::chrono::hours(1) + std::chrono::milliseconds(200 * round);
      const double own = OwnAt(second);
      const double scatter = this->random.Chance(0.5) ? 1.05 : 0.95;
      this->model.Observe(
        this->frail, scatter * (own - (heavy[worker] ? 1.0 : 0.0)), company, this->frailOwn, now);
      this->model.Observe(this->firm, scatter * own, company, this->firmOwn, now);
      this->lowestOwn = std::min(this->lowestOwn, own);
      if (round > 100) {
        this->worstError = std::max(this->worstError, std::abs(this->firmOwn.now - own));
      }
    }
  }

  double Taken(const std::string& aFilling, std::size_t aServing) const
  {
    return kCores * this->model.Weight(aFilling, aServing);
  }
};

} // namespace

// Guards against pausing or keeping apart images that disturb nobody: the model has to tell the one
// that does from one that does not within seconds, while the load of what serves swings.
TEST_CASE("InterferenceModel TellsTheImageThatDisturbsWithinSecondsWhenLoadsSwing")
{
  Swinging load;
  load.Play(50);
  INFO("seed " << kSeed << " heavy " << load.Taken("heavy", load.frail) << " light "
               << load.Taken("light", load.frail));
  CHECK(load.Taken("heavy", load.frail) > 0.7);
  CHECK(load.Taken("light", load.frail) < 0.25);
}

// Guards against workers left unused: one weight for an image keeps it away from serving images
// that it does not disturb.
TEST_CASE("InterferenceModel TellsWhomAnImageDisturbs")
{
  Swinging load;
  load.Play(400);
  INFO("seed " << kSeed << " beside firm " << load.Taken("heavy", load.firm) << " beside frail "
               << load.Taken("heavy", load.frail));
  CHECK(load.Taken("heavy", load.firm) < 0.15);
  CHECK(load.Taken("heavy", load.frail) == Approx(1.0).margin(0.2));
  CHECK(kCores * load.model.MeanWeight("heavy") == Approx(0.5).margin(0.15));
}

// Guards against taking the load of users for disturbance, or the other way round.
TEST_CASE("InterferenceModel FollowsTheHeadroomOfAStepByItself")
{
  Swinging load;
  load.Play(400);
  INFO("seed " << kSeed << " worst error " << load.worstError << " low " << load.firmOwn.low);
  CHECK(load.worstError < 0.5);
  // The recent peak of the load is remembered when it has passed.
  CHECK(load.firmOwn.low == Approx(load.lowestOwn).margin(0.6));
}

// Guards against one figure that is off by half, as some are, being taken for what is.
TEST_CASE("InterferenceModel IsHardlyMovedByOneFigureThatIsFarOff")
{
  Swinging load;
  load.Play(400);
  const double before = load.Taken("light", load.firm);
  const Instant now = load.firmOwn.updated + std::chrono::milliseconds(200);
  load.model.Observe(load.firm, 0.3, { { "light", kCores } }, load.firmOwn, now);
  CHECK(load.Taken("light", load.firm) - before < 0.15);
}

TEST_CASE("InterferenceModel GivesAnUnknownPairTheWeightOfTheMean")
{
  InterferenceModel model;
  const std::size_t serving = model.NumberOf("serving");
  const double first = model.Weight("new", serving);
  CHECK(first > 0);
  CHECK(model.MeanWeight("new") == Approx(first));
  OwnHeadroom own;
  model.Observe(serving, 2.5, { { "new", kCores } }, own, Instant{} + std::chrono::hours(1));
  const std::size_t later = model.NumberOf("later");
  CHECK(model.Weight("new", later) == Approx(first));
}

// Guards against state that grows with every image that callers name.
TEST_CASE("InterferenceModel KeepsTheFirstWeightOfImagesBeyondItsBound")
{
  InterferenceModel model;
  const std::size_t serving = model.NumberOf("serving");
  const double first = model.Weight("unseen", serving);
  OwnHeadroom own;
  Instant now = Instant{} + std::chrono::hours(1);
  for (int image = 0; image < 400; ++image) {
    now += std::chrono::milliseconds(100);
    model.Observe(serving, 0.5, { { "i" + std::to_string(image), kCores } }, own, now);
  }
  CHECK(model.Weight("i0", serving) != Approx(first));
  CHECK(model.Weight("i399", serving) == Approx(first));
}

// Guards against a new leader that learns anew whom images disturb, at the cost of what serves.
TEST_CASE("InterferenceModel GoesOnWithTheWeightsOfAnother")
{
  Swinging load;
  load.Play(400);
  InterferenceModel next;
  REQUIRE(next.Restore(load.model.Encode()));
  CHECK(next.Weight("heavy", next.NumberOf("frail")) ==
        Approx(load.model.Weight("heavy", load.frail)).margin(0.01));
  CHECK(next.Weight("heavy", next.NumberOf("firm")) ==
        Approx(load.model.Weight("heavy", load.firm)).margin(0.01));
  // It goes on learning.
  OwnHeadroom own;
  const double before = next.Weight("light", next.NumberOf("firm"));
  Instant now = Instant{} + std::chrono::hours(1);
  for (int round = 0; round < 50; ++round) {
    now += std::chrono::milliseconds(200);
    std::vector<InterferenceModel::Company> company;
    if (round % 2 == 0) {
      company.push_back({ "light", kCores });
    }
    next.Observe(next.NumberOf("firm"), round % 2 == 0 ? 1.0 : 2.0, company, own, now);
  }
  CHECK(next.Weight("light", next.NumberOf("firm")) > before + 3.0);
}

// Guards against a row that someone else wrote, or a later version.
TEST_CASE("InterferenceModel RefusesBytesThatAreNoWeights")
{
  InterferenceModel model;
  const double first = model.Weight("new", model.NumberOf("serving"));
  InterferenceModel other;
  other.NumberOf("a");
  for (const std::string& bytes : { std::string(),
                                    std::string("x"),
                                    std::string("\x81\xa1z\x01"),
                                    other.Encode().substr(0, 12) }) {
    CHECK_FALSE(model.Restore(bytes));
  }
  CHECK(model.Weight("new", model.NumberOf("serving")) == Approx(first));
}
