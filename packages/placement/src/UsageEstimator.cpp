#include "UsageEstimator.h"

#include <algorithm>
#include <limits>

namespace oriolespread::internal {

namespace {

// Minimum grant: a task that reports almost no usage still needs resources for its process.
constexpr std::int64_t kMinMilliCores = 50;
constexpr std::int64_t kMinMemoryMiB = 64;

std::uint32_t ClampToUint32(std::int64_t aAmount)
{
  constexpr std::int64_t kMaxValue = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(aAmount, 0, kMaxValue));
}

// Adds 15%, rounded up.
std::int64_t AddMargin(std::int64_t aAmount)
{
  return (aAmount * 115 + 99) / 100;
}

} // namespace

template<std::size_t N>
void UsageWindow<N>::Add(const Resources& aUsed)
{
  this->milliCores[this->next] = ClampToUint32(aUsed.milliCores);
  this->memoryMiB[this->next] = ClampToUint32(aUsed.memoryMiB);
  this->next = static_cast<std::uint16_t>((this->next + 1) % N);
  this->count = static_cast<std::uint16_t>(std::min<std::size_t>(this->count + 1, N));
}

template<std::size_t N>
Resources UsageWindow<N>::Percentile95() const
{
  return { Percentile95Of(this->milliCores, this->count),
           Percentile95Of(this->memoryMiB, this->count),
           0 };
}

template<std::size_t N>
std::uint32_t UsageWindow<N>::Percentile95Of(Series aSeries, std::size_t aCount)
{
  // The nearest rank, counted from 0.
  const std::size_t rank = (aCount * 95 + 99) / 100 - 1;
  const auto nth = aSeries.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aSeries.begin(), nth, aSeries.begin() + static_cast<std::ptrdiff_t>(aCount));
  return *nth;
}

template class UsageWindow<UsageEstimator::kWindowSamples>;
template class UsageWindow<UsageEstimator::kKindWindowSamples>;

Resources UsageEstimator::WithMargin(const Resources& aUsed)
{
  return { std::max(AddMargin(aUsed.milliCores), kMinMilliCores),
           std::max(AddMargin(aUsed.memoryMiB), kMinMemoryMiB),
           aUsed.accelerators };
}

void UsageEstimator::Record(TaskIndex aTask, NameIndex aKind, const Resources& aUsed)
{
  if (aTask >= this->attempts.size()) {
    this->attempts.resize(aTask + 1);
  }
  std::unique_ptr<Attempt>& attempt = this->attempts[aTask];
  if (attempt == nullptr) {
    attempt = std::make_unique<Attempt>();
  }
  attempt->window.Add(aUsed);
  if (++attempt->reports % kReportsPerKindSample != kMinSamples) {
    return;
  }
  if (aKind >= this->kinds.size()) {
    this->kinds.resize(aKind + 1);
  }
  std::unique_ptr<Kind>& kind = this->kinds[aKind];
  if (kind == nullptr) {
    kind = std::make_unique<Kind>();
  }
  kind->window.Add(attempt->window.Percentile95());
  kind->estimate = WithMargin(kind->window.Percentile95());
}

void UsageEstimator::RemoveTask(TaskIndex aTask)
{
  if (aTask < this->attempts.size()) {
    this->attempts[aTask].reset();
  }
}

std::optional<Resources> UsageEstimator::GrantTarget(TaskIndex aTask) const
{
  if (this->SampleCount(aTask) < kMinSamples) {
    return std::nullopt;
  }
  return WithMargin(this->attempts[aTask]->window.Percentile95());
}

std::size_t UsageEstimator::SampleCount(TaskIndex aTask) const
{
  const bool known = aTask < this->attempts.size() && this->attempts[aTask] != nullptr;
  return known ? this->attempts[aTask]->window.size() : 0;
}

std::optional<Resources> UsageEstimator::InitialEstimate(NameIndex aKind) const
{
  if (aKind >= this->kinds.size() || this->kinds[aKind] == nullptr ||
      this->kinds[aKind]->window.size() < kMinKindSamples) {
    return std::nullopt;
  }
  return this->kinds[aKind]->estimate;
}

} // namespace oriolespread::internal
