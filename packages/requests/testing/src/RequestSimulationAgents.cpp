// The agents and upstreams of the site, and the simple policies that the engine is compared with.
#include "RequestSimulationParts.h"

#include "oriolespread/requests/RequestSimulation.h"

namespace oriolespread::bench {

void RequestSimulation::RouteSimply(const RequestId& aRequest)
{
  std::size_t agent = 0;
  if (this->options.policy == RoutingPolicy::Random) {
    agent = this->random.Below(this->agents.size());
  } else {
    const bool within = this->options.policy == RoutingPolicy::RoundRobinWithinSlots;
    // Half as many again as the slots, so that the time on the links does not leave slots idle.
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
  this->After(this->Delay(entry, agent), [this, call] { this->OnCall(call); });
}

void RequestSimulation::OnCall(const std::shared_ptr<Call>& aCall)
{
  Agent& agent = *this->agents[aCall->agent];
  agent.onLink.erase(aCall);
  if (agent.closed) {
    return;
  }
  const auto request = this->requests.find(aCall->request);
  if (request != this->requests.end() && agent.fault != UpstreamFault::None) {
    request->second.metFault = true;
  }
  if (agent.fault == UpstreamFault::Unresponsive) {
    return;
  }
  if (agent.fault == UpstreamFault::Paused) {
    agent.held.push_back([this, aCall] { this->OnCall(aCall); });
    return;
  }
  if (this->options.policy == RoutingPolicy::Engine) {
    const UpstreamId upstream = UpstreamOf(aCall->agent);
    if (!agent.book->AcceptsCalls(upstream)) {
      this->Reply(*aCall, CallNotRun{ aCall->id, Reason::UpstreamLeaving });
      return;
    }
    if (!agent.ledger->TryBeginCall(LinkOf(aCall->entry, aCall->agent), upstream)) {
      this->Reply(*aCall, CallNotRun{ aCall->id, Reason::NoCredit });
      return;
    }
    agent.book->BeginCall(upstream);
  }
  aCall->begun = this->now;
  agent.waiting.push_back(aCall);
  this->StartWaiting(aCall->agent);
}

void RequestSimulation::StartWaiting(std::size_t aAgent)
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
    call->order = ++this->lastStart;
    agent.running[call->order] = call;
    ++this->served[aAgent];
    const auto request = this->requests.find(call->request);
    if (request != this->requests.end()) {
      ++request->second.runs;
    }
    this->falseNotRun += this->saidNotRun.contains(call->request) ? 1 : 0;
    const double factor = aAgent == 0 ? this->options.slowFactor : 1.0;
    const bool breaks = agent.fault == UpstreamFault::AbortsRequests;
    const Duration service = this->random.Exponential(
      std::chrono::duration_cast<Duration>(this->options.meanService * factor));
    this->After(breaks ? std::chrono::milliseconds(1) : service,
                [this, call, breaks] { this->OnServed(call, breaks); });
  }
}

void RequestSimulation::OnServed(const std::shared_ptr<Call>& aCall, bool aBreaks)
{
  Agent& agent = *this->agents[aCall->agent];
  if (aCall->broken || agent.fault == UpstreamFault::Unresponsive) {
    return;
  }
  if (agent.fault == UpstreamFault::Paused) {
    agent.held.push_back([this, aCall, aBreaks] { this->OnServed(aCall, aBreaks); });
    return;
  }
  agent.running.erase(aCall->order);
  if (aBreaks) {
    this->Reply(*aCall, CallUnknown{ aCall->id, Reason::UpstreamFailed });
  } else {
    static const auto sResponse =
      std::make_shared<ResponseContent>(ResponseContent{ 200, {}, "ok" });
    this->Reply(*aCall, CallResponse{ aCall->id, aCall->request, sResponse });
  }
  // After the reply: with the last call ended, a drained agent closes its links.
  this->EndCall(aCall, aBreaks);
  this->StartWaiting(aCall->agent);
}

void RequestSimulation::EndCall(const std::shared_ptr<Call>& aCall, bool aFailed)
{
  if (this->options.policy != RoutingPolicy::Engine) {
    return;
  }
  Agent& agent = *this->agents[aCall->agent];
  const UpstreamId upstream = UpstreamOf(aCall->agent);
  agent.book->EndCall(this->now, upstream, this->now - aCall->begun, aFailed);
  agent.ledger->End(LinkOf(aCall->entry, aCall->agent), upstream);
  this->FlushAgent(aCall->agent);
}

void RequestSimulation::Reply(const Call& aCall, const RequestEvent& aEvent)
{
  this->After(this->Delay(aCall.entry, aCall.agent), [this, aCall, aEvent] {
    if (this->options.policy == RoutingPolicy::Engine) {
      this->Decide(aCall.entry, aEvent);
      return;
    }
    --this->agents[aCall.agent]->sent;
    const Request& request = this->requests.at(aCall.request);
    FinalResponse response{ aCall.request, nullptr, std::nullopt, std::nullopt };
    if (this->now > request.arrived + request.deadline) {
      response.outcome = Outcome::Unknown;
      response.reason = Reason::DeadlineExceeded;
    }
    this->Answered(aCall.request, response);
    if (!this->waiting.empty()) {
      const RequestId next = this->waiting.front();
      this->waiting.pop_front();
      this->RouteSimply(next);
    }
  });
}

void RequestSimulation::FlushAgent(std::size_t aAgent)
{
  Agent& agent = *this->agents[aAgent];
  if (agent.fault == UpstreamFault::Unresponsive || agent.fault == UpstreamFault::Paused ||
      agent.closed || this->options.policy != RoutingPolicy::Engine) {
    return;
  }
  std::vector<OutgoingLinkMessage> messages;
  agent.book->Poll(this->now, messages);
  for (const LinkGrant& grant : agent.ledger->TakeChangedGrants()) {
    messages.push_back({ grant.link, grant.grant });
  }
  for (const OutgoingLinkMessage& message : messages) {
    const std::size_t entry = (message.link.Value() - 1) / 1'000;
    const auto deliver = [this, entry, link = message.link](const RequestLinkMessage& aMessage) {
      this->Decide(entry, LinkMessageReceived{ link, aMessage });
    };
    const Duration delay = this->Delay(entry, aAgent);
    if (const auto* report = std::get_if<LoadReport>(&message.message)) {
      this->After(delay + this->options.reportLag, [deliver, sent = *report] { deliver(sent); });
    } else if (const auto* announce = std::get_if<Announce>(&message.message)) {
      this->After(delay, [deliver, sent = *announce] { deliver(sent); });
    } else if (const auto* leave = std::get_if<Leave>(&message.message)) {
      this->After(delay, [deliver, sent = *leave] { deliver(sent); });
    } else if (const auto* grant = std::get_if<CreditGrant>(&message.message)) {
      this->After(delay, [deliver, sent = *grant] { deliver(sent); });
    }
  }
  if (agent.book->IsDrained()) {
    agent.closed = true;
    for (std::size_t e = 0; e < this->entries.size(); ++e) {
      this->After(this->Delay(e, aAgent), [this, e, aAgent] { this->CloseLink(e, aAgent); });
    }
  }
  this->ArmAgent(aAgent);
}

// The agent sends GOAWAY before it closes, so that the entry knows that the streams above the last
// one that arrived were not run.
void RequestSimulation::CloseLink(std::size_t aEntry, std::size_t aAgent)
{
  std::set<CallId> refused;
  for (const std::shared_ptr<Call>& call : this->agents[aAgent]->onLink) {
    if (call->entry == aEntry) {
      refused.insert(call->id);
    }
  }
  for (const CallId call : refused) {
    this->Decide(aEntry, CallNotRun{ call, Reason::StreamRefused });
  }
  this->Decide(aEntry, LinkDown{ LinkOf(aEntry, aAgent) });
}

void RequestSimulation::ArmAgent(std::size_t aAgent)
{
  Agent& agent = *this->agents[aAgent];
  const Instant wakeup = agent.book->NextWakeup();
  if (wakeup >= agent.armed) {
    return;
  }
  agent.armed = std::max(wakeup, this->now);
  this->At(agent.armed, [this, aAgent, due = agent.armed] {
    if (this->agents[aAgent]->armed == due) {
      this->agents[aAgent]->armed = Instant::max();
      this->FlushAgent(aAgent);
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
        request->second.metFault = true;
      }
    }
  }
  if (aFault == UpstreamFault::Killed) {
    const auto broken = std::move(agent.running);
    agent.running.clear();
    for (const auto& [order, call] : broken) {
      call->broken = true;
      this->EndCall(call, true);
      this->Reply(*call, CallUnknown{ call->id, Reason::UpstreamFailed });
    }
    this->StartWaiting(aWorker);
  }
  if (aFault == UpstreamFault::None) {
    std::vector<Action> held;
    held.swap(agent.held);
    for (const Action& action : held) {
      action();
    }
    this->FlushAgent(aWorker);
  }
}

void RequestSimulation::StopGracefully(std::size_t aWorker)
{
  this->agents[aWorker]->book->Drain(this->now);
  this->FlushAgent(aWorker);
}

} // namespace oriolespread::bench
