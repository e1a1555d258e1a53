// The agents and upstreams of RequestSimulation, and the baseline policies for comparison with the
// engine.
#include "RequestSimulationParts.h"

#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

void RequestSimulation::RouteWithBaseline(const RequestId& aRequest)
{
  std::size_t agent = 0;
  if (this->options.policy == RoutingPolicy::Random) {
    agent = this->random.Below(this->agents.size());
  } else {
    const bool within = this->options.policy == RoutingPolicy::RoundRobinWithinSlots;
    // 1.5 times the slots, so that slots are not idle during the links' round trips.
    const std::size_t limit = within ? this->options.slots * 3 / 2 : SIZE_MAX;
    std::size_t tried = 0;
    do {
      agent = this->nextWorker++ % this->agents.size();
      ++tried;
    } while (this->agents[agent]->sent >= limit && tried <= this->agents.size());
    if (this->agents[agent]->sent >= limit) {
      this->waiting.push_back(aRequest);
      return;
    }
  }
  ++this->agents[agent]->sent;
  ++this->attempts;
  const std::size_t entry = this->requests.at(aRequest).entry;
  auto call = std::make_shared<Call>(Call{ entry, agent, {}, aRequest, {}, 0, false });
  this->ScheduleAfter(this->Delay(entry, agent), [this, call] { this->OnCallArrived(call); });
}

void RequestSimulation::OnCallArrived(const std::shared_ptr<Call>& aCall)
{
  Agent& agent = *this->agents[aCall->agent];
  agent.inTransit.erase(aCall);
  if (agent.closed) {
    return;
  }
  const auto request = this->requests.find(aCall->request);
  if (request != this->requests.end() && agent.fault != UpstreamFault::None) {
    request->second.reachedFault = true;
  }
  if (agent.fault == UpstreamFault::Unresponsive) {
    return;
  }
  if (agent.fault == UpstreamFault::Paused) {
    agent.deferred.push_back([this, aCall] { this->OnCallArrived(aCall); });
    return;
  }
  if (this->options.policy == RoutingPolicy::Engine) {
    const UpstreamId upstream = UpstreamOf(aCall->agent);
    if (!agent.registry->AcceptsCalls(upstream)) {
      this->Reply(*aCall, CallNotRun{ aCall->id, Reason::UpstreamLeaving });
      return;
    }
    if (!agent.allocator->TryBeginCall(LinkOf(aCall->entry, aCall->agent), upstream)) {
      this->Reply(*aCall, CallNotRun{ aCall->id, Reason::NoCredit });
      return;
    }
    agent.registry->BeginCall(upstream);
  }
  aCall->begun = this->now;
  agent.waiting.push_back(aCall);
  this->StartQueuedCalls(aCall->agent);
}

void RequestSimulation::StartQueuedCalls(std::size_t aAgent)
{
  Agent& agent = *this->agents[aAgent];
  while (!agent.waiting.empty() && agent.running.size() < this->options.slots) {
    const std::shared_ptr<Call> call = agent.waiting.front();
    agent.waiting.pop_front();
    if (agent.fault == UpstreamFault::Killed) {
      this->EndCall(call, true);
      this->Reply(*call, CallNotRun{ call->id, Reason::UpstreamUnreachable });
      continue;
    }
    call->order = ++this->lastStartOrder;
    agent.running[call->order] = call;
    ++this->served[aAgent];
    const auto request = this->requests.find(call->request);
    if (request != this->requests.end()) {
      ++request->second.runs;
    }
    this->falseNotRunCount += this->reportedNotRun.contains(call->request) ? 1 : 0;
    const double factor = aAgent == 0 ? this->options.slowFactor : 1.0;
    const bool aborts = agent.fault == UpstreamFault::AbortsRequests;
    const Duration service = this->random.Exponential(
      std::chrono::duration_cast<Duration>(this->options.meanService * factor));
    this->ScheduleAfter(aborts ? std::chrono::milliseconds(1) : service,
                        [this, call, aborts] { this->OnProcessingDone(call, aborts); });
  }
}

void RequestSimulation::OnProcessingDone(const std::shared_ptr<Call>& aCall, bool aAborts)
{
  Agent& agent = *this->agents[aCall->agent];
  if (aCall->aborted || agent.fault == UpstreamFault::Unresponsive) {
    return;
  }
  if (agent.fault == UpstreamFault::Paused) {
    agent.deferred.push_back([this, aCall, aAborts] { this->OnProcessingDone(aCall, aAborts); });
    return;
  }
  agent.running.erase(aCall->order);
  if (aAborts) {
    this->Reply(*aCall, CallUnknown{ aCall->id, Reason::UpstreamFailed });
  } else {
    static const auto sResponse =
      std::make_shared<ResponseContent>(ResponseContent{ 200, {}, "ok" });
    this->Reply(*aCall, CallResponse{ aCall->id, aCall->request, sResponse });
  }
  // After the reply, because a drained agent closes its links when the last call has ended.
  this->EndCall(aCall, aAborts);
  this->StartQueuedCalls(aCall->agent);
}

void RequestSimulation::EndCall(const std::shared_ptr<Call>& aCall, bool aFailed)
{
  if (this->options.policy != RoutingPolicy::Engine) {
    return;
  }
  Agent& agent = *this->agents[aCall->agent];
  const UpstreamId upstream = UpstreamOf(aCall->agent);
  agent.registry->EndCall(this->now, upstream, this->now - aCall->begun, aFailed);
  agent.allocator->EndCall(LinkOf(aCall->entry, aCall->agent), upstream);
  this->SendAgentMessages(aCall->agent);
}

void RequestSimulation::Reply(const Call& aCall, const RequestEvent& aEvent)
{
  this->ScheduleAfter(this->Delay(aCall.entry, aCall.agent), [this, aCall, aEvent] {
    if (this->options.policy == RoutingPolicy::Engine) {
      this->HandleEvent(aCall.entry, aEvent);
      return;
    }
    --this->agents[aCall.agent]->sent;
    const Request& request = this->requests.at(aCall.request);
    FinalResponse response{ aCall.request, nullptr, std::nullopt, std::nullopt };
    if (this->now > request.arrived + request.deadline) {
      response.outcome = Outcome::Unknown;
      response.reason = Reason::DeadlineExceeded;
    }
    this->OnFinalResponse(aCall.request, response);
    if (!this->waiting.empty()) {
      const RequestId next = this->waiting.front();
      this->waiting.pop_front();
      this->RouteWithBaseline(next);
    }
  });
}

void RequestSimulation::SendAgentMessages(std::size_t aAgent)
{
  Agent& agent = *this->agents[aAgent];
  if (agent.fault == UpstreamFault::Unresponsive || agent.fault == UpstreamFault::Paused ||
      agent.closed || this->options.policy != RoutingPolicy::Engine) {
    return;
  }
  std::vector<OutgoingLinkMessage> messages;
  agent.registry->Poll(this->now, messages);
  for (const LinkGrant& grant : agent.allocator->TakeChangedGrants()) {
    messages.push_back({ grant.link, grant.grant });
  }
  for (const OutgoingLinkMessage& message : messages) {
    const std::size_t entry = (message.link.Value() - 1) / 1'000;
    const auto deliver = [this, entry, link = message.link](const RequestLinkMessage& aMessage) {
      this->HandleEvent(entry, LinkMessageReceived{ link, aMessage });
    };
    const Duration delay = this->Delay(entry, aAgent);
    if (const auto* report = std::get_if<LoadReport>(&message.message)) {
      this->ScheduleAfter(delay + this->options.reportLag,
                          [deliver, sent = *report] { deliver(sent); });
    } else if (const auto* announce = std::get_if<Announce>(&message.message)) {
      this->ScheduleAfter(delay, [deliver, sent = *announce] { deliver(sent); });
    } else if (const auto* leave = std::get_if<Leave>(&message.message)) {
      this->ScheduleAfter(delay, [deliver, sent = *leave] { deliver(sent); });
    } else if (const auto* grant = std::get_if<CreditGrant>(&message.message)) {
      this->ScheduleAfter(delay, [deliver, sent = *grant] { deliver(sent); });
    }
  }
  if (agent.registry->IsDrained()) {
    agent.closed = true;
    for (std::size_t e = 0; e < this->entries.size(); ++e) {
      this->ScheduleAfter(this->Delay(e, aAgent),
                          [this, e, aAgent] { this->CloseLink(e, aAgent); });
    }
  }
  this->ScheduleAgentWakeup(aAgent);
}

// The agent sends GOAWAY before it closes a link, so the entry knows that streams above the last
// one that has arrived were not run.
void RequestSimulation::CloseLink(std::size_t aEntry, std::size_t aAgent)
{
  std::set<CallId> refused;
  for (const std::shared_ptr<Call>& call : this->agents[aAgent]->inTransit) {
    if (call->entry == aEntry) {
      refused.insert(call->id);
    }
  }
  for (const CallId call : refused) {
    this->HandleEvent(aEntry, CallNotRun{ call, Reason::StreamRefused });
  }
  this->HandleEvent(aEntry, LinkDown{ LinkOf(aEntry, aAgent) });
}

void RequestSimulation::ScheduleAgentWakeup(std::size_t aAgent)
{
  Agent& agent = *this->agents[aAgent];
  const Instant wakeup = agent.registry->NextWakeup();
  if (wakeup >= agent.nextWakeup) {
    return;
  }
  agent.nextWakeup = std::max(wakeup, this->now);
  this->Schedule(agent.nextWakeup, [this, aAgent, due = agent.nextWakeup] {
    if (this->agents[aAgent]->nextWakeup == due) {
      this->agents[aAgent]->nextWakeup = Instant::max();
      this->SendAgentMessages(aAgent);
    }
  });
}

void RequestSimulation::SetFault(std::size_t aWorker, UpstreamFault aFault)
{
  Agent& agent = *this->agents[aWorker];
  agent.fault = aFault;
  if (aFault != UpstreamFault::None) {
    for (const auto& [order, call] : agent.running) {
      const auto request = this->requests.find(call->request);
      if (request != this->requests.end()) {
        request->second.reachedFault = true;
      }
    }
  }
  if (aFault == UpstreamFault::Killed) {
    const auto aborted = std::move(agent.running);
    agent.running.clear();
    for (const auto& [order, call] : aborted) {
      call->aborted = true;
      this->EndCall(call, true);
      this->Reply(*call, CallUnknown{ call->id, Reason::UpstreamFailed });
    }
    this->StartQueuedCalls(aWorker);
  }
  if (aFault == UpstreamFault::None) {
    std::vector<Action> deferred;
    deferred.swap(agent.deferred);
    for (const Action& action : deferred) {
      action();
    }
    this->SendAgentMessages(aWorker);
  }
}

void RequestSimulation::StopGracefully(std::size_t aWorker)
{
  this->agents[aWorker]->registry->Drain(this->now);
  this->SendAgentMessages(aWorker);
}

} // namespace oriolespread::bench
