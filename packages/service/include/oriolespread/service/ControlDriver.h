// The control side of an entry: shard owners, change tickets and the directory of entries, on a
// loop of their own.
//
//   ControlDriver control(loop, store, options, hooks, counters);
//   control.Start();
//   control.SubmitJob(spec, [](const JobAnswer& aAnswer) { ... });
#pragma once

#include "oriolespread/placement/ScoredPlacer.h"
#include "oriolespread/service/EntryDirectoryKeeper.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/JobAnswer.h"
#include "oriolespread/service/StoreClient.h"
#include "oriolespread/settings/EntrySettings.h"
#include "oriolespread/tasks/JobInbox.h"
#include "oriolespread/tasks/ShardOwner.h"
#include "oriolespread/tickets/TicketBook.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolespread {

struct ControlOptions
{
  EntryId entry;
  Incarnation incarnation;
  DataCentreId dataCentre;
  // Addresses that peers and agents are told.
  std::string httpAddress;
  std::string linkAddress;
  ShardSettings shards;
};

struct ControlHooks
{
  // Sends a message to an agent if it is linked. Thread-safe.
  std::function<void(const AgentId&, const LinkMessage&)> send;
  // The configuration in force has changed.
  std::function<void(const ConfigView&)> configChanged;
};

struct ShardStatus
{
  ShardId shard;
  OwnerRole role = OwnerRole::Observing;
  Epoch epoch;
  EntryId owner;
};

struct ControlStatus
{
  TicketNumber ticket;
  bool ready = false;
  bool storeReachable = false;
  std::vector<ShardStatus> shards;
};

// Public functions may be called from any thread; callbacks run on the loop. A full ring is told by
// an answer with status Busy. `aLoop`, `aStore` and `aCounters` outlive the driver, and the loop is
// stopped before the driver is destroyed.
class ControlDriver
{
public:
  ControlDriver(EventLoop& aLoop,
                StorePool& aStore,
                ControlOptions aOptions,
                ControlHooks aHooks,
                Counters& aCounters);
  ~ControlDriver();

  // The address that peers are told. Call before Start.
  void SetHttpAddress(std::string aAddress);
  // Begins to follow tickets and to claim shards. Call after the loop has started.
  void Start();

  // Gives up the shards of this entry in a planned stop. Returns whether all were given up within
  // the limit; the others are taken over when their lease lapses. Call from any thread but the
  // loop.
  bool ReleaseShards(Duration aLimit);

  void OnAgentUp(const AgentId& aAgent);
  void OnAgentDown(const AgentId& aAgent);
  void OnMessage(const AgentId& aAgent, const LinkMessage& aMessage);

  void SubmitJob(JobSpec aSpec, const std::function<void(const JobAnswer&)>& aDone);
  void CancelJob(CancelRequest aRequest, const std::function<void(const JobAnswer&)>& aDone);
  // Shows a job of this organisation; another's looks unknown.
  void ShowJob(JobId aJob,
               const OrganisationId& aOrganisation,
               const std::function<void(const JobAnswer&)>& aDone);

  void SubmitTicket(ChangeTicket aTicket, const std::function<void(const SubmitAnswer&)>& aDone);
  void ReadTickets(TicketNumber aAfter,
                   std::size_t aLimit,
                   const std::function<void(const LogAnswer&)>& aDone);
  void ReplayState(TicketNumber aNumber, const std::function<void(const StateAnswer&)>& aDone);
  // Another entry says that tickets up to this number are accepted.
  void OnTicketNumber(TicketNumber aNumber);
  // HTTP addresses of the other entries, to tell them of new tickets.
  std::vector<std::string> PeerAddresses() const;

  ControlStatus Status() const;
  bool IsReady() const;

private:
  using Owner = ShardOwner<ScoredPlacer>;
  struct Shard
  {
    std::unique_ptr<Owner> owner;
    asio::steady_timer timer;
  };

  void MakeShards();
  // Gives up shards until none is left, then sets the promise.
  void ReleaseNext(const std::shared_ptr<std::promise<void>>& aDone);
  void HandleOwner(std::size_t aShard, const OwnerEvent& aEvent);
  void ApplyOwner(std::size_t aShard, const OwnerEffect& aEffect);
  void ArmOwner(std::size_t aShard);
  std::unique_ptr<ScoredPlacer> MakePlacer() const;
  void ConfigurePlacers();

  void HandleTickets(const TicketEvent& aEvent);
  void ApplyTickets(const TicketEffects& aEffects);
  void ApplyTicketCall(const TicketStoreCall& aCall);
  void ArmTickets();

  void RefreshDirectory();
  void SendDirectory(const AgentId& aAgent);
  std::vector<ShardOwnerInfo> KnownOwners() const;
  std::optional<std::size_t> ShardOf(const AgentId& aAgent) const;
  void PublishStatus();
  TransactionId NextTransactionId(const char* aKind);

  void CommitKnown(const Transaction& aTransaction,
                   std::function<void(const CommitOutcome&)> aDone);
  void ResolveFate(const TransactionId& aId,
                   int aReadsLeft,
                   const std::function<void(const CommitOutcome&)>& aDone);
  void FindShardOfJob(const JobId& aJob, std::function<void(const absl::StatusOr<ShardId>&)> aDone);
  JobAnswer AnswerFromOwner(std::size_t aShard,
                            const JobId& aJob,
                            const OrganisationId& aOrganisation) const;

  EventLoop& loop;
  StoreClient store;
  ControlOptions options;
  ControlHooks hooks;
  Counters& counters;
  std::vector<Shard> shards;
  TicketBook tickets;
  asio::steady_timer ticketTimer;
  // Set by Start.
  std::optional<EntryDirectoryKeeper> directory;
  int refreshes = 0;
  std::map<AgentId, Announce> agents;
  std::uint64_t lastCall = 0;
  std::uint64_t lastTransaction = 0;
  std::map<TicketCallId, std::function<void(const SubmitAnswer&)>> submitters;
  std::map<TicketCallId, std::function<void(const LogAnswer&)>> logReaders;
  std::map<TicketCallId, std::function<void(const StateAnswer&)>> stateReaders;

  mutable std::mutex statusMutex;
  ControlStatus status;
  std::vector<std::string> peers;
};

} // namespace oriolespread
