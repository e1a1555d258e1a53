// Threads for one duty that blocks, such as calls of the platform. Each thread owns a context, for
// example a client with its connection.
#pragma once

#include "oriolespread/base/BoundedRing.h"

#include <functional>
#include <thread>
#include <vector>

namespace oriolespread {

// TryRun may be called from any thread.
template<typename Context>
class ThreadPool
{
public:
  using Job = std::function<void(Context&)>;
  using ContextFactory = std::function<Context()>;

  ThreadPool(std::size_t aThreads, std::size_t aCapacity, const ContextFactory& aMakeContext)
    : ring(aCapacity)
  {
    for (std::size_t index = 0; index < aThreads; ++index) {
      this->threads.emplace_back([this, aMakeContext] { this->Run(aMakeContext()); });
    }
  }

  ~ThreadPool() { this->Stop(); }
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Returns false when the ring is full or the pool is stopped; the job then never runs.
  bool TryRun(Job aJob) { return this->ring.TryPush(std::move(aJob)); }

  // Runs what is queued, then ends the threads.
  void Stop()
  {
    this->ring.Close();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

private:
  void Run(Context aContext)
  {
    while (true) {
      std::optional<Job> job = this->ring.PopFor(std::chrono::hours(1));
      if (job.has_value()) {
        (*job)(aContext);
      } else if (this->ring.IsClosed()) {
        return;
      }
    }
  }

  BoundedRing<Job> ring;
  std::vector<std::thread> threads;
};

} // namespace oriolespread
