#include "HedgePolicy.h"
#include "OutlierEjector.h"
#include "RetryBudget.h"
#include "Router.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant kNow = Instant(std::chrono::seconds(1000));
constexpr double kPoolNs = 10e6;

std::vector<UpstreamPtr> MakePool(std::size_t aCount, const std::string& aDataCentre = "near")
{
  std::vector<UpstreamPtr> pool;
  for (std::size_t i = 0; i < aCount; ++i) {
    pool.push_back(std::make_shared<Upstream>());
    pool.back()->worker = WorkerId{ aDataCentre + std::to_string(i) };
    pool.back()->dataCentre = DataCentreId{ aDataCentre };
    pool.back()->slots = 8;
    pool.back()->connections = 64;
    pool.back()->latencyNs = kPoolNs;
    pool.back()->latencyUpdated = kNow;
  }
  return pool;
}

} // namespace

// Guards against calls without credit, to an excluded worker, or to a suspect or ejected upstream.
TEST_CASE("Router PicksOnlyUsableUpstreams")
{
  Router router(DataCentreId{ "near" }, 1);
  auto pool = MakePool(5);
  pool[0]->ownInFlight = 8;
  pool[1]->suspect = true;
  pool[2]->ejectedUntil = kNow + seconds(1);
  for (int i = 0; i < 100; ++i) {
    CHECK(router.Pick(kNow, pool, { pool[3]->worker }, kPoolNs) == pool[4]);
  }
  pool[4]->creditRefused = true;
  CHECK(router.Pick(kNow, pool, { pool[3]->worker }, kPoolNs) == nullptr);
}

// Guards against calls to a remote data centre while local upstreams are free, and against queueing
// at local upstreams when the link's round trip takes less time.
TEST_CASE("Router PrefersTheLocalDataCentreUntilItsQueueTakesLongerThanTheLink")
{
  Router router(DataCentreId{ "near" }, 1);
  auto pool = MakePool(2);
  const auto far = MakePool(2, "far");
  pool.insert(pool.end(), far.begin(), far.end());
  pool[2]->roundTrip = pool[3]->roundTrip = milliseconds(7);
  CHECK(router.Pick(kNow, pool, {}, kPoolNs)->dataCentre.Value() == "near");
  pool[0]->othersInFlight = pool[1]->othersInFlight = 40;
  CHECK(router.Pick(kNow, pool, {}, kPoolNs)->dataCentre.Value() == "far");
}

// Guards against a full share of calls for a new upstream whose caches are cold.
TEST_CASE("Router WarmsUpNewUpstreamsOverTenSeconds")
{
  Upstream upstream;
  upstream.warmUpStart = kNow;
  CHECK(Router::WarmUpWeight(kNow, upstream) == Approx(0.1));
  CHECK(Router::WarmUpWeight(kNow + seconds(5), upstream) == Approx(0.5));
  CHECK(Router::WarmUpWeight(kNow + seconds(60), upstream) == Approx(1.0));
}

// Guards against ejecting most upstreams of a service at once, or its last one.
TEST_CASE("OutlierEjector EjectsAtMostAThirdAndNeverTheLastUpstream")
{
  const std::size_t count = GENERATE(1U, 2U, 3U, 7U, 11U);
  Counters counters;
  OutlierEjector ejector(counters);
  const auto pool = MakePool(count);
  for (int round = 0; round < 20; ++round) {
    for (const UpstreamPtr& upstream : pool) {
      ejector.Record(kNow, *upstream, true, pool);
    }
  }
  const auto ejected = static_cast<std::size_t>(std::count_if(
    pool.begin(), pool.end(), [](const UpstreamPtr& aItem) { return aItem->IsEjected(kNow); }));
  INFO("pool of " << count);
  CHECK(ejected == count / 3);
}

// Guards against retrying an upstream that is slow repeatedly as often as a healthy one.
TEST_CASE("OutlierEjector EjectsSlowUpstreamsLongerEachTime")
{
  Counters counters;
  OutlierEjector ejector(counters);
  const auto pool = MakePool(11);
  pool[0]->latencyNs = 5 * kPoolNs;
  Instant now = kNow;
  for (int times = 1; times <= 3; ++times) {
    while (!ejector.Record(now, *pool[0], false, pool)) {
    }
    CHECK(pool[0]->ejectedUntil - now == seconds(5) * times);
    now = pool[0]->ejectedUntil;
  }
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(ejector.Record(now, *pool[1], false, pool));
  }
}

// Guards against retries that amplify an outage, and against an organisation that uses the budget
// of another.
TEST_CASE("RetryBudget AllowsTenRetriesPlusATenthOfSuccesses")
{
  RetryBudget budget;
  const OrganisationId failing{ "failing" };
  const OrganisationId other{ "other" };
  const auto takeAll = [&](const OrganisationId& aOrganisation) {
    int taken = 0;
    while (budget.TryTakeToken(aOrganisation)) {
      ++taken;
    }
    return taken;
  };
  CHECK(takeAll(failing) == 10);
  for (int i = 0; i < 101; ++i) {
    budget.RecordSuccess(failing);
  }
  CHECK(takeAll(failing) == 10);
  CHECK(takeAll(other) == 10);
}

// Guards against hedging before the p95 is known, and against hedging more than 2% of the calls.
TEST_CASE("HedgePolicy HedgesAfterTheMeasuredP95WithinItsBudget")
{
  HedgePolicy policy;
  CHECK(policy.HedgeDelay() == Duration::max());
  for (int i = 1; i <= 1000; ++i) {
    policy.RecordCall();
    policy.RecordLatency(milliseconds(1 + i % 100));
  }
  CHECK(policy.HedgeDelay() >= milliseconds(94));
  CHECK(policy.HedgeDelay() <= milliseconds(101));
  int taken = 0;
  while (policy.TryTakeToken()) {
    ++taken;
  }
  CHECK(taken <= 20);
  CHECK(taken >= 9);
}
