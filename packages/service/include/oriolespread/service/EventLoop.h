// An Asio loop on a thread of its own, joined to other threads by a bounded ring:
//
//   EventLoop loop("control", 4096, counters);
//   loop.Start();
//   if (!loop.TryPost([&] { ... })) { refuse the work }
#pragma once

#include "oriolespread/base/BoundedRing.h"
#include "oriolespread/base/Counters.h"

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace oriolespread {

// TryPost and Deliver may be called from any thread. Work runs on the loop's thread in the order of
// posting. An exception that work or another handler of the loop throws is counted and logged; the
// loop goes on.
class EventLoop
{
public:
  using Work = std::function<void()>;

  // A refused post adds to counter ring_full_total{<name>}. `aCounters` outlives the loop.
  EventLoop(std::string aName, std::size_t aCapacity, Counters& aCounters);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Start();
  // Ends the thread after the work that runs now; queued work is dropped.
  void Stop();

  // Returns false when the ring is full.
  bool TryPost(Work aWork);
  // Queues work that may not be refused, such as the result of a call whose number in progress is
  // bounded elsewhere.
  void Deliver(Work aWork);
  // Runs work on the loop after a delay. Call from the loop's thread only.
  void After(Duration aDelay, Work aWork);

  asio::io_context& Context() { return this->context; }

private:
  void Run();
  void Drain();

  std::string name;
  Counters& counters;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  BoundedRing<Work> ring;
  std::atomic<bool> draining = false;
  std::thread thread;
};

} // namespace oriolespread
