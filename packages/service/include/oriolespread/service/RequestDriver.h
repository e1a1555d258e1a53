// Joins the RequestEngine of an entry with its links, its store and the threads of callers.
//
//   RequestDriver driver(loop, store, options, hooks, counters);
//   driver.Listen(listenerOptions);
//   driver.Submit(std::move(request), [](const FinalResponse& aAnswer) { ... });
#pragma once

#include "absl/container/flat_hash_map.h"

#include "oriolespread/link/LinkListener.h"
#include "oriolespread/requests/RequestEngine.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/LatencyHistogram.h"
#include "oriolespread/service/StoreClient.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace oriolespread {

// What the driver passes on to the control side of the entry. Called on the request loop; must not
// block.
struct RequestDriverHooks
{
  std::function<void(const AgentId&)> agentUp;
  std::function<void(const AgentId&)> agentDown;
  // Every message that is not only for the request engine, and every announcement and report.
  std::function<void(const AgentId&, const LinkMessage&)> message;
};

// Thread-safe where stated; everything else runs on the loop's thread. `aLoop`, `aStore` and
// `aCounters` outlive the driver, and the loop is stopped before the driver is destroyed.
class RequestDriver
{
public:
  using Done = std::function<void(const FinalResponse&)>;

  RequestDriver(EventLoop& aLoop,
                StorePool& aStore,
                RequestEngineOptions aOptions,
                RequestDriverHooks aHooks,
                Counters& aCounters);
  ~RequestDriver();

  // Opens the listener for agents. Call before the loop starts.
  absl::Status Listen(LinkListenerOptions aOptions);
  std::uint16_t LinkPort() const { return this->listener->Port(); }

  // Thread-safe. Returns false when the ring is full: the request was not taken and `aDone` is
  // never called. Otherwise `aDone` is called exactly once, on the loop.
  bool Submit(NewRequest aRequest, Done aDone);
  // Thread-safe. The caller has gone away; its `Done` is dropped.
  void Abandon(RequestId aRequest);
  // Thread-safe.
  void SetPolicy(RequestPolicy aPolicy);
  // Thread-safe. Dropped when the agent is not linked.
  void Send(AgentId aAgent, LinkMessage aMessage);
  // Thread-safe. Stops taking requests; IsDrained turns true when all are answered.
  void Drain(Duration aLimit);
  bool IsDrained() const { return this->drained.load(); }
  // Requests without a final answer. Thread-safe.
  std::size_t InProgress() const { return this->inProgress.load(); }
  std::size_t Links() const { return this->linkCount.load(); }
  const LatencyHistogram& Latency() const { return this->latency; }

private:
  struct Waiting
  {
    Done done;
    Instant since;
  };

  void Handle(const RequestEvent& aEvent);
  void Apply(const StartCall& aEffect);
  void Apply(const CancelCall& aEffect);
  void Apply(const FinalResponse& aEffect);
  void Apply(const CommitTransaction& aEffect);
  void Apply(const ReadTransactionFate& aEffect);
  void Apply(const ScanRow& aEffect);
  void Apply(const SendCreditDemand& aEffect);
  void OnCallResult(CallId aCall, RequestId aRequest, const CallResult& aResult);
  void OnLinkUp(LinkId aLink, const AgentId& aAgent);
  void OnLinkDown(LinkId aLink);
  void OnMessage(LinkId aLink, const LinkMessage& aMessage);
  void ArmTimer();

  EventLoop& loop;
  StoreClient store;
  RequestDriverHooks hooks;
  Counters& counters;
  RequestEngine engine;
  std::unique_ptr<LinkListener> listener;
  asio::steady_timer timer;
  Instant armedFor = Instant::max();
  absl::flat_hash_map<RequestId, Waiting> waiting;
  // Link calls by the engine's calls, for cancellation.
  absl::flat_hash_map<CallId, CallId> linkCalls;
  std::map<LinkId, AgentId> agents;
  std::map<AgentId, LinkId> links;
  LatencyHistogram latency;
  std::atomic<bool> drained = false;
  std::atomic<std::size_t> inProgress = 0;
  std::atomic<std::size_t> linkCount = 0;
};

} // namespace oriolespread
