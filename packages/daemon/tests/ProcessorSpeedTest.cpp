#include "ProcessorSpeed.h"

#include <catch2/catch.hpp>

using namespace oriolespread::daemon;

// Guards against two measurements of one machine that make entries take the leadership from one
// another; only the order of magnitude can be checked on a busy machine.
TEST_CASE("ProcessorSpeed IsPositiveAndOfTheSameOrderTwice")
{
  const double first = MeasureProcessorSpeed();
  const double second = MeasureProcessorSpeed();
  CHECK(first > 0);
  CHECK(second > first / 100);
  CHECK(second < first * 100);
}
