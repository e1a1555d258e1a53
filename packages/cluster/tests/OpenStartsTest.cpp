#include "oriolespread/cluster/OpenStarts.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::cluster;

namespace {

constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);
constexpr Duration kMaxDelay = std::chrono::seconds(20);
const RunRef kRun{ "j.0.0.0", 1 };
const Instant kNow = Instant{} + std::chrono::hours(1);

} // namespace

TEST_CASE("OpenStarts ListsNothingWhenEachStartWasAnswered")
{
  OpenStarts starts(kAnswerTimeout, kMaxDelay);
  starts.OnSent(kRun);
  starts.OnSent(kRun);
  starts.OnAnswered(kRun);
  starts.OnAnswered(kRun);
  CHECK(starts.List(kNow).empty());
}

TEST_CASE("OpenStarts ListsAStartAsAwaitedUntilItsAnswerIsDue")
{
  OpenStarts starts(kAnswerTimeout, kMaxDelay);
  starts.OnSent(kRun);
  const auto awaited = starts.List(kNow);
  REQUIRE(awaited.size() == 1);
  CHECK(awaited[0].ref == kRun);
  CHECK(awaited[0].isAnswerAwaited);
  CHECK(awaited[0].until == kNow + kAnswerTimeout + kMaxDelay);
  starts.OnUnanswered(kRun, kNow);
  const auto unanswered = starts.List(kNow);
  REQUIRE(unanswered.size() == 1);
  CHECK_FALSE(unanswered[0].isAnswerAwaited);
  CHECK(unanswered[0].until == kNow + kMaxDelay);
}

// Guards against forgetting a call that may still be carried out because its repetition was.
TEST_CASE("OpenStarts ListsAnUnansweredStartWhenItsRepetitionIsAnswered")
{
  OpenStarts starts(kAnswerTimeout, kMaxDelay);
  starts.OnSent(kRun);
  starts.OnUnanswered(kRun, kNow);
  starts.OnSent(kRun);
  starts.OnAnswered(kRun);
  CHECK(starts.List(kNow + kMaxDelay).size() == 1);
  CHECK(starts.List(kNow + kMaxDelay + Duration(1)).empty());
}

TEST_CASE("OpenStarts CountsTheLastOfSeveralUnansweredStarts")
{
  OpenStarts starts(kAnswerTimeout, kMaxDelay);
  starts.OnSent(kRun);
  starts.OnUnanswered(kRun, kNow);
  starts.Assume(kRun, kNow + std::chrono::seconds(5));
  starts.OnSent(kRun);
  starts.OnUnanswered(kRun, kNow + std::chrono::seconds(1));
  const auto entries = starts.List(kNow + std::chrono::seconds(6));
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].until == kNow + std::chrono::seconds(25));
}
