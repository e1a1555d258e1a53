#include "oriolespread/http/MemoryBudget.h"

#include <algorithm>

namespace oriolespread {

namespace {

constexpr std::uint64_t kMebibyte = 1048576;
// Keeps the product within its type.
constexpr std::int64_t kMaxMemoryMb = std::int64_t{ 1 } << 40;
// Half of the memory is left to the program, its state and the allocator, which keeps some of the
// blocks that were returned.
constexpr std::uint64_t kShareOfMemory = 2;
// A quarter of the bytes is reserved for small requests.
constexpr std::uint64_t kReservedShare = 4;
// Descriptors that the platform reserves for files, and those for links, the store and listeners.
constexpr std::int64_t kFileDescriptors = 200;
constexpr std::int64_t kOwnDescriptors = 128;
// A process with fewer descriptors still serves some connections.
constexpr std::int64_t kMinConnections = 16;

} // namespace

MemoryBudget::Limits MemoryBudget::LimitsFor(std::int64_t aMemoryMb, std::int64_t aMaxDescriptors)
{
  Limits limits;
  if (aMemoryMb > 0) {
    limits.bytes =
      static_cast<std::uint64_t>(std::min(aMemoryMb, kMaxMemoryMb)) * kMebibyte / kShareOfMemory;
    limits.reservedBytes = limits.bytes / kReservedShare;
  }
  if (aMaxDescriptors > 0) {
    limits.connections = static_cast<std::size_t>(
      std::max(aMaxDescriptors - kFileDescriptors - kOwnDescriptors, kMinConnections));
  }
  return limits;
}

void MemoryBudget::Notify(std::string_view aReason) const
{
  if (this->observer) {
    this->observer(aReason);
  }
}

bool MemoryBudget::ReleaseOne(const Account& aFor, Instant aNow)
{
  Account* found = nullptr;
  double highest = 0;
  for (Account* account : this->accounts) {
    const Duration stalled = aNow - account->progressAt;
    if (account == &aFor || !account->releasable || stalled < kStallTime) {
      continue;
    }
    const double weight =
      static_cast<double>(account->held) * std::chrono::duration<double>(stalled).count();
    if (found == nullptr || weight > highest) {
      found = account;
      highest = weight;
    }
  }
  if (found == nullptr) {
    return false;
  }
  // An account that stays is not chosen again at once, so that the caller's loop ends.
  found->progressAt = aNow;
  // The call may end the account.
  found->release();
  return true;
}

MemoryBudget::Account::Account(std::shared_ptr<MemoryBudget> aBudget,
                               std::function<void()> aRelease)
  : budget(std::move(aBudget))
  , release(std::move(aRelease))
{
}

MemoryBudget::Account::~Account()
{
  this->Close();
}

void MemoryBudget::Account::Close()
{
  this->Hold(0);
  if (this->open) {
    this->budget->accounts.erase(this);
    this->open = false;
  }
}

bool MemoryBudget::Account::TryOpen(Instant aNow)
{
  const std::size_t limit = this->budget->limits.connections;
  while (limit > 0 && this->budget->accounts.size() >= limit) {
    if (!this->budget->ReleaseOne(*this, aNow)) {
      return false;
    }
  }
  this->progressAt = aNow;
  this->open = true;
  this->budget->accounts.insert(this);
  return true;
}

bool MemoryBudget::Account::TryHold(std::uint64_t aBytes, Instant aNow)
{
  const Limits& limits = this->budget->limits;
  if (limits.bytes > 0 && aBytes > this->held) {
    const std::uint64_t allowed =
      aBytes <= kSmallBytes ? limits.bytes : limits.bytes - limits.reservedBytes;
    while (this->budget->held - this->held + aBytes > allowed) {
      if (!this->budget->ReleaseOne(*this, aNow)) {
        return false;
      }
    }
  }
  this->Hold(aBytes);
  return true;
}

void MemoryBudget::Account::Hold(std::uint64_t aBytes)
{
  this->budget->held = this->budget->held - this->held + aBytes;
  this->held = aBytes;
}

} // namespace oriolespread
