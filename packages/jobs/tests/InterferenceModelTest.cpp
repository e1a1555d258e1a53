#include "oriolespread/jobs/InterferenceBook.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::uint64_t kSeed = 7;

// Plays a worker on which two images fill beside two that serve, while the load of what serves
// swings. "heavy" disturbs "frail" only.
struct Swinging
{
  RandomSource random{ kSeed };
  InterferenceBook book;
  std::size_t frail = book.NumberOf("frail");
  std::size_t firm = book.NumberOf("firm");

  void Play()
  {
    double frailResidual = 0;
    double firmResidual = 0;
    bool heavy = false;
    bool light = false;
    for (int round = 0; round < 400; ++round) {
      heavy = this->random.Chance(0.15) ? !heavy : heavy;
      light = this->random.Chance(0.15) ? !light : light;
      std::vector<InterferenceBook::Company> company;
      if (heavy) {
        company.push_back({ "heavy", 1.0 });
      }
      if (light) {
        company.push_back({ "light", 1.0 });
      }
      const double swing = -0.8 + 0.4 * std::sin(round / 15.0);
      this->book.Observe(
        this->frail, std::exp(swing + (heavy ? 1.0 : 0.0)), company, frailResidual);
      this->book.Observe(this->firm, std::exp(swing), company, firmResidual);
    }
  }

  double Weight(const std::string& aFilling, std::size_t aServing) const
  {
    return InterferenceBook::Weight(this->book.RowOf(aFilling), aServing);
  }
};

} // namespace

// Guards against pausing or keeping apart images that disturb nobody: the book has to tell the one
// that does from one that does not, while the load of what serves swings.
TEST_CASE("InterferenceBook TellsTheImageThatDisturbsWhenLoadsSwing")
{
  Swinging load;
  load.Play();
  INFO("seed " << kSeed << " heavy " << load.Weight("heavy", load.frail) << " light "
               << load.Weight("light", load.frail));
  CHECK(load.Weight("heavy", load.frail) > 0.7);
  CHECK(load.Weight("light", load.frail) < 0.3);
}

// Guards against workers left unused: one weight for an image keeps it away from serving images
// that it does not disturb.
TEST_CASE("InterferenceBook TellsWhomAnImageDisturbs")
{
  Swinging load;
  load.Play();
  INFO("seed " << kSeed << " beside firm " << load.Weight("heavy", load.firm));
  CHECK(load.Weight("heavy", load.firm) < 0.2);
  CHECK(load.book.MeanWeight("heavy") > 0.3);
  CHECK(load.book.MeanWeight("heavy") < 0.7);
}

TEST_CASE("InterferenceBook GivesAnUnknownPairTheWeightOfTheMean")
{
  InterferenceBook book;
  const std::size_t serving = book.NumberOf("serving");
  CHECK(InterferenceBook::Weight(book.RowOf("new"), serving) == Approx(0.15));
  CHECK(book.MeanWeight("new") == Approx(0.15));
  double residual = 0;
  book.Observe(serving, 0.4, { { "new", 1.0 } }, residual);
  const std::size_t later = book.NumberOf("later");
  CHECK(InterferenceBook::Weight(book.RowOf("new"), later) == Approx(0.15));
}
