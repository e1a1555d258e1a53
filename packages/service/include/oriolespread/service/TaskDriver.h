// Joins the TaskRunner of an agent with the worker's interface and the agent's links.
#pragma once

#include "oriolespread/platform/HttpWorker.h"
#include "oriolespread/service/EventLoop.h"
#include "oriolespread/service/ThreadPool.h"
#include "oriolespread/settings/AgentSettings.h"
#include "oriolespread/tasks/TaskRunner.h"

#include <functional>

namespace oriolespread {

// Runs on the loop's thread; `aLoop`, `aSettings` and `aCounters` outlive it.
class TaskDriver
{
public:
  using Send = std::function<void(const EntryId&, const LinkMessage&)>;

  TaskDriver(EventLoop& aLoop,
             const AgentSettings& aSettings,
             Incarnation aIncarnation,
             Send aSend,
             Counters& aCounters);

  void Start() { this->Handle(RunnerTick{}); }
  void Handle(const RunnerEvent& aEvent);
  // Ends the worker thread.
  void Stop() { this->pool.Stop(); }

private:
  void Apply(const WorkerCall& aCall);
  // Runs on the worker thread and returns the event that carries the result.
  static RunnerEvent Execute(HttpWorker& aWorker, const WorkerCall& aCall);
  void ArmTimer();

  EventLoop& loop;
  Send send;
  Counters& counters;
  TaskRunner runner;
  // One thread, so that calls reach the worker in the order of their effects.
  ThreadPool<HttpWorker> pool;
  asio::steady_timer timer;
};

} // namespace oriolespread
