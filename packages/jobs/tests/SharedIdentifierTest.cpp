// Jobs of different services whose callers have chosen the same identifier.
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

// A worker of each of two services, "service" at the agent "a" and "other" at "b".
struct TwoServices
{
  static void AddAgents(SchedulerFixture& aFixture)
  {
    aFixture.AddAgent("a");
    aFixture.AddAgent("b");
    aFixture.agents["b"].worker.service = "other";
    aFixture.Report("b");
  }

  // Returns a job "j" of a queue of the other service, whose key is not its identifier.
  static JobRecord OtherJob(std::uint32_t aTasks)
  {
    JobRecord record = MakeJob(ServiceJobKey("j", "other"), { MakeStep(aTasks) });
    record.policy.queue = "other queue";
    record.policy.service = "other";
    record.spec.payload = "other payload";
    return record;
  }

  static std::size_t CountStarts(const SchedulerFixture& aFixture,
                                 const std::string& aAgent,
                                 const std::string& aPayload)
  {
    return static_cast<std::size_t>(
      std::count_if(aFixture.starts.begin(), aFixture.starts.end(), [&](const auto& aStart) {
        return aStart.first == aAgent && aStart.second.payload == aPayload &&
               aStart.second.ref.task.starts_with("j.0.0.");
      }));
  }
};

} // namespace

// Guards against a job that never runs, or that ends with another one, as they have one identifier.
TEST_CASE("JobScheduler RunsTheJobsOfTwoServicesWhenTheirIdentifiersAreEqual")
{
  SchedulerFixture fixture;
  TwoServices::AddAgents(fixture);
  const JobRecord other = TwoServices::OtherJob(2);
  fixture.Submit(MakeJob("j", { MakeStep(2) }));
  fixture.Submit(other);
  fixture.RunUntilIdle();
  CHECK(fixture.starts.size() == 4);
  CHECK(TwoServices::CountStarts(fixture, "a", "payload") == 2);
  CHECK(TwoServices::CountStarts(fixture, "b", "other payload") == 2);
  fixture.Report("a");
  fixture.Report("b");
  for (const std::string task : { "j.0.0.0", "j.0.0.1" }) {
    fixture.End("b", { task, 1 }, RunEnd::Done);
  }
  fixture.RunUntilIdle();
  CHECK(fixture.StateOf(other.id) == JobState::Completed);
  CHECK(fixture.StateOf("j") == JobState::Running);
  CHECK(fixture.acknowledgedEnds.size() == 2);
  CHECK(fixture.stops.empty());
  CHECK(DecodeJobState(fixture.rows.at(StateRow(other.id)))->queue == "other queue");
  CHECK(DecodeJobState(fixture.rows.at(StateRow("j")))->queue == "queue");
}

// Guards against tasks that run again, or are stopped, under the next leader.
TEST_CASE("JobScheduler KeepsTheRunsOfTwoServicesApartWhenTheLeaderChanges")
{
  SchedulerFixture first;
  TwoServices::AddAgents(first);
  const JobRecord other = TwoServices::OtherJob(1);
  first.Submit(MakeJob("j", { MakeStep(1) }));
  first.Submit(other);
  first.RunUntilIdle();
  SchedulerFixture second(first.rows);
  second.agents = first.agents;
  for (const std::string agent : { "a", "b" }) {
    second.scheduler.OnAgentUp(agent, second.now);
    second.Report(agent);
  }
  second.RunUntilIdle();
  CHECK(second.stops.empty());
  second.End("a", { "j.0.0.0", 1 }, RunEnd::Done);
  second.RunUntilIdle();
  CHECK(second.StateOf("j") == JobState::Completed);
  CHECK(second.StateOf(other.id) == JobState::Running);
}

// Guards against a run on a worker of another service that is taken for one of the job.
TEST_CASE("JobScheduler StopsARunOnAWorkerOfAnotherServiceWhenOnlyTheIdentifierIsKnown")
{
  SchedulerFixture fixture;
  TwoServices::AddAgents(fixture);
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.RunUntilIdle();
  REQUIRE(fixture.starts.size() == 1);
  // The task has no run any more, and one more run was allowed.
  fixture.agents["a"].running.clear();
  fixture.agents["a"].allLost = true;
  fixture.Report("a");
  fixture.agents["b"].running.push_back({ { "j.0.0.0", 1 }, "", 0, 0 });
  fixture.Report("b");
  fixture.RunUntilIdle();
  CHECK(fixture.counters.Get("runs_adopted_total", "kept") == 0);
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops.front() == RunRef{ "j.0.0.0", 1 });
}

// Guards against a cancellation of a job that is not stored yet, which ends the job of another
// queue with the same identifier, or none.
TEST_CASE("JobScheduler CancelsOnlyTheJobOfTheQueueWhenACancellationCameFirst")
{
  const bool isReadFirst = GENERATE(true, false);
  SchedulerFixture fixture;
  TwoServices::AddAgents(fixture);
  const JobRecord other = TwoServices::OtherJob(1);
  const RowKey cancellation = CancelRow(EarlyCancelName("j", "other queue"));
  fixture.rows[cancellation] = "";
  if (isReadFirst) {
    fixture.scheduler.OnJobRow(cancellation.key, "", fixture.now);
  }
  fixture.Submit(MakeJob("j", { MakeStep(1) }));
  fixture.Submit(other);
  if (!isReadFirst) {
    fixture.scheduler.OnJobRow(cancellation.key, "", fixture.now);
  }
  fixture.RunUntilIdle();
  INFO("cancellation read first: " << isReadFirst);
  CHECK(fixture.StateOf(other.id) == JobState::Cancelled);
  CHECK(fixture.StateOf("j") != JobState::Cancelled);
  CHECK(TwoServices::CountStarts(fixture, "b", "other payload") == 0);
  SchedulerFixture next(fixture.rows);
  CHECK(next.StateOf(other.id) == JobState::Cancelled);
  CHECK(next.StateOf("j") != JobState::Cancelled);
}

// Guards against cancellations of unknown jobs that are kept in the store for ever.
TEST_CASE("JobScheduler RemovesACancellationThatCameBeforeItsJob")
{
  SchedulerFixture fixture;
  const RowKey cancellation = CancelRow(EarlyCancelName("j", "queue"));
  fixture.rows[cancellation] = "";
  fixture.scheduler.OnJobRow(cancellation.key, "", fixture.now);
  fixture.RunUntilIdle();
  CHECK(fixture.rows.contains(cancellation));
  fixture.Advance(fixture.settings.keepEnded + std::chrono::seconds(2));
  fixture.RunUntilIdle();
  CHECK_FALSE(fixture.rows.contains(cancellation));
}

// Guards against rows of two jobs in different parts of the store, which no transaction spans.
TEST_CASE("JobRows PutsAllRowsOfAnIdentifierIntoOnePart")
{
  const std::string key = ServiceJobKey("00000000000000a1", "s");
  const std::string early = EarlyCancelName("00000000000000a1", "q");
  CHECK(IdentifierOf(key) == "00000000000000a1");
  CHECK(IdentifierOf(early) == "00000000000000a1");
  CHECK(JobRow(key).part == JobRow("00000000000000a1").part);
  CHECK(CancelRow(early).part == JobRow("00000000000000a1").part);
  CHECK(IsEarlyCancelName(early));
  CHECK_FALSE(IsEarlyCancelName(key));
  ProgressName name;
  REQUIRE(ProgressName::Parse(ToString(ProgressName{ key, 1, 2, 3 }), name));
  CHECK(name.job == key);
}

// Guards against states that a reader of the row takes for those of another queue, because a name
// has a space.
TEST_CASE("JobRows KeepsTheNamesOfAStateWhenTheyHaveSpaces")
{
  const StoredJobState written{ JobState::Failed, 17, "a b%20c", "h/p q/" };
  const auto read = DecodeJobState(EncodeJobState(written));
  REQUIRE(read.has_value());
  CHECK(read->state == JobState::Failed);
  CHECK(read->endedUnixMs == 17);
  CHECK(read->queue == written.queue);
  CHECK(read->address == written.address);
  CHECK_FALSE(DecodeJobState("odd 17 q").has_value());
  CHECK(DecodeJobState("completed 17 q")->address.empty());
}
