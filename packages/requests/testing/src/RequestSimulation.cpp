#include "oriolespread/requests/RequestSimulation.h"

#include "RequestSimulationParts.h"

#include <algorithm>

namespace oriolespread::bench {

namespace {

const ServiceName kService{ "shop" };
const OrganisationId kProvider{ "provider" };
constexpr Duration kStoreLatency = std::chrono::milliseconds(5);
// Timeout of table operations whose result is lost.
constexpr Duration kStoreTimeout = std::chrono::seconds(1);

} // namespace

double RequestStatistics::QuantileMs(double aQuantile) const
{
  if (this->latenciesMs.empty()) {
    return 0.0;
  }
  std::vector<double> sorted = this->latenciesMs;
  const auto rank = static_cast<std::size_t>(aQuantile * static_cast<double>(sorted.size() - 1));
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return *nth;
}

RequestSimulation::RequestSimulation(SimulationOptions aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , served(this->options.workers, 0)
{
  RequestPolicy policy;
  for (const TrafficOptions& traffic : this->options.traffic) {
    policy.organisations.push_back({ traffic.organisation });
    policy.services.push_back({ traffic.organisation, kService, kProvider });
    this->statistics[traffic.organisation];
  }
  for (std::size_t e = 0; e < this->options.entries; ++e) {
    auto entry = std::make_unique<Entry>();
    entry->dataCentre = e % this->options.dataCentres;
    entry->engine = std::make_unique<RequestEngine>(
      RequestEngineOptions{ EntryId{ "e" + std::to_string(e) },
                            Incarnation{ 1 },
                            DataCentreId{ std::to_string(entry->dataCentre) },
                            this->options.seed + e },
      this->counters);
    this->entries.push_back(std::move(entry));
    this->HandleEvent(e, PolicyChanged{ policy });
  }
  for (std::size_t a = 0; a < this->options.workers; ++a) {
    auto agent = std::make_unique<Agent>();
    agent->dataCentre = a % this->options.dataCentres;
    agent->allocator = std::make_unique<CreditAllocator>(this->counters);
    agent->registry = std::make_unique<UpstreamRegistry>(
      UpstreamRegistryOptions{ AgentId{ "a" + std::to_string(a) },
                               Incarnation{ 1 },
                               WorkerId{ "w" + std::to_string(a) },
                               DataCentreId{ std::to_string(agent->dataCentre) },
                               {},
                               {} },
      this->counters);
    this->agents.push_back(std::move(agent));
    Agent& added = *this->agents.back();
    added.allocator->SetUpstream(UpstreamOf(a), Incarnation{ 1 }, this->options.slots, 64);
    added.registry->AddUpstream(
      this->now, { UpstreamOf(a), Incarnation{ 1 }, kProvider, kService, this->options.slots, 64 });
    for (std::size_t e = 0; e < this->options.entries; ++e) {
      this->HandleEvent(e, LinkUp{ LinkOf(e, a), this->Delay(e, a) * 2 });
      added.allocator->AddLink(LinkOf(e, a));
      added.registry->AddLink(this->now, LinkOf(e, a));
    }
    this->SendAgentMessages(a);
  }
  for (std::size_t t = 0; t < this->options.traffic.size(); ++t) {
    this->ScheduleArrival(t);
  }
}

RequestSimulation::~RequestSimulation() = default;

void RequestSimulation::Run(Duration aTime, bool aMeasure)
{
  this->trafficEnabled = true;
  this->measuring = aMeasure;
  this->RunUntil(this->now + aTime);
}

void RequestSimulation::Finish()
{
  this->trafficEnabled = false;
  this->RunUntil(this->now + std::chrono::seconds(20));
}

void RequestSimulation::SetRate(const OrganisationId& aOrganisation, double aPerSecond)
{
  for (TrafficOptions& traffic : this->options.traffic) {
    if (traffic.organisation == aOrganisation) {
      traffic.perSecond = aPerSecond;
    }
  }
}

void RequestSimulation::SetStoreFault(StoreFault aFault)
{
  this->storeFault = aFault;
}

RequestStatistics RequestSimulation::Total() const
{
  RequestStatistics total;
  for (const auto& [organisation, organisationStatistics] : this->statistics) {
    total.latenciesMs.insert(total.latenciesMs.end(),
                             organisationStatistics.latenciesMs.begin(),
                             organisationStatistics.latenciesMs.end());
    total.offered += organisationStatistics.offered;
    total.answered += organisationStatistics.answered;
    total.notRun += organisationStatistics.notRun;
    total.unknown += organisationStatistics.unknown;
    for (const auto& [reason, count] : organisationStatistics.reasons) {
      total.reasons[reason] += count;
    }
  }
  return total;
}

std::size_t RequestSimulation::MissingOrDuplicateResponses() const
{
  return this->duplicateResponses + this->requests.size();
}

std::uint64_t RequestSimulation::Count(std::string_view aCounter) const
{
  return this->counters.Total(aCounter);
}

std::uint64_t RequestSimulation::Count(std::string_view aCounter, std::string_view aLabel) const
{
  return this->counters.Get(aCounter, aLabel);
}

RequestLoad RequestSimulation::Load() const
{
  RequestLoad sum;
  for (const auto& entry : this->entries) {
    const RequestLoad load = entry->engine->Load();
    sum.queued += load.queued;
    sum.calls += load.calls;
    sum.requests += load.requests;
  }
  return sum;
}

void RequestSimulation::Schedule(Instant aTime, Action aAction)
{
  this->actions.push(
    { aTime, ++this->lastActionOrder, std::make_shared<Action>(std::move(aAction)) });
}

void RequestSimulation::RunUntil(Instant aEnd)
{
  while (!this->actions.empty() && this->actions.top().at <= aEnd) {
    const Scheduled next = this->actions.top();
    this->actions.pop();
    this->now = next.at;
    (*next.action)();
  }
  this->now = aEnd;
}

Duration RequestSimulation::Delay(std::size_t aEntry, std::size_t aAgent) const
{
  const std::size_t agentDataCentre = aAgent % this->options.dataCentres;
  return this->entries[aEntry]->dataCentre == agentDataCentre ? this->options.nearOneWay
                                                              : this->options.farOneWay;
}

void RequestSimulation::ScheduleArrival(std::size_t aTraffic)
{
  // A rate of 0 still schedules arrivals, so that SetRate can raise it later.
  const double rate = std::max(this->options.traffic[aTraffic].perSecond, 0.1);
  const Duration gap = this->random.Exponential(
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate)));
  this->ScheduleAfter(gap, [this, aTraffic] {
    if (this->trafficEnabled && this->options.traffic[aTraffic].perSecond > 0.0) {
      this->Arrive(aTraffic);
    }
    this->ScheduleArrival(aTraffic);
  });
}

void RequestSimulation::Arrive(std::size_t aTraffic)
{
  const TrafficOptions& traffic = this->options.traffic[aTraffic];
  Request request;
  request.organisation = traffic.organisation;
  request.arrived = this->now;
  request.deadline = traffic.deadline;
  request.entry = this->random.Below(this->entries.size());
  request.post = this->random.Chance(traffic.postShare);
  request.measured = this->measuring;
  NewRequest event;
  event.id = { Incarnation{ 1 }, ++this->lastRequestCounter };
  event.organisation = traffic.organisation;
  event.service = kService;
  static const auto sGet = std::make_shared<RequestContent>(RequestContent{ "GET", "/", {}, "" });
  static const auto sPost = std::make_shared<RequestContent>(RequestContent{ "POST", "/", {}, "" });
  event.content = request.post ? sPost : sGet;
  event.deadline = this->now + traffic.deadline;
  if (this->random.Chance(traffic.keyedShare)) {
    event.idempotencyKey = std::to_string(event.id.counter);
  }
  const std::size_t entry = request.entry;
  this->requests[event.id] = request;
  if (this->options.policy == RoutingPolicy::Engine) {
    this->HandleEvent(entry, event);
  } else {
    this->RouteWithBaseline(event.id);
  }
}

void RequestSimulation::HandleEvent(std::size_t aEntry, const RequestEvent& aEvent)
{
  RequestEffects effects;
  this->entries[aEntry]->engine->Handle(this->now, aEvent, effects);
  for (const RequestEffect& effect : effects) {
    this->ExecuteEffect(aEntry, effect);
  }
  this->ScheduleEntryWakeup(aEntry);
}

void RequestSimulation::ExecuteEffect(std::size_t aEntry, const RequestEffect& aEffect)
{
  if (const auto* start = std::get_if<StartCall>(&aEffect)) {
    const std::size_t agent = (start->link.Value() - 1) % 1'000;
    ++this->attempts;
    auto call =
      std::make_shared<Call>(Call{ aEntry, agent, start->call, start->request, {}, 0, false });
    this->agents[agent]->inTransit.insert(call);
    this->ScheduleAfter(this->Delay(aEntry, agent), [this, call] { this->OnCallArrived(call); });
  } else if (const auto* response = std::get_if<FinalResponse>(&aEffect)) {
    this->OnFinalResponse(response->request, *response);
  } else if (const auto* demand = std::get_if<SendCreditDemand>(&aEffect)) {
    const std::size_t agent = (demand->link.Value() - 1) % 1'000;
    this->ScheduleAfter(this->Delay(aEntry, agent), [this, agent, sent = *demand] {
      this->agents[agent]->allocator->SetDemand(sent.link, sent.demand);
      this->SendAgentMessages(agent);
    });
  } else {
    this->SimulateStore(aEntry, aEffect);
  }
}

void RequestSimulation::ScheduleEntryWakeup(std::size_t aEntry)
{
  Entry& entry = *this->entries[aEntry];
  const Instant wakeup = entry.engine->NextWakeup();
  if (wakeup >= entry.nextWakeup) {
    return;
  }
  entry.nextWakeup = std::max(wakeup, this->now);
  this->Schedule(entry.nextWakeup, [this, aEntry, due = entry.nextWakeup] {
    if (this->entries[aEntry]->nextWakeup == due) {
      this->entries[aEntry]->nextWakeup = Instant::max();
      this->HandleEvent(aEntry, Tick{});
    }
  });
}

void RequestSimulation::OnFinalResponse(const RequestId& aRequest, const FinalResponse& aResponse)
{
  const auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    ++this->duplicateResponses;
    return;
  }
  const Request request = found->second;
  this->requests.erase(found);
  const bool failed = aResponse.outcome.has_value();
  if (failed && *aResponse.outcome == Outcome::NotRun) {
    this->reportedNotRun.insert(aRequest);
    this->falseNotRunCount += request.runs > 0 ? 1 : 0;
  }
  this->duplicateRunCount += request.post && request.runs > 1 ? 1 : 0;
  if (!request.measured) {
    return;
  }
  RequestStatistics& organisationStatistics = this->statistics[request.organisation];
  ++organisationStatistics.offered;
  const Duration latency = this->now - request.arrived;
  organisationStatistics.latenciesMs.push_back(
    std::chrono::duration<double, std::milli>(failed ? request.deadline : latency).count());
  if (!failed) {
    ++organisationStatistics.answered;
    return;
  }
  this->failuresWithoutFault += request.reachedFault ? 0 : 1;
  ++(*aResponse.outcome == Outcome::NotRun ? organisationStatistics.notRun
                                           : organisationStatistics.unknown);
  ++organisationStatistics.reasons[std::string(ToString(*aResponse.reason))];
}

void RequestSimulation::SimulateStore(std::size_t aEntry, const RequestEffect& aEffect)
{
  const StoreFault fault = this->storeFault;
  const bool lost = fault == StoreFault::Unknown;
  const Duration time = lost ? kStoreTimeout : kStoreLatency;
  this->storeOperations += std::holds_alternative<CancelCall>(aEffect) ? 0 : 1;
  if (const auto* commit = std::get_if<CommitTransaction>(&aEffect)) {
    TransactionDone done{ commit->operation, {} };
    if (fault == StoreFault::None) {
      done.outcome = this->table.Commit(commit->transaction);
    } else {
      done.outcome.status = lost ? CommitStatus::Unknown : CommitStatus::Unavailable;
    }
    this->ScheduleAfter(time, [this, aEntry, done] { this->HandleEvent(aEntry, done); });
  } else if (const auto* fate = std::get_if<ReadTransactionFate>(&aEffect)) {
    FateDone done{ fate->operation, {} };
    if (fault == StoreFault::None) {
      done.outcome = this->table.ReadFate(fate->transaction);
    }
    this->ScheduleAfter(time, [this, aEntry, done] { this->HandleEvent(aEntry, done); });
  } else if (const auto* scan = std::get_if<ScanRow>(&aEffect)) {
    RowScanDone done{ scan->operation, absl::UnavailableError("down") };
    if (fault == StoreFault::None) {
      done.page = this->table.Scan(scan->key, "", 1);
    }
    this->ScheduleAfter(time, [this, aEntry, done] { this->HandleEvent(aEntry, done); });
  }
}

} // namespace oriolespread::bench
