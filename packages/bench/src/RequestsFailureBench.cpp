// What callers see when upstreams stop, die, stand still or all fail.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

namespace {

const OrganisationId kOrganisation{ "acme" };
constexpr std::size_t kVictim = 4;

SimulationOptions Options(std::uint64_t aSeed, double aLoad = 0.7)
{
  SimulationOptions options;
  options.seed = aSeed;
  const double capacity = static_cast<double>(options.workers * options.slots) /
                          std::chrono::duration<double>(options.meanService).count();
  options.traffic.push_back({ kOrganisation, aLoad * capacity });
  return options;
}

double Count(std::size_t aValue)
{
  return static_cast<double>(aValue);
}

void ReportTruth(BenchContext& aContext, const std::string& aName, const RequestSimulation& aSite)
{
  aContext.Report(
    { aName + "_false_not_run", {}, Count(aSite.FalseNotRunCount()), "requests", 0.0 });
  aContext.Report({ aName + "_run_twice", {}, Count(aSite.DuplicateRunCount()), "requests", 0.0 });
  aContext.Report(
    { aName + "_wrong_answers", {}, Count(aSite.MissingOrDuplicateResponses()), "requests", 0.0 });
}

// All upstreams fail for 30 s after 20 s of normal work.
void RunOutage(BenchContext& aContext)
{
  const std::pair<const char*, UpstreamFault> kinds[] = {
    { "refusing", UpstreamFault::Killed },
    { "breaking_off", UpstreamFault::AbortsRequests },
    { "silent", UpstreamFault::Paused },
  };
  for (const auto& [name, fault] : kinds) {
    SimulationOptions options = Options(aContext.Seed(), 0.2);
    RequestSimulation site(options);
    site.Run(std::chrono::seconds(20), false);
    const std::uint64_t before = site.Attempts();
    for (std::size_t worker = 0; worker < options.workers; ++worker) {
      site.SetFault(worker, fault);
    }
    site.Run(std::chrono::seconds(30), true);
    const std::uint64_t attempts = site.Attempts() - before;
    site.SetRate(kOrganisation, 0.0);
    site.Run(std::chrono::seconds(5), false);
    for (std::size_t worker = 0; worker < options.workers; ++worker) {
      site.SetFault(worker, UpstreamFault::None);
    }
    site.Finish();
    const RequestStatistics total = site.Total();
    aContext.Report({ std::string(name) + "_attempts",
                      1.0,
                      Count(attempts) / Count(total.offered),
                      "per offered request",
                      1.1 });
    ReportTruth(aContext, name, site);
  }
}

// One upstream of 11 is stopped in a planned way.
void RunStopped(BenchContext& aContext)
{
  RequestSimulation site(Options(aContext.Seed()));
  site.Run(std::chrono::seconds(15), false);
  site.Run(std::chrono::seconds(5), true);
  site.StopGracefully(kVictim);
  site.Run(std::chrono::seconds(15), true);
  site.Finish();
  const RequestStatistics total = site.Total();
  aContext.Report({ "offered", {}, Count(total.offered), "requests", {} });
  aContext.Report({ "failed", {}, Count(total.notRun + total.unknown), "requests", 0.0 });
  for (const auto& [reason, count] : total.reasons) {
    aContext.Report({ "failed_" + reason, {}, Count(count), "requests", {} });
  }
  aContext.Report({ "p99", {}, total.QuantileMs(0.99), "ms", {} });
  ReportTruth(aContext, "stopped", site);
}

// One upstream of 11 is killed; its agent lives and its connections are refused.
void RunKilled(BenchContext& aContext)
{
  RequestSimulation site(Options(aContext.Seed()));
  site.Run(std::chrono::seconds(15), false);
  site.Run(std::chrono::seconds(5), true);
  site.SetFault(kVictim, UpstreamFault::Killed);
  site.Run(std::chrono::seconds(15), true);
  site.Finish();
  const RequestStatistics total = site.Total();
  aContext.Report({ "failed", {}, Count(total.notRun + total.unknown), "requests", {} });
  aContext.Report(
    { "failed_not_in_flight", {}, Count(site.FailuresWithoutFault()), "requests", 0.0 });
  aContext.Report({ "failed_as_not_run", {}, Count(total.notRun), "requests", {} });
  aContext.Report({ "p99", {}, total.QuantileMs(0.99), "ms", {} });
  ReportTruth(aContext, "killed", site);
}

// A worker with its agent is gone, or stands still for 5 s, and no connection is closed.
void RunSilent(BenchContext& aContext)
{
  for (const bool returns : { false, true }) {
    RequestSimulation site(Options(aContext.Seed()));
    site.Run(std::chrono::seconds(15), false);
    site.Run(std::chrono::seconds(5), true);
    site.SetFault(kVictim, returns ? UpstreamFault::Paused : UpstreamFault::Unresponsive);
    site.Run(std::chrono::seconds(5), true);
    if (returns) {
      site.SetFault(kVictim, UpstreamFault::None);
    }
    site.Run(std::chrono::seconds(15), true);
    site.Finish();
    const RequestStatistics total = site.Total();
    const std::string name = returns ? "paused" : "vanished";
    aContext.Report({ name + "_failed", {}, Count(total.notRun + total.unknown), "requests", {} });
    aContext.Report(
      { name + "_failed_not_in_flight", {}, Count(site.FailuresWithoutFault()), "requests", 0.0 });
    aContext.Report({ name + "_p99", {}, total.QuantileMs(0.99), "ms", {} });
    ReportTruth(aContext, name, site);
  }
}

const BenchRegistration kOutage{ "requests/outage", RunOutage };
const BenchRegistration kStopped{ "requests/stopped_upstream", RunStopped };
const BenchRegistration kKilled{ "requests/killed_upstream", RunKilled };
const BenchRegistration kSilent{ "requests/silent_worker", RunSilent };

} // namespace

} // namespace oriolespread::bench
