#include "oriolespread/tasks/TaskRunner.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EntryId kEntry{ "entry" };

AttemptId Attempt(std::uint64_t aCounter)
{
  return { { JobId{ "j" }, static_cast<std::uint32_t>(aCounter) }, { Epoch{ 1 }, aCounter } };
}

// Runs a task runner with events and a clock that the test controls.
struct Harness
{
  Counters counters;
  Instant now{ seconds(100) };
  TaskRunner runner;
  RunnerEffects effects;

  explicit Harness(std::vector<WorkerTask> aFound = {})
    : runner(MakeOptions(), this->now, this->counters)
  {
    this->Handle(EntryConnected{ kEntry });
    this->now += seconds(1);
    this->Handle(RunnerTick{});
    this->Handle(WorkerListResult{ this->FindCall<WorkerListCall>().call, std::move(aFound) });
    this->Handle(RunnerTick{});
  }

  static RunnerOptions MakeOptions()
  {
    RunnerOptions options;
    options.agent = AgentId{ "a" };
    options.incarnation = Incarnation{ 7 };
    options.worker = WorkerId{ "w" };
    options.capacity = { 2000, 2000, 0 };
    return options;
  }

  void Handle(const RunnerEvent& aEvent)
  {
    this->effects.clear();
    this->runner.Handle(this->now, aEvent, this->effects);
  }
  void Receive(LinkMessage aMessage) { this->Handle(EntryMessage{ kEntry, std::move(aMessage) }); }

  // Opens or extends a session with a grant for a new heartbeat.
  void Grant(std::uint64_t aEpoch, std::uint64_t aNumber)
  {
    this->now += seconds(2);
    this->Handle(RunnerTick{});
    this->Receive(LeaseGrant{ Session(aEpoch, aNumber),
                              AgentId{ "a" },
                              Incarnation{ 7 },
                              this->FindSent<Heartbeat>().sequence,
                              10'000 });
  }
  void Start(std::uint64_t aCounter, std::int64_t aCores = 1000)
  {
    StartTask start;
    start.session = this->runner.Session();
    start.attempt = Attempt(aCounter);
    start.grant = { aCores, 500, 0 };
    this->Receive(start);
  }
  void Command(std::uint64_t aCounter, TaskCommandKind aKind)
  {
    this->Receive(TaskCommand{ this->runner.Session(), Attempt(aCounter), aKind, {} });
  }

  static LeaseSession Session(std::uint64_t aEpoch, std::uint64_t aNumber)
  {
    return { ShardId{ 0 }, Epoch{ aEpoch }, aNumber };
  }

  template<typename T>
  std::size_t CountCalls() const
  {
    std::size_t count = 0;
    for (const RunnerEffect& effect : this->effects) {
      const auto* call = std::get_if<WorkerCall>(&effect);
      count += call != nullptr && std::holds_alternative<T>(call->body) ? 1 : 0;
    }
    return count;
  }
  template<typename T>
  WorkerCall FindCall() const
  {
    for (const RunnerEffect& effect : this->effects) {
      const auto* call = std::get_if<WorkerCall>(&effect);
      if (call != nullptr && std::holds_alternative<T>(call->body)) {
        return *call;
      }
    }
    FAIL("no such worker call");
    return {};
  }
  template<typename T>
  T FindSent() const
  {
    for (const RunnerEffect& effect : this->effects) {
      const auto* send = std::get_if<SendToEntry>(&effect);
      if (send != nullptr && std::holds_alternative<T>(send->message)) {
        return std::get<T>(send->message);
      }
    }
    FAIL("no such message");
    return {};
  }
};

} // namespace

// Guards against a deadline that is counted from when the grant arrives or ignores the drift
// margin.
TEST_CASE("TaskRunner CountsItsLeaseFromWhenTheHeartbeatWasSent")
{
  Harness harness;
  harness.now += seconds(2);
  harness.Handle(RunnerTick{});
  const std::uint64_t sequence = harness.FindSent<Heartbeat>().sequence;
  const Instant sent = harness.now;
  harness.now += seconds(4);
  harness.Receive(
    LeaseGrant{ Harness::Session(1, 1), AgentId{ "a" }, Incarnation{ 7 }, sequence, 10'000 });
  CHECK(harness.runner.Deadline() == sent + milliseconds(9800));
  CHECK(harness.FindSent<Heartbeat>().whole);
}

// Guards against an agent that accepts commands of two owners or of an earlier session.
TEST_CASE("TaskRunner AcceptsOnlyTheLatestSessionOfTheHighestEpoch")
{
  Harness harness;
  harness.Grant(2, 5);
  const LeaseSession old = harness.runner.Session();
  harness.Grant(1, 9);
  CHECK(harness.runner.Session() == old);
  harness.Grant(2, 4);
  CHECK(harness.runner.Session() == old);
  harness.Grant(3, 1);
  CHECK(harness.runner.Session() == Harness::Session(3, 1));
  StartTask late;
  late.session = old;
  late.attempt = Attempt(1);
  harness.Receive(late);
  CHECK(harness.CountCalls<WorkerStartCall>() == 0);
  CHECK(harness.counters.Get("runner_commands_refused_total", "start") == 1);
}

// Guards against grants that exceed the worker's capacity in total (P1).
TEST_CASE("TaskRunner RefusesAStartBeyondItsCapacity")
{
  Harness harness;
  harness.Grant(1, 1);
  harness.Start(1, 1500);
  CHECK(harness.CountCalls<WorkerStartCall>() == 1);
  harness.Start(2, 501);
  CHECK(harness.CountCalls<WorkerStartCall>() == 0);
  CHECK(harness.FindSent<TaskEvent>().report.state == AttemptState::Stopped);
  CHECK(harness.FindSent<TaskEvent>().report.reason == "capacity");
  CHECK(harness.runner.Used() == Resources{ 1500, 500, 0 });
}

// Guards against a process that was paused beyond its deadline and handles a message before it has
// paused its tasks (F9).
TEST_CASE("TaskRunner PausesTasksFirstWhenItResumesAfterItsDeadline")
{
  Harness harness;
  harness.Grant(1, 1);
  harness.Start(1);
  harness.Handle(WorkerCallResult{ harness.FindCall<WorkerStartCall>().call, absl::OkStatus() });
  const LeaseSession lapsed = harness.runner.Session();
  harness.now += seconds(30);
  StartTask start;
  start.session = lapsed;
  start.attempt = Attempt(2);
  harness.Receive(start);
  CHECK(harness.CountCalls<WorkerPauseCall>() == 1);
  CHECK(harness.CountCalls<WorkerStartCall>() == 0);
  CHECK(harness.runner.Session().number == 0);

  // A new session does not resume the task; a command does, once.
  harness.Grant(1, 2);
  CHECK(harness.CountCalls<WorkerResumeCall>() == 0);
  harness.Command(1, TaskCommandKind::Resume);
  CHECK(harness.CountCalls<WorkerResumeCall>() == 1);
  harness.Command(1, TaskCommandKind::Resume);
  CHECK(harness.CountCalls<WorkerResumeCall>() == 0);
}

// Guards against an attempt that starts although its stop arrived first.
TEST_CASE("TaskRunner RefusesALateStartOfAStoppedAttempt")
{
  Harness harness;
  harness.Grant(1, 1);
  harness.Command(1, TaskCommandKind::Stop);
  CHECK(harness.FindSent<TaskEvent>().report.state == AttemptState::Stopped);
  harness.Start(1);
  CHECK(harness.CountCalls<WorkerStartCall>() == 0);
  harness.Receive(TaskEventAck{ Attempt(1), AttemptState::Stopped });
  harness.Start(1);
  CHECK(harness.CountCalls<WorkerStartCall>() == 0);
  CHECK(harness.counters.Get("runner_starts_refused_total", "barred") == 1);
}

// Guards against a completion that is lost when the agent restarts or a message is lost.
TEST_CASE("TaskRunner RepeatsACompletionFoundOnTheWorkerUntilItIsAcknowledged")
{
  Harness harness({ { Attempt(1), WorkerTaskState::Completed, { 1, 1, 0 }, "c", {} } });
  harness.Grant(1, 1);
  CHECK(harness.FindSent<TaskEvent>().report.state == AttemptState::Completed);
  harness.now += seconds(1);
  harness.Handle(RunnerTick{});
  CHECK(harness.FindSent<TaskEvent>().report.attempt == Attempt(1));
  harness.Receive(TaskEventAck{ Attempt(1), AttemptState::Failed });
  CHECK(harness.CountCalls<WorkerForgetCall>() == 0);
  harness.Receive(TaskEventAck{ Attempt(1), AttemptState::Completed });
  CHECK(harness.CountCalls<WorkerForgetCall>() == 1);
}
