#include "ProcessorSpeed.h"

#include <catch2/catch.hpp>

using namespace oriolespread::daemon;

// Guards against entries on equal machines that take the leadership from one another because their
// measurements differ. On a busy machine only the order of magnitude can be checked.
TEST_CASE("ProcessorSpeed IsPositiveAndOfTheSameOrderWhenMeasuredTwice")
{
  const double first = MeasureProcessorSpeed();
  const double second = MeasureProcessorSpeed();
  CHECK(first > 0);
  CHECK(second > first / 100);
  CHECK(second < first * 100);
}
