#include "oriolespread/service/RequestDriver.h"

#include "oriolespread/service/Log.h"

#include <utility>

namespace oriolespread {

namespace {

CallRequest ToCallRequest(const StartCall& aCall, Instant aNow)
{
  CallRequest request;
  request.id = aCall.request;
  request.organisation = aCall.organisation;
  request.service = aCall.service;
  request.upstream = aCall.upstream;
  request.deadlineLeft = aCall.deadline - aNow;
  request.method = aCall.content->method;
  request.path = aCall.content->path;
  for (const auto& [name, value] : aCall.content->headers) {
    request.headers.push_back({ name, value });
  }
  request.body = aCall.content->body;
  return request;
}

ResponseContentPtr ToHttpAnswer(const CallAnswer& aAnswer)
{
  auto answer = std::make_shared<ResponseContent>();
  answer->status = aAnswer.status;
  for (const HeaderField& header : aAnswer.headers) {
    answer->headers.emplace_back(header.name, header.value);
  }
  answer->body = aAnswer.body;
  return answer;
}

} // namespace

RequestDriver::RequestDriver(EventLoop& aLoop,
                             StorePool& aStore,
                             RequestEngineOptions aOptions,
                             RequestDriverHooks aHooks,
                             Counters& aCounters)
  : loop(aLoop)
  , store(aStore, aLoop, aCounters)
  , hooks(std::move(aHooks))
  , counters(aCounters)
  , engine(std::move(aOptions), aCounters)
  , timer(aLoop.Context())
{
}

RequestDriver::~RequestDriver() = default;

absl::Status RequestDriver::Listen(LinkListenerOptions aOptions)
{
  LinkListenerHandlers handlers;
  handlers.up = [this](LinkId aLink, const AgentId& aAgent, const DataCentreId& /*aCentre*/) {
    this->OnLinkUp(aLink, aAgent);
  };
  handlers.down = [this](LinkId aLink, std::string_view aReason) {
    Log(LogLevel::Info,
        "link_down",
        { { "agent", this->agents[aLink].Value() }, { "reason", std::string(aReason) } });
    this->OnLinkDown(aLink);
  };
  handlers.message = [this](LinkId aLink, const LinkMessage& aMessage) {
    this->OnMessage(aLink, aMessage);
  };
  auto created = LinkListener::Create(
    this->loop.Context(), std::move(aOptions), std::move(handlers), this->counters);
  if (!created.ok()) {
    return created.status();
  }
  this->listener = *std::move(created);
  return absl::OkStatus();
}

bool RequestDriver::Submit(NewRequest aRequest, Done aDone)
{
  ++this->inProgress;
  auto shared = std::make_shared<NewRequest>(std::move(aRequest));
  const bool posted = this->loop.TryPost([this, shared, done = std::move(aDone)]() mutable {
    this->waiting.emplace(shared->id, Waiting{ std::move(done), BootClock::now() });
    this->Handle(std::move(*shared));
  });
  if (!posted) {
    --this->inProgress;
  }
  return posted;
}

void RequestDriver::Abandon(RequestId aRequest)
{
  this->loop.Deliver([this, aRequest] {
    if (this->waiting.erase(aRequest) > 0) {
      --this->inProgress;
      this->Handle(CallerDisconnected{ aRequest });
    }
  });
}

void RequestDriver::SetPolicy(RequestPolicy aPolicy)
{
  this->loop.Deliver(
    [this, policy = std::move(aPolicy)] { this->Handle(PolicyChanged{ policy }); });
}

void RequestDriver::Send(AgentId aAgent, LinkMessage aMessage)
{
  this->loop.Deliver([this, agent = std::move(aAgent), message = std::move(aMessage)] {
    const auto it = this->links.find(agent);
    if (it != this->links.end()) {
      this->listener->Send(it->second, message);
    }
  });
}

void RequestDriver::Drain(Duration aLimit)
{
  this->loop.Deliver([this, aLimit] { this->Handle(DrainRequested{ BootClock::now() + aLimit }); });
}

void RequestDriver::Handle(const RequestEvent& aEvent)
{
  RequestEffects effects;
  this->engine.Handle(BootClock::now(), aEvent, effects);
  for (const RequestEffect& effect : effects) {
    std::visit([this](const auto& aEffect) { this->Apply(aEffect); }, effect);
  }
  this->drained = this->engine.IsDrained();
  this->ArmTimer();
}

void RequestDriver::Apply(const StartCall& aEffect)
{
  const CallRequest request = ToCallRequest(aEffect, BootClock::now());
  const CallId linkCall = this->listener->StartCall(
    aEffect.link,
    request,
    [this, call = aEffect.call, id = aEffect.request](const CallResult& aResult) {
      this->OnCallResult(call, id, aResult);
    });
  this->linkCalls[aEffect.call] = linkCall;
}

void RequestDriver::Apply(const CancelCall& aEffect)
{
  const auto it = this->linkCalls.find(aEffect.call);
  if (it != this->linkCalls.end()) {
    this->listener->CancelCall(it->second);
    this->linkCalls.erase(it);
  }
}

void RequestDriver::Apply(const FinalResponse& aEffect)
{
  const auto it = this->waiting.find(aEffect.request);
  if (it == this->waiting.end()) {
    return;
  }
  const Waiting waiter = std::move(it->second);
  this->waiting.erase(it);
  this->latency.Add(BootClock::now() - waiter.since);
  --this->inProgress;
  waiter.done(aEffect);
}

void RequestDriver::Apply(const CommitTransaction& aEffect)
{
  this->store.Commit(aEffect.transaction,
                     [this, operation = aEffect.operation](const CommitOutcome& aOutcome) {
                       this->Handle(TransactionDone{ operation, aOutcome });
                     });
}

void RequestDriver::Apply(const ReadTransactionFate& aEffect)
{
  this->store.ReadFate(aEffect.transaction,
                       [this, operation = aEffect.operation](const FateOutcome& aOutcome) {
                         this->Handle(FateDone{ operation, aOutcome });
                       });
}

void RequestDriver::Apply(const ScanRow& aEffect)
{
  this->store.Scan(aEffect.key,
                   "",
                   1,
                   [this, operation = aEffect.operation](const absl::StatusOr<ScanPage>& aPage) {
                     this->Handle(RowScanDone{ operation, aPage });
                   });
}

void RequestDriver::Apply(const SendCreditDemand& aEffect)
{
  this->listener->Send(aEffect.link, aEffect.demand);
}

void RequestDriver::OnCallResult(CallId aCall, RequestId aRequest, const CallResult& aResult)
{
  this->linkCalls.erase(aCall);
  switch (aResult.end) {
    case CallEnd::Answered:
      // The link has checked that the answer echoes the id of its request.
      this->Handle(CallResponse{ aCall, aRequest, ToHttpAnswer(aResult.answer) });
      return;
    case CallEnd::NotRun:
      this->Handle(
        CallNotRun{ aCall, ParseReason(aResult.reason).value_or(Reason::StreamRefused) });
      return;
    case CallEnd::Unknown:
      this->Handle(CallUnknown{ aCall, ParseReason(aResult.reason).value_or(Reason::StreamReset) });
      return;
  }
}

void RequestDriver::OnLinkUp(LinkId aLink, const AgentId& aAgent)
{
  Log(LogLevel::Info, "link_up", { { "agent", aAgent.Value() } });
  this->agents[aLink] = aAgent;
  this->links[aAgent] = aLink;
  this->linkCount = this->agents.size();
  this->Handle(LinkUp{ aLink, Duration::zero() });
  this->hooks.agentUp(aAgent);
}

void RequestDriver::OnLinkDown(LinkId aLink)
{
  const auto agent = this->agents.find(aLink);
  if (agent == this->agents.end()) {
    return;
  }
  const AgentId id = agent->second;
  this->agents.erase(agent);
  this->linkCount = this->agents.size();
  this->Handle(LinkDown{ aLink });
  const auto current = this->links.find(id);
  // The agent may have a newer link already; then it is still there for the control side.
  if (current != this->links.end() && current->second == aLink) {
    this->links.erase(current);
    this->hooks.agentDown(id);
  }
}

void RequestDriver::OnMessage(LinkId aLink, const LinkMessage& aMessage)
{
  if (const auto* announce = std::get_if<Announce>(&aMessage)) {
    this->Handle(LinkMessageReceived{ aLink, *announce });
  } else if (const auto* report = std::get_if<LoadReport>(&aMessage)) {
    this->Handle(LinkMessageReceived{ aLink, *report });
  } else if (const auto* leave = std::get_if<Leave>(&aMessage)) {
    this->Handle(LinkMessageReceived{ aLink, *leave });
    return;
  } else if (const auto* grant = std::get_if<CreditGrant>(&aMessage)) {
    this->Handle(LinkMessageReceived{ aLink, *grant });
    return;
  }
  this->hooks.message(this->agents[aLink], aMessage);
}

void RequestDriver::ArmTimer()
{
  const Instant wakeup = this->engine.NextWakeup();
  if (wakeup == this->armedFor) {
    return;
  }
  this->armedFor = wakeup;
  if (wakeup == Instant::max()) {
    this->timer.cancel();
    return;
  }
  this->timer.expires_after(std::max(wakeup - BootClock::now(), Duration::zero()));
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->armedFor = Instant::max();
      this->Handle(Tick{});
    }
  });
}

} // namespace oriolespread
