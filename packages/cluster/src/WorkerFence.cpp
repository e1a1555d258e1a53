#include "oriolespread/cluster/WorkerFence.h"

#include <algorithm>

namespace oriolespread::cluster {

namespace {

// Tokens stay below 2^53, which every JSON reader represents exactly, until the year 2109. They are
// above those of earlier versions, which had the epoch of the leader in the bits from 32 on, up to
// epoch 850,000.
constexpr std::uint64_t kTokensPerMs = 2048;
constexpr std::uint64_t kMaxToken = (std::uint64_t{ 1 } << 53U) - 1;
constexpr std::uint64_t kFirstRefusalStep = 1000 * kTokensPerMs;
// Bounds how far a worker that refuses all calls moves the token.
constexpr std::uint64_t kMaxRefusalStep = 3600 * kFirstRefusalStep;

std::uint64_t TokenAt(std::int64_t aUnixMs)
{
  const auto unixMs = static_cast<std::uint64_t>(std::max<std::int64_t>(aUnixMs, 0));
  return std::min(unixMs, kMaxToken / kTokensPerMs) * kTokensPerMs;
}

} // namespace

WorkerFence::WorkerFence(std::int64_t aUnixMs)
  : token(TokenAt(aUnixMs))
  , refusalStep(kFirstRefusalStep)
{
}

void WorkerFence::Raise(std::int64_t aUnixMs)
{
  this->token = std::max(std::min(this->token + 1, kMaxToken), TokenAt(aUnixMs));
}

void WorkerFence::RaiseAfterRefusal()
{
  this->token = std::min(this->token + this->refusalStep, kMaxToken);
  this->refusalStep = std::min(2 * this->refusalStep, kMaxRefusalStep);
}

void WorkerFence::OnAccepted()
{
  this->refusalStep = kFirstRefusalStep;
}

} // namespace oriolespread::cluster
