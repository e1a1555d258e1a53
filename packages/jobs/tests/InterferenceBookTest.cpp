#include "oriolespread/jobs/InterferenceBook.h"

#include "oriolespread/base/RandomSource.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace oriolespread;
using namespace oriolespread::jobs;

// Guards against pausing or keeping apart images that disturb nobody: the book has to tell the one
// that does from two that do not, while the load of what serves swings.
TEST_CASE("InterferenceBook TellsTheImageThatDisturbsWhenLoadsSwing")
{
  const std::uint64_t seed = 7;
  RandomSource random(seed);
  InterferenceBook book;
  double residual = 0;
  bool heavy = false;
  bool light = false;
  for (int round = 0; round < 400; ++round) {
    heavy = random.Chance(0.15) ? !heavy : heavy;
    light = random.Chance(0.15) ? !light : light;
    std::vector<InterferenceBook::Company> company;
    if (heavy) {
      company.push_back({ "heavy", 1.0 });
    }
    if (light) {
      company.push_back({ "light", 1.0 });
    }
    const double swing = 0.4 * std::sin(round / 15.0);
    book.Observe(std::exp(-0.8 + swing + (heavy ? 1.0 : 0.0)), company, residual);
  }
  INFO("seed " << seed << " heavy " << book.Weight("heavy") << " light " << book.Weight("light"));
  CHECK(book.Weight("heavy") > 0.7);
  CHECK(book.Weight("light") < 0.3);
}
