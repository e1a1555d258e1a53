// Calls that hold for one incarnation of the worker only, while another one may serve its address.
#include "WorkerDriverFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

// Replaces the worker's process by one whose heartbeats do not arrive, and that answers no call to
// the earlier process.
void RestartWithoutNotice(WorkerDriverFixture& aFixture)
{
  aFixture.control.reset();
  aFixture.worker->DropPendingPolls();
  aFixture.worker->Restart();
}

} // namespace

// Guards against a lease of the longest duration, which a deadline on an earlier clock leads to.
TEST_CASE("WorkerDriver GrantsNoLeaseToAnIncarnationThatItDoesNotKnowWhenAPollIsUnanswered")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  RestartWithoutNotice(fixture);
  fixture.RunFor(550 * kMillisecond);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1500 * kMillisecond);
  INFO("starts: " << fixture.started.size());
  CHECK(fixture.started.empty());
  CHECK(ToMilliseconds(fixture.worker->LeaseDeadline().time_since_epoch()) == 0);
}

// Guards against work that is done twice, as the worker forgets an end that nobody has noted.
TEST_CASE("WorkerDriver AcknowledgesNoEndsToAnIncarnationThatItDoesNotKnowWhenAPollIsUnanswered")
{
  WorkerDriverFixture fixture;
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.back().ended.empty(); }));
  WorkerOrders orders = fixture.MakeOrders(Epoch{ 1 });
  orders.acknowledgedEnds.push_back(fixture.reports.back().ended[0].number);
  fixture.driver->OnOrders(orders);
  REQUIRE(fixture.RunUntil([&] { return fixture.worker->AcknowledgedUpTo() == 1; }));
  RestartWithoutNotice(fixture);
  // Sent by an earlier process of the agent.
  const auto client = *platformwire::WorkerClient::Create(
    fixture.context, "127.0.0.1:" + std::to_string(fixture.worker->Port()), fixture.counters);
  StartRun start;
  start.ref = { "k.0.0.0", 1 };
  client->Start(start,
                WorkerDriverFixture::TokenOfAgent(-std::chrono::seconds(10)),
                5000,
                500 * kMillisecond,
                [](const platformwire::WorkerAnswer&) {});
  REQUIRE(fixture.RunUntil([&] { return fixture.ended.size() == 2; }));
  fixture.RunFor(1500 * kMillisecond);
  CHECK(fixture.worker->AcknowledgedUpTo() == 0);
}

// Guards against starts that an agent sends after a pause, in which its worker has restarted.
TEST_CASE("WorkerDriver SendsNoStartAfterAPauseBeforeTheWorkerHasAnsweredAgain")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(500 * kMillisecond);
  std::this_thread::sleep_for(1000 * kMillisecond);
  RestartWithoutNotice(fixture);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(1000 * kMillisecond);
  INFO("starts: " << fixture.started.size());
  CHECK(fixture.started.empty());
  CHECK(ToMilliseconds(fixture.worker->LeaseDeadline().time_since_epoch()) == 0);
}

// Guards against starts that wait for an answer longer than it takes, after a pause.
TEST_CASE("WorkerDriver SendsAStartAfterAPauseWhenTheWorkerHasAnsweredAgain")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(500 * kMillisecond);
  std::this_thread::sleep_for(1000 * kMillisecond);
  const Instant orderedAt = BootClock::now();
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  INFO("ms to the start: " << ToMilliseconds(BootClock::now() - orderedAt));
  CHECK(BootClock::now() - orderedAt < 200 * kMillisecond);
}

// Guards against a worker whose runs lose their lease as some of its answers are lost.
TEST_CASE("WorkerDriver KeepsTheLeaseWhenHalfOfThePollsAreUnanswered")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.worker->SetUnansweredPollShare(0.5);
  Duration shortest = std::chrono::seconds(6);
  const Instant until = BootClock::now() + std::chrono::seconds(12);
  while (BootClock::now() < until) {
    fixture.RunFor(20 * kMillisecond);
    shortest = std::min(shortest, fixture.worker->LeaseDeadline() - BootClock::now());
  }
  INFO("shortest remaining lease in ms: " << ToMilliseconds(shortest));
  CHECK(shortest > Duration::zero());
  CHECK(fixture.ended.empty());
}

// Guards against further starts for a worker one of whose answers shows that it has restarted.
TEST_CASE("WorkerDriver SendsNoFurtherStartWhenAnAnswerToAStartIsOfAnotherIncarnation")
{
  const bool tellsBorn = GENERATE(true, false);
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.worker->SetBornInPollsOnly(!tellsBorn);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  RestartWithoutNotice(fixture);
  // The last answer of the earlier process is so recent that the start is sent.
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  fixture.RunFor(20 * kMillisecond);
  fixture.StartTask("j.0.0.1");
  fixture.RunFor(1000 * kMillisecond);
  INFO("tells born: " << tellsBorn << ", starts: " << fixture.started.size());
  CHECK(fixture.started.size() == 1);
}

// Guards against a late start that a new process carries out although the agent has reached it
// before, as its token is that of the earlier process until a heartbeat arrives.
TEST_CASE("WorkerDriver SupersedesEarlierStartsWhenAnIncarnationWithoutHeartbeatsAnswers")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  fixture.RunFor(1000 * kMillisecond);
  // Carried out 1.5 s later, when the next process has answered polls.
  fixture.worker->SetDelayedCallShare(1.0);
  fixture.StartTask("j.0.0.0");
  fixture.RunFor(50 * kMillisecond);
  fixture.worker->SetDelayedCallShare(0);
  RestartWithoutNotice(fixture);
  fixture.RunFor(2500 * kMillisecond);
  INFO("starts: " << fixture.started.size());
  CHECK(fixture.started.empty());
}

// Guards against a run that goes on while the leader starts it elsewhere, as its start was answered
// by a later process of the worker.
TEST_CASE("WorkerDriver StopsARunBeforeItReportsANewIncarnationThatHasAnsweredItsStart")
{
  WorkerDriverFixture fixture(std::chrono::seconds(6), std::chrono::seconds(60));
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const std::int64_t before = fixture.reports.back().worker.born;
  fixture.RunFor(500 * kMillisecond);
  fixture.worker->DropPendingPolls();
  fixture.worker->Restart();
  fixture.StartTask("j.0.0.0");
  REQUIRE(fixture.RunUntil([&] { return !fixture.started.empty(); }));
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().worker.born > before; }));
  INFO("ended: " << fixture.ended.size());
  CHECK(fixture.ended.size() == fixture.started.size());
}

// Guards against a worker that is not used as its answers without a start time seem to be late.
TEST_CASE("WorkerDriver TakesNoAnswerForOneOfAnotherIncarnationWhenOnlyPollsTellTheStartTime")
{
  WorkerDriverFixture fixture;
  fixture.worker->SetBornInPollsOnly(true);
  fixture.driver->FollowLeader(Epoch{ 1 });
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  for (int index = 1; index <= 30; ++index) {
    fixture.StartTask("j.0.0." + std::to_string(index));
    fixture.StopTask("j.0.0." + std::to_string(index - 1));
    fixture.RunFor(70 * kMillisecond);
  }
  CHECK(fixture.started.size() == 30);
  CHECK(fixture.counters.Total("answers_of_other_life_total") == 0);
}

// Guards against a loss that is reported while a run goes on: the worker has carried out a call of
// an earlier agent, with the longest lease, shortly before it saw the token of this one.
TEST_CASE("WorkerDriver CountsTheLongestLeaseFromTheFirstAnswerWithItsToken")
{
  constexpr Duration kMaxLease = 1500 * kMillisecond;
  WorkerDriverFixture fixture(kMaxLease);
  fixture.extendLeases = false;
  fixture.worker->SetListening(false);
  fixture.driver->FollowLeader(Epoch{ 1 });
  fixture.RunFor(1300 * kMillisecond);
  REQUIRE(fixture.reports.empty());
  fixture.worker->SetListening(true);
  REQUIRE(fixture.RunUntil([&] { return !fixture.reports.empty(); }));
  const Instant answeredAt = BootClock::now();
  fixture.worker->SetPollsUnanswered(true);
  REQUIRE(fixture.RunUntil([&] { return fixture.reports.back().allLost; }));
  INFO("ms to the loss: " << ToMilliseconds(BootClock::now() - answeredAt));
  CHECK(BootClock::now() - answeredAt >= kMaxLease);
}
