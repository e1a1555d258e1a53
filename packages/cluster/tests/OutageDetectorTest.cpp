#include "oriolespread/cluster/OutageDetector.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

const Instant kNow = Instant{} + std::chrono::hours(1);
constexpr Duration kSecond = std::chrono::seconds(1);

} // namespace

// Guards against refusing callers because single answers were lost.
TEST_CASE("OutageDetector IgnoresSingleLostAnswers")
{
  OutageDetector detector;
  detector.OnAnswer(kNow);
  detector.OnNoAnswer();
  CHECK_FALSE(detector.IsUnavailable(kNow + 5 * kSecond));
  detector.OnAnswer(kNow + 5 * kSecond);
  detector.OnNoAnswer();
  detector.OnNoAnswer();
  CHECK_FALSE(detector.IsUnavailable(kNow + 5 * kSecond + kSecond / 2));
}

TEST_CASE("OutageDetector ReportsAnOutageUntilTheNextAnswer")
{
  OutageDetector detector;
  detector.OnAnswer(kNow);
  detector.OnNoAnswer();
  detector.OnNoAnswer();
  CHECK(detector.IsUnavailable(kNow + 2 * kSecond));
  detector.OnAnswer(kNow + 2 * kSecond);
  CHECK_FALSE(detector.IsUnavailable(kNow + 4 * kSecond));
}
