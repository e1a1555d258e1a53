#include "oriolespread/base/Counters.h"

namespace oriolespread {

void Counters::Add(std::string_view aName, std::string_view aLabel, std::uint64_t aAmount)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(KeyLess::View(aName, aLabel));
  if (found != this->values.end()) {
    found->second += aAmount;
    return;
  }
  this->values.emplace(Key(aName, aLabel), aAmount);
}

std::uint64_t Counters::Get(std::string_view aName, std::string_view aLabel) const
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(KeyLess::View(aName, aLabel));
  return found == this->values.end() ? 0 : found->second;
}

std::uint64_t Counters::Total(std::string_view aName) const
{
  const std::lock_guard lock(this->mutex);
  std::uint64_t total = 0;
  auto it = this->values.lower_bound(KeyLess::View(aName, ""));
  for (; it != this->values.end() && it->first.first == aName; ++it) {
    total += it->second;
  }
  return total;
}

std::map<Counters::Key, std::uint64_t> Counters::All() const
{
  const std::lock_guard lock(this->mutex);
  return { this->values.begin(), this->values.end() };
}

} // namespace oriolespread
