#include "CapacityIndex.h"

#include "ReplicaCounts.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;

namespace {

WorkerSpec Spec(const char* aWorker, const char* aRack, Resources aCapacity)
{
  return { WorkerId(aWorker), DataCentreId("dc"), RackId(aRack), aCapacity };
}

} // namespace

// Guards against overcommitting a worker (P1).
TEST_CASE("CapacityIndex RefusesAndCountsWhenAnAmountIsNotFree")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex worker = capacity.SetWorker(Spec("w", "r", { 1000, 1000, 0 })).first;
  CHECK(capacity.Reserve(worker, { 600, 10, 0 }));
  CHECK_FALSE(capacity.Reserve(worker, { 600, 10, 0 }));
  CHECK_FALSE(capacity.Reserve(worker, { -600, 10, 0 }));
  CHECK(counters.Get("placement_reserve_refused_total", "overcommit") == 2);
  capacity.Free(worker, { 600, 10, 0 });
  CHECK(capacity.Reserve(worker, { 1000, 1000, 0 }));
}

// Guards against returning workers that are unavailable, in quarantine or not registered yet.
TEST_CASE("CapacityIndex CollectsOnlyWorkersThatAcceptTasks")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex worker = capacity.SetWorker(Spec("w", "r", { 1000, 1000, 0 })).first;
  capacity.Restore(capacity.FindOrAdd(WorkerId("unknown")), { 10, 10, 0 });
  const auto collect = [&] {
    std::vector<WorkerIndex> found;
    capacity.Collect({ 500, 500, 0 }, 8, FitOrder::BestFit, found);
    return found.size();
  };
  CHECK(collect() == 1);
  capacity.SetAvailable(worker, false);
  CHECK(collect() == 0);
  capacity.SetAvailable(worker, true);
  capacity.SetHealthy(worker, false);
  CHECK(collect() == 0);
  capacity.SetHealthy(worker, true);
  CHECK(collect() == 1);
  capacity.SetWorker(Spec("w", "r", { 100, 1000, 0 }));
  CHECK(collect() == 0);
}

// Guards against findings that give only the first reason (F4), and against findings before any
// worker has registered.
TEST_CASE("CapacityIndex GivesEveryReasonWhenADemandFitsNoWorker")
{
  Counters counters;
  CapacityIndex capacity(counters);
  Findings none;
  capacity.ExplainUnplaceable({ 9000, 9000, 1 }, "resources", none);
  CHECK(none.empty());
  capacity.SetWorker(Spec("a", "r", { 4000, 1000, 0 }));
  capacity.SetWorker(Spec("b", "r", { 1000, 4000, 0 }));
  Findings perResource;
  capacity.ExplainUnplaceable({ 9000, 9000, 1 }, "resources", perResource);
  CHECK(perResource.size() == 3);
  Findings combination;
  capacity.ExplainUnplaceable({ 3000, 3000, 0 }, "resources", combination);
  CHECK(combination.size() == 1);
  CHECK_FALSE(capacity.FitsAnyWorker({ 3000, 3000, 0 }));
  CHECK(capacity.FitsAnyWorker({ 1000, 3000, 0 }));
}

// Guards against placing replicas in the same rack while another rack has none.
TEST_CASE("ReplicaCounts PenaliseAWorkerMoreThanItsRack")
{
  Counters counters;
  CapacityIndex capacity(counters);
  const WorkerIndex a = capacity.SetWorker(Spec("a", "r1", { 1, 1, 0 })).first;
  const WorkerIndex b = capacity.SetWorker(Spec("b", "r1", { 1, 1, 0 })).first;
  const WorkerIndex c = capacity.SetWorker(Spec("c", "r2", { 1, 1, 0 })).first;
  ReplicaCounts replicaCounts;
  replicaCounts.Add(3, capacity.At(a), a);
  const auto spreadPenalty = [&](WorkerIndex aWorker) {
    return replicaCounts.SpreadPenalty(3, capacity.At(aWorker), aWorker);
  };
  CHECK(spreadPenalty(a) > spreadPenalty(b));
  CHECK(spreadPenalty(b) > spreadPenalty(c));
  replicaCounts.Remove(3, capacity.At(a), a);
  CHECK(spreadPenalty(a) == 0.0);
}
