#include "oriolespread/service/ControlDriver.h"

#include "JobView.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/service/Log.h"

#include <utility>

namespace oriolespread {

namespace {

constexpr std::size_t kDirectoryLimit = 1000;
constexpr std::size_t kPlacementLimit = 200;
constexpr int kYoungRefreshes = 6;
constexpr Duration kYoungInterval = std::chrono::milliseconds(500);
constexpr Duration kReleaseRetry = std::chrono::milliseconds(10);

Duration Until(Instant aWhen)
{
  return std::max<Duration>(aWhen - BootClock::now(), Duration::zero());
}

} // namespace

ControlDriver::ControlDriver(EventLoop& aLoop,
                             StorePool& aStore,
                             ControlOptions aOptions,
                             ControlHooks aHooks,
                             Counters& aCounters)
  : loop(aLoop)
  , store(aStore, aLoop, aCounters)
  , options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , counters(aCounters)
  , tickets({ .entry = this->options.entry, .incarnation = this->options.incarnation }, aCounters)
  , ticketTimer(aLoop.Context())
{
}

ControlDriver::~ControlDriver() = default;

void ControlDriver::SetHttpAddress(std::string aAddress)
{
  this->options.httpAddress = std::move(aAddress);
}

void ControlDriver::Start()
{
  this->loop.Deliver([this] {
    this->MakeShards();
    this->directory.emplace(
      DirectoryEntry{ { this->options.entry, this->options.dataCentre, this->options.linkAddress },
                      this->options.httpAddress },
      this->options.incarnation);
    this->HandleTickets(TicketTick{});
    for (std::size_t index = 0; index < this->shards.size(); ++index) {
      this->HandleOwner(index, OwnerTick{});
    }
    this->RefreshDirectory();
  });
}

void ControlDriver::MakeShards()
{
  for (std::uint32_t index = 0; index < this->options.shards.count; ++index) {
    OwnerOptions owner;
    owner.shard = ShardId{ index };
    owner.entry = this->options.entry;
    owner.address = this->options.httpAddress;
    owner.incarnation = this->options.incarnation;
    owner.ownershipLease = this->options.shards.ownershipLease;
    owner.renewalPeriod = this->options.shards.renewalInterval;
    owner.taskLease = this->options.shards.taskLease;
    owner.horizon = this->options.shards.horizon;
    owner.journalPeriod = this->options.shards.journalInterval;
    owner.maxPlacementsPerPeriod = kPlacementLimit;
    this->shards.push_back({ std::make_unique<Owner>(
                               owner, [this] { return this->MakePlacer(); }, this->counters),
                             asio::steady_timer(this->loop.Context()) });
  }
}

bool ControlDriver::ReleaseShards(Duration aLimit)
{
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> released = done->get_future();
  this->loop.Deliver([this, done] { this->ReleaseNext(done); });
  return released.wait_for(aLimit) == std::future_status::ready;
}

void ControlDriver::ReleaseNext(const std::shared_ptr<std::promise<void>>& aDone)
{
  bool all = true;
  for (std::size_t index = 0; index < this->shards.size(); ++index) {
    OwnerEffects effects;
    all = this->shards[index].owner->Release(BootClock::now(), effects) && all;
    for (const OwnerEffect& effect : effects) {
      this->ApplyOwner(index, effect);
    }
  }
  if (all) {
    this->PublishStatus();
    // The last writes are on the store threads, which end only after them.
    aDone->set_value();
    return;
  }
  this->loop.After(kReleaseRetry, [this, aDone] { this->ReleaseNext(aDone); });
}

// ---- Agents ----

void ControlDriver::OnAgentUp(const AgentId& aAgent)
{
  this->loop.Deliver([this, aAgent] {
    this->HandleTickets(TicketAgentConnected{ aAgent });
    this->SendDirectory(aAgent);
  });
}

void ControlDriver::OnAgentDown(const AgentId& aAgent)
{
  this->loop.Deliver([this, aAgent] {
    this->HandleTickets(TicketAgentGone{ aAgent });
    if (const auto shard = this->ShardOf(aAgent); shard.has_value()) {
      this->HandleOwner(*shard, AgentDisconnected{ aAgent });
    }
    this->agents.erase(aAgent);
  });
}

void ControlDriver::OnMessage(const AgentId& aAgent, const LinkMessage& aMessage)
{
  this->loop.TryPost([this, aAgent, aMessage] {
    if (const auto* announce = std::get_if<Announce>(&aMessage)) {
      const bool isNew =
        !this->agents.contains(aAgent) || this->agents[aAgent].incarnation != announce->incarnation;
      this->agents[aAgent] = *announce;
      if (isNew) {
        this->HandleOwner(*this->ShardOf(aAgent), AgentConnected{ *announce });
      }
    } else if (const auto* report = std::get_if<LoadReport>(&aMessage)) {
      this->HandleTickets(TicketAgentReport{ aAgent, report->ticket });
    } else if (const auto* state = std::get_if<TicketUpdate>(&aMessage)) {
      this->HandleTickets(TicketAgentState{ aAgent, *state });
    } else if (const auto shard = this->ShardOf(aAgent); shard.has_value()) {
      this->HandleOwner(*shard, AgentMessage{ aAgent, aMessage });
    }
  });
}

std::optional<std::size_t> ControlDriver::ShardOf(const AgentId& aAgent) const
{
  const auto it = this->agents.find(aAgent);
  if (it == this->agents.end()) {
    return std::nullopt;
  }
  return ShardOfWorker(it->second.worker, this->options.shards.count).Value();
}

// ---- Shards ----

void ControlDriver::HandleOwner(std::size_t aShard, const OwnerEvent& aEvent)
{
  Owner& owner = *this->shards[aShard].owner;
  const OwnerRole before = owner.Role();
  OwnerEffects effects;
  owner.Handle(BootClock::now(), aEvent, effects);
  for (const OwnerEffect& effect : effects) {
    this->ApplyOwner(aShard, effect);
  }
  if (owner.Role() != before) {
    Log(LogLevel::Info,
        "shard_role",
        { { "shard", aShard },
          { "role", std::string(ToString(owner.Role())) },
          { "epoch", owner.CurrentEpoch().Value() } });
    this->PublishStatus();
    for (const auto& [agent, announce] : this->agents) {
      this->SendDirectory(agent);
    }
  }
  this->ArmOwner(aShard);
}

void ControlDriver::ApplyOwner(std::size_t aShard, const OwnerEffect& aEffect)
{
  if (const auto* commit = std::get_if<CommitCall>(&aEffect)) {
    this->store.Commit(commit->transaction,
                       [this, aShard, call = commit->call](const CommitOutcome& aOutcome) {
                         this->HandleOwner(aShard, CommitResult{ call, aOutcome });
                       });
  } else if (const auto* fate = std::get_if<FateCall>(&aEffect)) {
    this->store.ReadFate(fate->transaction,
                         [this, aShard, call = fate->call](const FateOutcome& aOutcome) {
                           this->HandleOwner(aShard, FateResult{ call, aOutcome });
                         });
  } else if (const auto* scan = std::get_if<ScanCall>(&aEffect)) {
    this->store.Scan(scan->prefix,
                     scan->after,
                     scan->limit,
                     [this, aShard, call = scan->call](const absl::StatusOr<ScanPage>& aPage) {
                       this->HandleOwner(aShard, ScanResult{ call, aPage });
                     });
  } else if (const auto* put = std::get_if<PutObjectCall>(&aEffect)) {
    this->store.Put(
      put->name, put->content, [this, aShard, call = put->call](const absl::Status& aStatus) {
        this->HandleOwner(aShard, ObjectWriteResult{ call, aStatus });
      });
  } else if (const auto* get = std::get_if<GetObjectCall>(&aEffect)) {
    this->store.Get(get->name,
                    [this, aShard, call = get->call](const absl::StatusOr<std::string>& aContent) {
                      this->HandleOwner(aShard, ObjectReadResult{ call, aContent });
                    });
  } else if (const auto* remove = std::get_if<DeleteObjectCall>(&aEffect)) {
    this->store.Delete(remove->name,
                       [this, aShard, call = remove->call](const absl::Status& aStatus) {
                         this->HandleOwner(aShard, ObjectWriteResult{ call, aStatus });
                       });
  } else if (const auto* send = std::get_if<SendToAgent>(&aEffect)) {
    this->hooks.send(send->agent, send->message);
  }
}

void ControlDriver::ArmOwner(std::size_t aShard)
{
  Shard& shard = this->shards[aShard];
  shard.timer.expires_after(Until(shard.owner->NextWakeup()));
  shard.timer.async_wait([this, aShard](const asio::error_code& aError) {
    if (!aError) {
      this->HandleOwner(aShard, OwnerTick{});
    }
  });
}

std::unique_ptr<ScoredPlacer> ControlDriver::MakePlacer() const
{
  auto placer = std::make_unique<ScoredPlacer>(this->counters);
  for (const auto& [team, quota] : this->tickets.View().Quotas()) {
    placer->SetQuota(team, internal::ShareOfQuota(quota.resources, this->options.shards.count));
  }
  for (const auto& [organisation, config] : this->tickets.View().Organisations()) {
    placer->SetWeight(organisation, config.weight);
  }
  return placer;
}

void ControlDriver::ConfigurePlacers()
{
  for (Shard& shard : this->shards) {
    ScoredPlacer& placer = shard.owner->MutablePlacer();
    for (const auto& [team, quota] : this->tickets.View().Quotas()) {
      placer.SetQuota(team, internal::ShareOfQuota(quota.resources, this->options.shards.count));
    }
    for (const auto& [organisation, config] : this->tickets.View().Organisations()) {
      placer.SetWeight(organisation, config.weight);
    }
  }
}

// ---- Tickets ----

void ControlDriver::HandleTickets(const TicketEvent& aEvent)
{
  TicketEffects effects;
  this->tickets.Handle(BootClock::now(), aEvent, effects);
  this->ApplyTickets(effects);
  this->ArmTickets();
}

void ControlDriver::ApplyTickets(const TicketEffects& aEffects)
{
  for (const TicketStoreCall& call : aEffects.storeCalls) {
    this->ApplyTicketCall(call);
  }
  for (const SubmitAnswer& answer : aEffects.submitAnswers) {
    if (auto node = this->submitters.extract(answer.call); !node.empty()) {
      node.mapped()(answer);
    }
  }
  for (const LogAnswer& answer : aEffects.logAnswers) {
    if (auto node = this->logReaders.extract(answer.call); !node.empty()) {
      node.mapped()(answer);
    }
  }
  for (const StateAnswer& answer : aEffects.stateAnswers) {
    if (auto node = this->stateReaders.extract(answer.call); !node.empty()) {
      node.mapped()(answer);
    }
  }
  for (const AgentUpdate& update : aEffects.agentUpdates) {
    this->hooks.send(update.agent, *update.update);
  }
  if (!aEffects.changedKeys.empty()) {
    Log(LogLevel::Info,
        "ticket_in_force",
        { { "number", this->tickets.View().Number().Value() }, { "keys", aEffects.changedKeys } });
    this->ConfigurePlacers();
    this->hooks.configChanged(this->tickets.View());
  }
  this->PublishStatus();
}

void ControlDriver::ApplyTicketCall(const TicketStoreCall& aCall)
{
  if (const auto* commit = std::get_if<TicketCommitCall>(&aCall)) {
    this->store.Commit(commit->transaction,
                       [this, call = commit->call](const CommitOutcome& aOutcome) {
                         this->HandleTickets(TicketCommitResult{ call, aOutcome });
                       });
  } else if (const auto* fate = std::get_if<TicketFateCall>(&aCall)) {
    this->store.ReadFate(fate->transaction, [this, call = fate->call](const FateOutcome& aOutcome) {
      this->HandleTickets(TicketFateResult{ call, aOutcome });
    });
  } else if (const auto* scan = std::get_if<TicketScanCall>(&aCall)) {
    this->store.Scan(scan->prefix,
                     scan->after,
                     scan->limit,
                     [this, call = scan->call](const absl::StatusOr<ScanPage>& aPage) {
                       this->HandleTickets(TicketScanResult{ call, aPage });
                     });
  }
}

void ControlDriver::ArmTickets()
{
  this->ticketTimer.expires_after(Until(this->tickets.NextWakeup()));
  this->ticketTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->HandleTickets(TicketTick{});
    }
  });
}

void ControlDriver::SubmitTicket(ChangeTicket aTicket,
                                 const std::function<void(const SubmitAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, ticket = std::move(aTicket), aDone] {
    const TicketCallId call = ++this->lastCall;
    this->submitters.emplace(call, aDone);
    this->HandleTickets(oriolespread::SubmitTicket{ call, ticket });
  });
  if (!posted) {
    SubmitAnswer busy;
    busy.outcome = SubmitOutcome::Busy;
    aDone(busy);
  }
}

void ControlDriver::ReadTickets(TicketNumber aAfter,
                                std::size_t aLimit,
                                const std::function<void(const LogAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, aAfter, aLimit, aDone] {
    const TicketCallId call = ++this->lastCall;
    this->logReaders.emplace(call, aDone);
    this->HandleTickets(ReadTicketLog{ call, aAfter, aLimit });
  });
  if (!posted) {
    aDone({ 0, absl::UnavailableError("busy") });
  }
}

void ControlDriver::ReplayState(TicketNumber aNumber,
                                const std::function<void(const StateAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, aNumber, aDone] {
    const TicketCallId call = ++this->lastCall;
    this->stateReaders.emplace(call, aDone);
    this->HandleTickets(ReplayTickets{ call, aNumber });
  });
  if (!posted) {
    aDone({ 0, absl::UnavailableError("busy") });
  }
}

void ControlDriver::OnTicketNumber(TicketNumber aNumber)
{
  this->loop.TryPost([this, aNumber] { this->HandleTickets(TicketNumberSeen{ aNumber }); });
}

// ---- Directory and status ----

void ControlDriver::RefreshDirectory()
{
  this->store.Commit(this->directory->Renew(), [](const CommitOutcome&) {});
  this->store.Scan(EntryDirectoryKeeper::kPrefix,
                   "",
                   kDirectoryLimit,
                   [this](const absl::StatusOr<ScanPage>& aPage) {
                     if (!aPage.ok()) {
                       return;
                     }
                     const Instant now = BootClock::now();
                     const bool changed = this->directory->OnRows(now, aPage->rows);
                     const Transaction sweep = this->directory->Sweep(now);
                     if (!sweep.writes.empty()) {
                       this->store.Commit(sweep, [](const CommitOutcome&) {});
                     }
                     this->PublishStatus();
                     if (changed) {
                       for (const auto& [agent, announce] : this->agents) {
                         this->SendDirectory(agent);
                       }
                     }
                   });
  // Entries that start together have not seen one another's rows yet.
  const bool young = ++this->refreshes <= kYoungRefreshes;
  this->loop.After(young ? kYoungInterval : EntryDirectoryKeeper::kInterval,
                   [this] { this->RefreshDirectory(); });
}

void ControlDriver::SendDirectory(const AgentId& aAgent)
{
  EntryDirectory message;
  message.shardCount = this->options.shards.count;
  for (const DirectoryEntry& entry : this->directory->Live()) {
    message.entries.push_back(entry.info);
  }
  message.owners = this->KnownOwners();
  this->hooks.send(aAgent, message);
}

std::vector<ShardOwnerInfo> ControlDriver::KnownOwners() const
{
  std::vector<ShardOwnerInfo> owners;
  for (std::size_t index = 0; index < this->shards.size(); ++index) {
    const Owner& owner = *this->shards[index].owner;
    const ShardId shard{ static_cast<std::uint32_t>(index) };
    if (owner.Role() == OwnerRole::Observing || owner.Role() == OwnerRole::Claiming) {
      if (const auto& seen = owner.LastSeenOwner(); seen.has_value()) {
        owners.push_back({ shard, seen->epoch, seen->entry });
      }
    } else {
      owners.push_back({ shard, owner.CurrentEpoch(), this->options.entry });
    }
  }
  return owners;
}

void ControlDriver::PublishStatus()
{
  ControlStatus fresh;
  fresh.ticket = this->tickets.View().Number();
  fresh.ready = this->tickets.Ready();
  fresh.storeReachable = this->tickets.StoreReachable();
  for (const ShardOwnerInfo& owner : this->KnownOwners()) {
    fresh.shards.push_back(
      { owner.shard, this->shards[owner.shard.Value()].owner->Role(), owner.epoch, owner.entry });
  }
  std::vector<std::string> addresses;
  for (const DirectoryEntry& entry : this->directory->Live()) {
    if (entry.info.entry != this->options.entry) {
      addresses.push_back(entry.httpAddress);
    }
  }
  const std::lock_guard lock(this->statusMutex);
  this->status = std::move(fresh);
  this->peers = std::move(addresses);
}

ControlStatus ControlDriver::Status() const
{
  const std::lock_guard lock(this->statusMutex);
  return this->status;
}

bool ControlDriver::IsReady() const
{
  const std::lock_guard lock(this->statusMutex);
  return this->status.ready;
}

std::vector<std::string> ControlDriver::PeerAddresses() const
{
  const std::lock_guard lock(this->statusMutex);
  return this->peers;
}

TransactionId ControlDriver::NextTransactionId(const char* aKind)
{
  return TransactionId{ absl::StrCat(aKind,
                                     "-",
                                     this->options.entry.Value(),
                                     "-",
                                     this->options.incarnation.Value(),
                                     "-",
                                     ++this->lastTransaction) };
}

} // namespace oriolespread
