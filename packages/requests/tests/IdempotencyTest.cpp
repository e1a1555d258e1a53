#include "EngineHarness.h"

#include "oriolespread/platform/MemoryTable.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using std::chrono::seconds;

namespace {

// State of the table service while it handles operations.
enum class StoreMode
{
  Up,
  Down,
  // Writes take effect, but their results are lost.
  ResultLost,
  // Writes and their results are lost.
  WriteLost,
};

// An engine whose table operations are executed on a MemoryTable.
struct KeyedHarness : EngineHarness
{
  explicit KeyedHarness(MemoryTable& aTable, std::uint32_t aAgents = 2)
    : EngineHarness(aAgents)
    , table(aTable)
  {
  }

  // Completes all pending table operations, including those that follow from the results.
  void CompleteTableOperations(StoreMode aStoreMode)
  {
    for (; this->next < this->all.size(); ++this->next) {
      const RequestEffect effect = this->all[this->next];
      if (const auto* commit = std::get_if<CommitTransaction>(&effect)) {
        CommitOutcome outcome{ CommitStatus::Unavailable, {}, {} };
        if (aStoreMode == StoreMode::Up || aStoreMode == StoreMode::ResultLost) {
          outcome = this->table.Commit(commit->transaction);
        }
        if (aStoreMode == StoreMode::ResultLost || aStoreMode == StoreMode::WriteLost) {
          outcome.status = CommitStatus::Unknown;
        }
        this->Handle(TransactionDone{ commit->operation, outcome });
      } else if (const auto* fate = std::get_if<ReadTransactionFate>(&effect)) {
        const FateOutcome outcome =
          aStoreMode == StoreMode::Down ? FateOutcome{} : this->table.ReadFate(fate->transaction);
        this->Handle(FateDone{ fate->operation, outcome });
      } else if (const auto* scan = std::get_if<ScanRow>(&effect)) {
        if (aStoreMode == StoreMode::Down) {
          this->Handle(RowScanDone{ scan->operation, absl::UnavailableError("down") });
        } else {
          this->Handle(RowScanDone{ scan->operation, this->table.Scan(scan->key, "", 1) });
        }
      }
    }
  }

  MemoryTable& table;
  std::size_t next = 0;
};

} // namespace

// Guards against running a keyed request twice, and against losing its response.
TEST_CASE("IdempotencyCoordinator ReplaysTheStoredResponse")
{
  const StoreMode storeMode = GENERATE(StoreMode::Up, StoreMode::ResultLost);
  MemoryTable table;
  KeyedHarness h(table);
  const RequestId first = h.Send("POST", seconds(1), "k");
  CHECK(h.All<StartCall>().empty());
  h.CompleteTableOperations(storeMode);
  REQUIRE(h.All<StartCall>().size() == 1);
  const RequestId during = h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(storeMode);
  CHECK(h.ResultOf(during) == "unknown/idempotency_in_progress");
  h.Respond(h.All<StartCall>().at(0));
  h.CompleteTableOperations(storeMode);
  const RequestId after = h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(storeMode);
  CHECK(h.ResultOf(first) == "answered");
  CHECK(h.ResultOf(after) == "answered");
  CHECK(h.All<FinalResponse>().back().response->body == "ok");
  CHECK(h.All<StartCall>().size() == 1);
}

// Guards against responding to a request with the response to another one with the same key.
TEST_CASE("IdempotencyCoordinator RefusesADifferentRequestWithTheSameKey")
{
  MemoryTable table;
  KeyedHarness h(table);
  h.Send("POST", seconds(1), "k", "one");
  h.CompleteTableOperations(StoreMode::Up);
  const RequestId other = h.Send("POST", seconds(1), "k", "two");
  h.CompleteTableOperations(StoreMode::Up);
  CHECK(h.ResultOf(other) == "not_run/idempotency_mismatch");
}

// Guards against dispatching a keyed request that has no record.
TEST_CASE("IdempotencyCoordinator RefusesWhenTheRecordCannotBeWritten")
{
  const StoreMode storeMode = GENERATE(StoreMode::Down, StoreMode::WriteLost);
  MemoryTable table;
  KeyedHarness h(table);
  const RequestId id = h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(storeMode);
  CHECK(h.ResultOf(id) == "not_run/store_unavailable");
  CHECK(h.All<StartCall>().empty());
  const RequestId again = h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(StoreMode::Up);
  CHECK(h.All<StartCall>().size() == 1);
  CHECK(h.ResultOf(again) == "none");
}

// Guards against reporting not_run for a key whose earlier request may have run.
TEST_CASE("IdempotencyCoordinator ReportsUnknownWhenAnEarlierRecordCannotBeRead")
{
  MemoryTable table;
  KeyedHarness h(table);
  h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(StoreMode::Up);
  const RequestId repeat = h.Send("POST", seconds(1), "k");
  const auto commit = h.All<CommitTransaction>().back();
  h.Handle(TransactionDone{ commit.operation, table.Commit(commit.transaction) });
  h.next = h.all.size() - 1;
  h.CompleteTableOperations(StoreMode::Down);
  CHECK(h.ResultOf(repeat) == "unknown/store_unavailable");
}

// Guards against a record that blocks its key forever although its request did not run. The request
// can fail before or after the result of the table operation arrives.
TEST_CASE("IdempotencyCoordinator RemovesTheRecordOfARequestThatDidNotRun")
{
  const bool beforeResult = GENERATE(true, false);
  MemoryTable table;
  KeyedHarness h(table, 1);
  const RequestId id = h.Send("POST", seconds(1), "k");
  if (beforeResult) {
    h.AdvanceTime(seconds(1));
    CHECK(h.ResultOf(id) == "not_run/store_unavailable");
    h.CompleteTableOperations(StoreMode::ResultLost);
  } else {
    h.CompleteTableOperations(StoreMode::Up);
    h.Handle(CallNotRun{ h.All<StartCall>().at(0).call, Reason::StreamRefused });
    CHECK(h.ResultOf(id) == "not_run/stream_refused");
    h.CompleteTableOperations(StoreMode::Down);
    CHECK(table.size() == 1);
    h.AdvanceTime(seconds(2));
    h.CompleteTableOperations(StoreMode::Up);
  }
  CHECK(table.size() == 0);
}

// Guards against repeating a request whose first attempt may have run.
TEST_CASE("IdempotencyCoordinator KeepsTheRecordOfARequestThatMayHaveRun")
{
  MemoryTable table;
  KeyedHarness h(table);
  h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(StoreMode::Up);
  h.Handle(CallUnknown{ h.All<StartCall>().at(0).call, Reason::StreamReset });
  const RequestId repeat = h.Send("POST", seconds(1), "k");
  h.CompleteTableOperations(StoreMode::Up);
  CHECK(h.ResultOf(repeat) == "unknown/idempotency_in_progress");
  CHECK(h.All<StartCall>().size() == 1);
}

// Guards against accumulating writes of unknown outcome and delaying callers while the table
// service is down, and against refusing requests forever once it is available again.
TEST_CASE("IdempotencyCoordinator RefusesImmediatelyWhileTheCircuitBreakerIsOpen")
{
  MemoryTable table;
  KeyedHarness h(table);
  for (int i = 0; i < 100; ++i) {
    h.Send("POST", seconds(5), std::to_string(i));
    h.CompleteTableOperations(StoreMode::Down);
  }
  CHECK(h.All<CommitTransaction>().size() <= 4);
  CHECK(h.All<FinalResponse>().size() == 100);
  h.AdvanceTime(seconds(1));
  h.Send("POST", seconds(5), "probe");
  h.CompleteTableOperations(StoreMode::Up);
  h.Send("POST", seconds(5), "next");
  h.CompleteTableOperations(StoreMode::Up);
  CHECK(h.All<StartCall>().size() == 2);
}
