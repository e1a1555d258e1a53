// The decisions of an agent on one loop: links with entries, credit and calls of upstreams, tasks,
// and the configuration in force.
#pragma once

#include "oriolespread/link/LinkDialer.h"
#include "oriolespread/messages/MessageCodec.h"
#include "oriolespread/requests/ConcurrencyLimiter.h"
#include "oriolespread/requests/CreditAllocator.h"
#include "oriolespread/requests/UpstreamRegistry.h"
#include "oriolespread/service/EntrySelector.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/LatencyHistogram.h"
#include "oriolespread/service/TaskDriver.h"
#include "oriolespread/service/UpstreamCaller.h"
#include "oriolespread/settings/AgentSettings.h"
#include "oriolespread/tickets/ConfigView.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace oriolespread {

// An upstream's announcement at the agent's local interface.
struct LocalAnnouncement
{
  UpstreamInfo info;
  SocketAddress address;
};

struct AgentStatus
{
  TicketNumber ticket;
  std::size_t links = 0;
  std::size_t upstreams = 0;
  std::size_t callsInFlight = 0;
};

// Announce, Withdraw, Drain and the queries are thread-safe; everything else runs on the loop.
// `aLoop` and `aCounters` outlive the core, and the loop is stopped before it is destroyed.
class AgentCore
{
public:
  // An upstream that has not repeated its announcement for this long is taken for dead.
  static constexpr Duration kUpstreamExpiry = std::chrono::milliseconds(3500);

  AgentCore(EventLoop& aLoop, const AgentSettings& aSettings, Counters& aCounters);
  ~AgentCore();

  void Start();

  // Returns false when the ring is full.
  bool Announce(LocalAnnouncement aAnnouncement);
  bool Withdraw(UpstreamId aUpstream);

  // All upstreams leave; IsDrained turns true when no call is left.
  void Drain();
  bool IsDrained() const { return this->drained.load(); }
  // Ends the links after their last answers are written.
  void CloseLinks();

  AgentStatus Status() const;
  const LatencyHistogram& CallLatency() const { return this->latency; }

private:
  struct Upstream
  {
    SocketAddress address;
    Instant lastAnnounced;
    // The upstream's own number; a change means that it has restarted.
    Incarnation incarnation;
  };
  // A call within credit that runs in the upstream or waits for one of its slots.
  struct HeldCall
  {
    LinkId link;
    CallRequest request;
    Instant arrived;
    std::shared_ptr<Responder> responder;
  };
  struct Link
  {
    EntryInfo entry;
    std::unique_ptr<LinkDialer> dialer;
    // 0 while the link is down.
    LinkId id;
  };

  void ChooseEntries();
  void Dial(const EntryInfo& aEntry, bool aIsBootstrap);
  void OnLinkUp(const std::string& aAddress, const EntryId& aEntry);
  void OnLinkDown(const std::string& aAddress, std::string_view aReason);
  void OnMessage(const std::string& aAddress, const LinkMessage& aMessage);
  void OnTicketUpdate(const std::string& aAddress, const TicketUpdate& aUpdate);
  void OnCall(const std::string& aAddress,
              const CallRequest& aRequest,
              std::shared_ptr<Responder> aResponder);
  void RunCall(std::uint64_t aCall);
  void FinishCall(std::uint64_t aCall, const UpstreamResult& aResult);
  // Ends a call that the upstream has not seen.
  void RefuseCall(std::uint64_t aCall, const char* aReason);
  void TakeTurn(const DequeuedCalls& aTurn);
  void SetObjectives();
  void ExpireUpstreams();
  void PollMessages();
  void ArmBook();
  void PublishStatus();
  Link* FindLink(LinkId aLink);

  EventLoop& loop;
  const AgentSettings& settings;
  Counters& counters;
  Incarnation incarnation;
  EntrySelector selector;
  CreditAllocator ledger;
  UpstreamRegistry book;
  UpstreamCaller caller;
  std::unique_ptr<TaskDriver> tasks;
  ConfigView config;
  std::map<UpstreamId, Upstream> upstreams;
  // Links by the address that is dialled.
  std::map<std::string, Link> links;
  std::uint64_t lastLink = 0;
  // Gates outlive their upstream until its last call has ended.
  std::map<UpstreamId, ConcurrencyLimiter> gates;
  std::map<std::uint64_t, HeldCall> calls;
  std::uint64_t lastCall = 0;
  asio::steady_timer bookTimer;
  bool closing = false;
  LatencyHistogram latency;
  std::atomic<bool> drained = false;
  mutable std::mutex statusMutex;
  AgentStatus status;
};

} // namespace oriolespread
