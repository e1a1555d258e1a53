#include "oriolespread/cluster/WorkerFence.h"

#include <algorithm>

namespace oriolespread::cluster {

namespace {

// Tokens stay below 2^53, which every JSON reader represents exactly, up to epoch 2^21. Stamps
// suffice until the year 2106.
constexpr unsigned kStampBits = 32;
constexpr std::uint64_t kMaxStamp = (std::uint64_t{ 1 } << kStampBits) - 1;
// Bounds how far refusals by a worker that follows a later leader move the stamp.
constexpr std::uint64_t kMaxRefusalStep = 3600;
constexpr std::int64_t kMsPerSecond = 1000;

std::uint64_t StampAt(std::int64_t aUnixMs)
{
  return std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(aUnixMs / kMsPerSecond, 0)),
                  kMaxStamp);
}

} // namespace

WorkerFence::WorkerFence(std::int64_t aUnixMs)
  : stamp(StampAt(aUnixMs))
{
}

void WorkerFence::Follow(Epoch aEpoch, std::int64_t aUnixMs)
{
  this->epoch = aEpoch;
  this->stamp = StampAt(aUnixMs);
  this->refusalStep = 1;
}

void WorkerFence::Raise(std::int64_t aUnixMs)
{
  this->stamp = std::max(std::min(this->stamp + 1, kMaxStamp), StampAt(aUnixMs));
}

void WorkerFence::RaiseAfterRefusal()
{
  this->stamp = std::min(this->stamp + this->refusalStep, kMaxStamp);
  this->refusalStep = std::min(2 * this->refusalStep, kMaxRefusalStep);
}

FencingToken WorkerFence::Token() const
{
  return FencingToken{ (this->epoch.Value() << kStampBits) + this->stamp };
}

} // namespace oriolespread::cluster
