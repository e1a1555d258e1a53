// A bounded queue that joins two threads. A full ring refuses instead of blocking the producer, so
// that overload shows as a counted refusal:
//
//   BoundedRing<Work> ring{1024};
//   if (!ring.TryPush(std::move(work))) { counters.Add("ring_full_total", "control"); }
#pragma once

#include "oriolespread/base/Time.h"

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace oriolespread {

// First-in first-out, any number of producers and consumers. Thread-safe.
template<typename T>
class BoundedRing
{
public:
  explicit BoundedRing(std::size_t aCapacity)
    : items(aCapacity)
  {
  }

  // Returns false and leaves `aItem` as it was when the ring is full or closed.
  bool TryPush(T&& aItem)
  {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->items.full()) {
        return false;
      }
      this->items.push_back(std::move(aItem));
    }
    this->available.notify_one();
    return true;
  }

  // Returns the oldest item, or nothing when the ring is empty.
  std::optional<T> TryPop()
  {
    const std::lock_guard lock(this->mutex);
    return this->PopLocked();
  }

  // Waits up to `aTimeout` for an item. Returns nothing on timeout or when closed and empty.
  std::optional<T> PopFor(Duration aTimeout)
  {
    std::unique_lock lock(this->mutex);
    this->available.wait_for(
      lock, aTimeout, [this] { return this->closed || !this->items.empty(); });
    return this->PopLocked();
  }

  // Refuses further items and wakes all waiting consumers; what is queued can still be popped.
  void Close()
  {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->available.notify_all();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

  std::size_t size() const
  {
    const std::lock_guard lock(this->mutex);
    return this->items.size();
  }

private:
  std::optional<T> PopLocked()
  {
    if (this->items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(this->items.front()));
    this->items.pop_front();
    return item;
  }

  mutable std::mutex mutex;
  std::condition_variable available;
  boost::circular_buffer<T> items;
  bool closed = false;
};

} // namespace oriolespread
