// Bounds the memory and the connections that the servers of a process spend on their clients.
//
//   auto budget = std::make_shared<MemoryBudget>(MemoryBudget::LimitsFor(160, 4100));
//   HttpServerLimits limits{ .budget = budget };
//
// Handles the load condition of many clients that hold memory or connections without completing a
// request: one that makes progress takes the place of one that does not.
#pragma once

#include "oriolespread/base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace oriolespread {

// Used from the loop thread.
class MemoryBudget
{
public:
  struct Limits
  {
    // Bytes that all connections may hold, and the part of them that only small holdings may use; 0
    // bytes for no limit.
    std::uint64_t bytes = 0;
    std::uint64_t reservedBytes = 0;
    // Connections of all servers; 0 for no limit.
    std::size_t connections = 0;
  };

  // A holding up to this size may use the reserve. It covers a connection with a header and a body
  // of some ten KiB.
  static constexpr std::uint64_t kSmallBytes = 65536;
  // A connection without progress for this time may be closed in favour of another one.
  static constexpr Duration kStallTime = std::chrono::milliseconds(500);

  // Returns the limits for a process with this memory and this number of descriptors; 0 for
  // unknown.
  static Limits LimitsFor(std::int64_t aMemoryMb, std::int64_t aMaxDescriptors);

  // What one connection holds. Returned to the budget when the account ends.
  class Account
  {
  public:
    // `aRelease` is called when another connection needs what this one holds. It must reduce what
    // the account holds, and may end the account.
    Account(std::shared_ptr<MemoryBudget> aBudget, std::function<void()> aRelease);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    // Returns whether there is a place for one more connection, for which another one is closed if
    // necessary. To be called once, before the other functions.
    bool TryOpen(Instant aNow);
    // Sets the bytes held in all. Returns false, and changes nothing, if they are not available.
    bool TryHold(std::uint64_t aBytes, Instant aNow);
    // Returns everything. The account stays empty.
    void Close();
    // As TryHold, for bytes that are allocated in any case.
    void Hold(std::uint64_t aBytes);
    void MarkProgress(Instant aNow) { this->progressAt = aNow; }
    // An account is releasable unless its request is with a handler.
    void SetReleasable(bool aIsReleasable) { this->releasable = aIsReleasable; }

  private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> budget;
    std::function<void()> release;
    std::uint64_t held = 0;
    Instant progressAt{};
    bool open = false;
    bool releasable = true;
  };

  // Told the reason of each refusal and release.
  using Observer = std::function<void(std::string_view aReason)>;

  MemoryBudget() = default;
  explicit MemoryBudget(Limits aLimits)
    : limits(aLimits)
  {
  }

  void SetObserver(Observer aObserver) { this->observer = std::move(aObserver); }
  void Notify(std::string_view aReason) const;
  bool IsLimited() const { return this->limits.bytes > 0 || this->limits.connections > 0; }
  std::uint64_t HeldBytes() const { return this->held; }
  std::size_t Connections() const { return this->accounts.size(); }

private:
  // Releases the account that has held most for longest without progress. Returns false if there is
  // none that has made no progress for kStallTime.
  bool ReleaseOne(const Account& aFor, Instant aNow);

  Limits limits;
  Observer observer;
  std::uint64_t held = 0;
  std::set<Account*> accounts;
};

} // namespace oriolespread
