#include "oriolespread/service/AgentCore.h"

#include "NewIncarnation.h"

#include "oriolespread/service/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace oriolespread {

namespace {

constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(500);
// Calls arrive only within credit, so more than this in the pool's ring cannot happen.
constexpr std::size_t kMaxCallThreads = 256;

UpstreamRegistryOptions BookOptions(const AgentSettings& aSettings, Incarnation aIncarnation)
{
  UpstreamRegistryOptions options;
  options.agent = aSettings.agent.id;
  options.incarnation = aIncarnation;
  options.worker = aSettings.agent.worker;
  options.dataCentre = aSettings.agent.dataCentre;
  options.rack = aSettings.agent.rack;
  options.capacity = aSettings.capacity;
  return options;
}

} // namespace

AgentCore::AgentCore(EventLoop& aLoop, const AgentSettings& aSettings, Counters& aCounters)
  : loop(aLoop)
  , settings(aSettings)
  , counters(aCounters)
  , incarnation(internal::NewIncarnation())
  , selector(aSettings.agent.id,
             aSettings.agent.worker,
             aSettings.agent.dataCentre,
             aSettings.entries.links)
  , ledger(aCounters)
  , book(BookOptions(aSettings, this->incarnation), aCounters)
  , caller(std::min<std::size_t>(aSettings.limits.connections, kMaxCallThreads))
  , bookTimer(aLoop.Context())
{
  if (aSettings.worker.kind == WorkerInterfaceKind::Http) {
    const auto send = [this](const EntryId& aEntry, const LinkMessage& aMessage) {
      for (auto& [address, link] : this->links) {
        if (link.entry.entry == aEntry && link.id != LinkId{}) {
          link.dialer->Send(aMessage);
        }
      }
    };
    this->tasks =
      std::make_unique<TaskDriver>(aLoop, aSettings, this->incarnation, send, aCounters);
  }
}

AgentCore::~AgentCore() = default;

void AgentCore::Start()
{
  this->loop.Deliver([this] {
    this->ChooseEntries();
    this->ExpireUpstreams();
    if (this->tasks != nullptr) {
      this->tasks->Start();
    }
  });
}

// ---- Upstreams beside the agent ----

bool AgentCore::Announce(LocalAnnouncement aAnnouncement)
{
  return this->loop.TryPost([this, announcement = std::move(aAnnouncement)]() mutable {
    const Instant now = BootClock::now();
    UpstreamInfo& info = announcement.info;
    info.slots = std::min(info.slots, this->settings.limits.slots);
    info.connections = std::min(info.connections, this->settings.limits.connections);
    const auto known = this->upstreams.find(info.upstream);
    const bool isNew =
      known == this->upstreams.end() || known->second.incarnation != info.incarnation;
    if (isNew && !this->book.AddUpstream(now, info)) {
      return;
    }
    this->upstreams[info.upstream] = { announcement.address, now, info.incarnation };
    if (isNew) {
      Log(LogLevel::Info,
          "upstream_announced",
          { { "upstream", info.upstream.Value() },
            { "organisation", info.organisation.Value() },
            { "service", info.service.Value() } });
      this->ledger.SetUpstream(info.upstream, info.incarnation, info.slots, info.connections);
      const auto gate =
        this->gates.try_emplace(info.upstream, info.slots, this->settings.limits.queueLength);
      gate.first->second.SetSlots(info.slots);
      this->SetObjectives();
    }
    this->PollMessages();
  });
}

bool AgentCore::Withdraw(UpstreamId aUpstream)
{
  return this->loop.TryPost([this, upstream = std::move(aUpstream)] {
    Log(LogLevel::Info, "upstream_leaving", { { "upstream", upstream.Value() } });
    this->book.BeginLeave(BootClock::now(), upstream);
    this->PollMessages();
  });
}

void AgentCore::ExpireUpstreams()
{
  const Instant now = BootClock::now();
  for (auto it = this->upstreams.begin(); it != this->upstreams.end();) {
    if (now - it->second.lastAnnounced <= kUpstreamExpiry) {
      ++it;
      continue;
    }
    Log(LogLevel::Warning, "upstream_expired", { { "upstream", it->first.Value() } });
    this->counters.Add("upstreams_expired_total", "no_announcement");
    this->book.RemoveUpstream(now, it->first);
    this->ledger.RemoveUpstream(it->first);
    it = this->upstreams.erase(it);
  }
  for (auto& [upstream, gate] : this->gates) {
    this->TakeTurn(gate.Expire(now));
  }
  std::erase_if(this->gates, [this](const auto& aGate) {
    return aGate.second.Running() == 0 && aGate.second.Waiting() == 0 &&
           !this->upstreams.contains(aGate.first);
  });
  this->PollMessages();
  this->PublishStatus();
  const bool anyUp = std::any_of(this->links.begin(), this->links.end(), [](const auto& aLink) {
    return aLink.second.id != LinkId{};
  });
  if (!anyUp && !this->closing) {
    // Every entry of the last directory may have been replaced.
    for (const SocketAddress& address : this->settings.entries.bootstrap) {
      this->Dial({ {}, {}, ToString(address) }, true);
    }
  }
  this->loop.After(kHousekeepingInterval, [this] { this->ExpireUpstreams(); });
}

void AgentCore::SetObjectives()
{
  for (const UpstreamInfo& info : this->book.Upstreams()) {
    const ServiceConfig* service = this->config.FindService(info.organisation, info.service);
    const Duration objective =
      service == nullptr ? Duration::zero() : service->objective.value_or(Duration::zero());
    this->book.SetObjective(info.organisation, info.service, objective);
  }
}

// ---- Links ----

void AgentCore::ChooseEntries()
{
  if (this->closing) {
    return;
  }
  const std::vector<EntryInfo> wanted = this->selector.Wanted();
  if (wanted.empty()) {
    for (const SocketAddress& address : this->settings.entries.bootstrap) {
      this->Dial({ {}, {}, ToString(address) }, true);
    }
    return;
  }
  std::set<std::string> addresses;
  for (const EntryInfo& entry : wanted) {
    addresses.insert(entry.linkAddress);
    this->Dial(entry, false);
  }
  // A link that is up proves its entry alive, also when the directory of a young entry lacks it, so
  // such links are kept while there are fewer than enough.
  std::size_t spare = this->settings.entries.links -
                      std::min<std::size_t>(addresses.size(), this->settings.entries.links);
  for (auto it = this->links.begin(); it != this->links.end();) {
    if (addresses.contains(it->first)) {
      ++it;
    } else if (it->second.id != LinkId{} && spare > 0) {
      --spare;
      ++it;
    } else if (it->second.id == LinkId{}) {
      // A link that is not up has nothing to drain, and would never tell that it has drained.
      it = this->links.erase(it);
    } else {
      // Calls in flight on the link end first; it is forgotten when it is down.
      it->second.dialer->Drain();
      ++it;
    }
  }
}

void AgentCore::Dial(const EntryInfo& aEntry, bool aIsBootstrap)
{
  if (this->links.contains(aEntry.linkAddress)) {
    return;
  }
  const auto address = SocketAddress::Parse(aEntry.linkAddress);
  if (!address.has_value()) {
    this->counters.Add("directory_refused_total", "invalid_address");
    return;
  }
  LinkDialerOptions options;
  options.agent = this->settings.agent.id;
  options.dataCentre = this->settings.agent.dataCentre;
  options.address = address->ip;
  options.port = address->port;
  options.expectedEntry = aIsBootstrap ? EntryId{} : aEntry.entry;
  options.sharedKey = this->settings.link.key;
  options.seed = std::hash<std::string>{}(this->settings.agent.id.Value() + aEntry.linkAddress);
  LinkDialerHandlers handlers;
  const std::string key = aEntry.linkAddress;
  handlers.up = [this, key](const EntryId& aId, const DataCentreId&) { this->OnLinkUp(key, aId); };
  handlers.down = [this, key](std::string_view aReason) { this->OnLinkDown(key, aReason); };
  handlers.message = [this, key](const LinkMessage& aMessage) { this->OnMessage(key, aMessage); };
  handlers.call = [this, key](const CallRequest& aRequest, std::shared_ptr<Responder> aResponder) {
    this->OnCall(key, aRequest, std::move(aResponder));
  };
  auto dialer = LinkDialer::Create(
    this->loop.Context(), std::move(options), std::move(handlers), this->counters);
  if (!dialer.ok()) {
    Log(LogLevel::Error, "dial_failed", { { "reason", std::string(dialer.status().message()) } });
    return;
  }
  this->links.emplace(key, Link{ aEntry, *std::move(dialer), LinkId{} });
}

void AgentCore::OnLinkUp(const std::string& aAddress, const EntryId& aEntry)
{
  Log(LogLevel::Info, "link_up", { { "entry", aEntry.Value() }, { "address", aAddress } });
  Link& link = this->links.at(aAddress);
  link.entry.entry = aEntry;
  link.id = LinkId{ ++this->lastLink };
  this->ledger.AddLink(link.id);
  this->book.AddLink(BootClock::now(), link.id);
  this->PollMessages();
  if (this->tasks != nullptr) {
    this->tasks->Handle(EntryConnected{ aEntry });
  }
}

void AgentCore::OnLinkDown(const std::string& aAddress, std::string_view aReason)
{
  Log(LogLevel::Info, "link_down", { { "address", aAddress }, { "reason", std::string(aReason) } });
  Link& link = this->links.at(aAddress);
  const EntryId entry = link.entry.entry;
  this->ledger.RemoveLink(link.id);
  this->book.RemoveLink(link.id);
  link.id = LinkId{};
  if (this->tasks != nullptr) {
    this->tasks->Handle(EntryDisconnected{ entry });
  }
  if (aReason == "drained") {
    this->links.erase(aAddress);
    // The entry may be wanted again by now.
    this->ChooseEntries();
  }
  this->PollMessages();
}

void AgentCore::OnMessage(const std::string& aAddress, const LinkMessage& aMessage)
{
  const Link& link = this->links.at(aAddress);
  if (const auto* demand = std::get_if<CreditDemand>(&aMessage)) {
    this->ledger.SetDemand(link.id, *demand);
    this->PollMessages();
  } else if (const auto* update = std::get_if<TicketUpdate>(&aMessage)) {
    this->OnTicketUpdate(aAddress, *update);
  } else if (const auto* directory = std::get_if<EntryDirectory>(&aMessage)) {
    this->selector.SetDirectory(*directory);
    this->ChooseEntries();
  } else if (this->tasks != nullptr) {
    this->tasks->Handle(EntryMessage{ link.entry.entry, aMessage });
  }
}

void AgentCore::OnTicketUpdate(const std::string& aAddress, const TicketUpdate& aUpdate)
{
  const ApplyResult result = this->config.Apply(aUpdate);
  if (result.status == ApplyStatus::StateRequested) {
    this->links.at(aAddress).dialer->Send(this->config.WholeState());
  } else if (result.status == ApplyStatus::Applied) {
    Log(LogLevel::Info, "ticket_in_force", { { "number", this->config.Number().Value() } });
    this->book.SetTicket(this->config.Number());
    this->SetObjectives();
    this->PublishStatus();
  } else if (result.status == ApplyStatus::Invalid) {
    this->counters.Add("ticket_updates_refused_total", "invalid");
  }
}

AgentCore::Link* AgentCore::FindLink(LinkId aLink)
{
  for (auto& [address, link] : this->links) {
    if (link.id == aLink) {
      return &link;
    }
  }
  return nullptr;
}

// ---- Calls ----

void AgentCore::OnCall(const std::string& aAddress,
                       const CallRequest& aRequest,
                       std::shared_ptr<Responder> aResponder)
{
  const LinkId link = this->links.at(aAddress).id;
  const auto upstream = this->upstreams.find(aRequest.upstream);
  if (upstream == this->upstreams.end() || !this->book.AcceptsCalls(aRequest.upstream)) {
    this->counters.Add("calls_refused_total", "upstream_leaving");
    aResponder->Refuse("upstream_leaving");
    return;
  }
  if (!this->ledger.TryBeginCall(link, aRequest.upstream)) {
    this->counters.Add("calls_refused_total", "no_credit");
    aResponder->Refuse("no_credit");
    return;
  }
  this->book.BeginCall(aRequest.upstream);
  const Instant now = BootClock::now();
  const std::uint64_t call = ++this->lastCall;
  this->calls.emplace(call, HeldCall{ link, aRequest, now, std::move(aResponder) });
  ConcurrencyLimiter& gate = this->gates.at(aRequest.upstream);
  switch (gate.Offer(call, now + aRequest.deadlineLeft)) {
    case CallAdmission::Start:
      this->RunCall(call);
      break;
    case CallAdmission::Wait:
      break;
    case CallAdmission::Refused:
      this->RefuseCall(call, "no_credit");
      break;
  }
}

void AgentCore::RunCall(std::uint64_t aCall)
{
  const HeldCall& held = this->calls.at(aCall);
  const auto upstream = this->upstreams.find(held.request.upstream);
  const auto done = [this, aCall](UpstreamResult aResult) {
    this->loop.Deliver(
      [this, aCall, result = std::move(aResult)] { this->FinishCall(aCall, result); });
  };
  CallRequest request = held.request;
  request.deadlineLeft -= BootClock::now() - held.arrived;
  const bool wanted = !held.responder->IsCancelled() && upstream != this->upstreams.end();
  if (!wanted || !this->caller.Call(upstream->second.address, std::move(request), done)) {
    // The slot is given back on the loop, so that a turn never nests in another.
    this->loop.Deliver([this, aCall] {
      this->FinishCall(aCall, { UpstreamEnd::NotConnected, {} });
    });
  }
}

void AgentCore::FinishCall(std::uint64_t aCall, const UpstreamResult& aResult)
{
  const UpstreamId upstream = this->calls.at(aCall).request.upstream;
  const Instant now = BootClock::now();
  switch (aResult.end) {
    case UpstreamEnd::Answered: {
      const HeldCall held = std::move(this->calls.extract(aCall).mapped());
      this->latency.Add(now - held.arrived);
      // The answer is handed to the link before the call is counted as ended, so that a drain does
      // not close the link in between.
      held.responder->Answer(aResult.answer);
      this->ledger.EndCall(held.link, upstream);
      this->book.EndCall(now, upstream, now - held.arrived, false);
      break;
    }
    case UpstreamEnd::NotConnected:
      this->RefuseCall(aCall, "upstream_unreachable");
      break;
    case UpstreamEnd::Failed: {
      const HeldCall held = std::move(this->calls.extract(aCall).mapped());
      // Releasing the responder without an answer ends the call as unknown.
      this->counters.Add("calls_failed_total", "upstream_failed");
      this->ledger.EndCall(held.link, upstream);
      this->book.EndCall(now, upstream, now - held.arrived, true);
      break;
    }
  }
  this->TakeTurn(this->gates.at(upstream).Finish(now));
  this->PollMessages();
}

void AgentCore::RefuseCall(std::uint64_t aCall, const char* aReason)
{
  const HeldCall held = std::move(this->calls.extract(aCall).mapped());
  const Instant now = BootClock::now();
  this->counters.Add("calls_refused_total", aReason);
  held.responder->Refuse(aReason);
  this->ledger.EndCall(held.link, held.request.upstream);
  this->book.EndCall(now, held.request.upstream, now - held.arrived, true);
}

void AgentCore::TakeTurn(const DequeuedCalls& aTurn)
{
  for (const std::uint64_t call : aTurn.expired) {
    this->RefuseCall(call, "deadline_unreachable");
  }
  for (const std::uint64_t call : aTurn.start) {
    this->RunCall(call);
  }
}

// ---- Messages and shutdown ----

void AgentCore::PollMessages()
{
  std::vector<OutgoingLinkMessage> messages;
  this->book.Poll(BootClock::now(), messages);
  for (const OutgoingLinkMessage& message : messages) {
    if (Link* link = this->FindLink(message.link); link != nullptr) {
      link->dialer->Send(message.message);
    }
  }
  for (const LinkGrant& grant : this->ledger.TakeChangedGrants()) {
    if (Link* link = this->FindLink(grant.link); link != nullptr) {
      link->dialer->Send(grant.grant);
    }
  }
  this->drained = this->book.IsDrained();
  this->ArmBook();
}

void AgentCore::ArmBook()
{
  const Instant wakeup = this->book.NextWakeup();
  if (wakeup == Instant::max()) {
    this->bookTimer.cancel();
    return;
  }
  this->bookTimer.expires_after(std::max(wakeup - BootClock::now(), Duration::zero()));
  this->bookTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->PollMessages();
    }
  });
}

void AgentCore::Drain()
{
  this->loop.Deliver([this] {
    this->book.Drain(BootClock::now());
    this->PollMessages();
  });
}

void AgentCore::CloseLinks()
{
  this->loop.Deliver([this] {
    this->closing = true;
    for (auto& [address, link] : this->links) {
      link.dialer->Drain();
    }
  });
}

void AgentCore::PublishStatus()
{
  const std::lock_guard lock(this->statusMutex);
  this->status.ticket = this->config.Number();
  this->status.links = static_cast<std::size_t>(
    std::count_if(this->links.begin(), this->links.end(), [](const auto& aLink) {
      return aLink.second.id != LinkId{};
    }));
  this->status.upstreams = this->upstreams.size();
  this->status.callsInFlight = this->calls.size();
}

AgentStatus AgentCore::Status() const
{
  const std::lock_guard lock(this->statusMutex);
  return this->status;
}

} // namespace oriolespread
