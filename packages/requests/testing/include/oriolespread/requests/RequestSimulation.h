// A simulation of the request path on a virtual clock: entries with the real engine or a baseline
// routing policy, agents with the real CreditAllocator and UpstreamRegistry, simulated upstreams,
// links with a delay, and load reports with a lag. It opens no socket and reads no clock.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/platform/MemoryTable.h"
#include "oriolespread/requests/CreditAllocator.h"
#include "oriolespread/requests/RequestEngine.h"
#include "oriolespread/requests/UpstreamRegistry.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::bench {

enum class RoutingPolicy
{
  Engine,
  // Selects the next upstream regardless of its load.
  RoundRobin,
  Random,
  // Selects the next upstream with fewer requests than 1.5 times its slots. It knows the exact
  // number of requests of all entries, which no real process does, so it is a stronger baseline
  // than any that could be deployed.
  RoundRobinWithinSlots,
};

struct TrafficOptions
{
  OrganisationId organisation;
  // Mean number of requests per second.
  double perSecond = 0.0;
  // Fraction of POST requests; the others are GET requests.
  double postShare = 0.3;
  // Fraction of requests with an idempotency key.
  double keyedShare = 0.0;
  Duration deadline = std::chrono::seconds(2);
};

struct SimulationOptions
{
  RoutingPolicy policy = RoutingPolicy::Engine;
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::size_t workers = 11;
  std::size_t dataCentres = 3;
  // Slots of each upstream.
  std::uint32_t slots = 8;
  // One-way delay of a link within a data centre.
  Duration nearOneWay = std::chrono::microseconds(250);
  // One-way delay of a link between data centres.
  Duration farOneWay = std::chrono::milliseconds(3);
  // Mean time that an upstream takes to process a request.
  Duration meanService = std::chrono::milliseconds(10);
  // Factor by which worker 0 takes longer to process requests.
  double slowFactor = 1.0;
  // Delay of load reports in addition to the link's delay.
  Duration reportLag = Duration::zero();
  std::vector<TrafficOptions> traffic;
};

// Results of the requests that arrived while Run was measuring.
struct RequestStatistics
{
  std::vector<double> latenciesMs;
  std::size_t offered = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  std::map<std::string, std::size_t> reasons;

  // Returns a quantile of the latencies. A failed request counts with its deadline.
  double QuantileMs(double aQuantile) const;
};

enum class UpstreamFault
{
  None,
  // The upstream process has ended: its running requests are aborted and connections are refused.
  Killed,
  // The worker and its agent have failed without closing their connections and never respond.
  Unresponsive,
  // The worker is paused and continues when the fault is cleared.
  Paused,
  // The upstream accepts each request and then aborts it.
  AbortsRequests,
};

// Faults of the table service.
enum class StoreFault
{
  None,
  // Operations fail without taking effect.
  Unavailable,
  // Writes are lost and time out, so their outcome is unknown.
  Unknown,
};

class RequestSimulation
{
public:
  explicit RequestSimulation(SimulationOptions aOptions);
  ~RequestSimulation();

  // Generates traffic for `aTime`. The statistics include the arriving requests if `aMeasure` is
  // true.
  void Run(Duration aTime, bool aMeasure);
  // Stops the traffic and runs for another 20 s, so that the requests in progress can finish.
  void Finish();

  void SetRate(const OrganisationId& aOrganisation, double aPerSecond);
  void SetFault(std::size_t aWorker, UpstreamFault aFault);
  void SetStoreFault(StoreFault aFault);
  // Drains the worker's agent.
  void StopGracefully(std::size_t aWorker);

  const RequestStatistics& Of(const OrganisationId& aOrganisation) const
  {
    return this->statistics.at(aOrganisation);
  }
  RequestStatistics Total() const;
  // Returns the number of calls that were sent to agents, including retries and hedged calls.
  std::uint64_t Attempts() const { return this->attempts; }
  // Counts requests that were reported as not_run although an upstream has started to process them.
  // Each start after the report counts as well.
  std::size_t FalseNotRunCount() const { return this->falseNotRunCount; }
  // Returns the number of POST requests that were processed more than once before
  // their final response.
  std::size_t DuplicateRunCount() const { return this->duplicateRunCount; }
  // Returns the number of failed requests that were never in flight on a worker with a fault.
  std::size_t FailuresWithoutFault() const { return this->failuresWithoutFault; }
  // Returns the number of duplicate final responses plus the number of requests without a final
  // response. Call this after Finish.
  std::size_t MissingOrDuplicateResponses() const;
  // Returns the number of calls that the worker has started to process.
  std::size_t ServedBy(std::size_t aWorker) const { return this->served[aWorker]; }
  std::uint64_t Count(std::string_view aCounter) const;
  std::uint64_t Count(std::string_view aCounter, std::string_view aLabel) const;
  // Returns the number of operations that entries have requested from the table service.
  std::uint64_t StoreOperations() const { return this->storeOperations; }
  RequestLoad Load() const;

private:
  struct Request;
  struct Call;
  struct Entry;
  struct Agent;
  using Action = std::function<void()>;

  void Schedule(Instant aTime, Action aAction);
  void ScheduleAfter(Duration aDelay, Action aAction)
  {
    this->Schedule(this->now + aDelay, std::move(aAction));
  }
  void RunUntil(Instant aEnd);
  Duration Delay(std::size_t aEntry, std::size_t aAgent) const;

  void ScheduleArrival(std::size_t aTraffic);
  void Arrive(std::size_t aTraffic);
  void HandleEvent(std::size_t aEntry, const RequestEvent& aEvent);
  void ExecuteEffect(std::size_t aEntry, const RequestEffect& aEffect);
  void ScheduleEntryWakeup(std::size_t aEntry);
  void ScheduleAgentWakeup(std::size_t aAgent);
  void OnFinalResponse(const RequestId& aRequest, const FinalResponse& aResponse);
  void SimulateStore(std::size_t aEntry, const RequestEffect& aEffect);

  void RouteWithBaseline(const RequestId& aRequest);
  void OnCallArrived(const std::shared_ptr<Call>& aCall);
  void StartQueuedCalls(std::size_t aAgent);
  void OnProcessingDone(const std::shared_ptr<Call>& aCall, bool aAborts);
  void EndCall(const std::shared_ptr<Call>& aCall, bool aFailed);
  void Reply(const Call& aCall, const RequestEvent& aEvent);
  void SendAgentMessages(std::size_t aAgent);
  void CloseLink(std::size_t aEntry, std::size_t aAgent);

  SimulationOptions options;
  RandomSource random;
  Counters counters;
  MemoryTable table;
  StoreFault storeFault = StoreFault::None;
  Instant now = Instant(std::chrono::seconds(1000));
  std::uint64_t lastActionOrder = 0;
  struct Scheduled
  {
    Instant at;
    std::uint64_t order = 0;
    std::shared_ptr<Action> action;
    bool operator<(const Scheduled& aOther) const
    {
      return this->at != aOther.at ? this->at > aOther.at : this->order > aOther.order;
    }
  };
  std::priority_queue<Scheduled> actions;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Agent>> agents;
  std::map<RequestId, Request> requests;
  std::map<OrganisationId, RequestStatistics> statistics;
  // Requests that wait until RoundRobinWithinSlots finds an upstream below its limit.
  std::deque<RequestId> waiting;
  std::vector<std::size_t> served;
  std::set<RequestId> reportedNotRun;
  std::uint64_t lastRequestCounter = 0;
  std::uint64_t lastStartOrder = 0;
  std::uint64_t attempts = 0;
  std::uint64_t storeOperations = 0;
  std::size_t nextWorker = 0;
  std::size_t falseNotRunCount = 0;
  std::size_t duplicateRunCount = 0;
  std::size_t failuresWithoutFault = 0;
  std::size_t duplicateResponses = 0;
  bool trafficEnabled = false;
  bool measuring = false;
};

} // namespace oriolespread::bench
