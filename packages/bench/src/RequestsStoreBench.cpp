// Requests while the table service is down for 10 minutes.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

namespace {

const OrganisationId kPlain{ "plain" };
const OrganisationId kKeyed{ "keyed" };

void Run(BenchContext& aContext)
{
  for (const StoreFault fault : { StoreFault::Unavailable, StoreFault::Unknown }) {
    SimulationOptions options;
    options.seed = aContext.Seed();
    options.traffic.push_back({ kPlain, 400.0 });
    options.traffic.push_back({ kKeyed, 40.0, 1.0, 1.0 });
    RequestSimulation site(options);
    site.Run(std::chrono::seconds(10), false);
    const std::uint64_t before = site.StoreOperations();
    site.SetStoreFault(fault);
    site.Run(std::chrono::minutes(10), true);
    const std::uint64_t operations = site.StoreOperations() - before;
    site.SetStoreFault(StoreFault::None);
    site.Run(std::chrono::seconds(5), false);
    site.Finish();
    const RequestStatistics& plain = site.Of(kPlain);
    const RequestStatistics& keyed = site.Of(kKeyed);
    const std::string name = fault == StoreFault::Unavailable ? "unavailable" : "unknown";
    aContext.Report({ name + "_unkeyed_success",
                      {},
                      static_cast<double>(plain.answered) / static_cast<double>(plain.offered),
                      "ratio",
                      1.0,
                      BoundKind::AtLeast });
    aContext.Report({ name + "_unkeyed_p99", {}, plain.QuantileMs(0.99), "ms", {} });
    const auto refused = keyed.reasons.find("store_unavailable");
    const std::size_t count = refused == keyed.reasons.end() ? 0 : refused->second;
    aContext.Report({ name + "_keyed_refused_as_store_unavailable",
                      {},
                      static_cast<double>(count) / static_cast<double>(keyed.offered),
                      "ratio",
                      {} });
    aContext.Report({ name + "_table_operations",
                      {},
                      static_cast<double>(operations) / 600.0,
                      "per second",
                      {} });
    aContext.Report({ name + "_false_not_run",
                      {},
                      static_cast<double>(site.FalseNotRunCount()),
                      "requests",
                      0.0 });
    aContext.Report(
      { name + "_run_twice", {}, static_cast<double>(site.DuplicateRunCount()), "requests", 0.0 });
  }
}

const BenchRegistration kCase{ "requests/store_down", Run };

} // namespace

} // namespace oriolespread::bench
