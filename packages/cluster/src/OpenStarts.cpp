#include "oriolespread/cluster/OpenStarts.h"

#include <algorithm>

namespace oriolespread::cluster {

OpenStarts::OpenStarts(Duration aAnswerTimeout, Duration aMaxDelay)
  : answerTimeout(aAnswerTimeout)
  , maxDelay(aMaxDelay)
{
}

void OpenStarts::OnSent(const RunRef& aRef)
{
  ++this->calls[aRef].awaited;
}

void OpenStarts::OnAnswered(const RunRef& aRef)
{
  const auto it = this->calls.find(aRef);
  if (it == this->calls.end()) {
    return;
  }
  --it->second.awaited;
  if (it->second.awaited <= 0 && it->second.lastUnanswered == Instant{}) {
    this->calls.erase(it);
  }
}

void OpenStarts::OnUnanswered(const RunRef& aRef, Instant aNow)
{
  Calls& item = this->calls[aRef];
  item.awaited = std::max(item.awaited - 1, 0);
  item.lastUnanswered = std::max(item.lastUnanswered, aNow);
}

void OpenStarts::Assume(const RunRef& aRef, Instant aNow)
{
  Calls& item = this->calls[aRef];
  item.lastUnanswered = std::max(item.lastUnanswered, aNow);
}

std::vector<OpenStarts::Entry> OpenStarts::List(Instant aNow)
{
  std::erase_if(this->calls, [&](const auto& aItem) {
    return aItem.second.awaited <= 0 && aItem.second.lastUnanswered + this->maxDelay < aNow;
  });
  std::vector<Entry> entries;
  for (const auto& [ref, item] : this->calls) {
    const bool isAnswerAwaited = item.lastUnanswered == Instant{};
    const Instant lastDue = item.awaited > 0 ? aNow + this->answerTimeout : item.lastUnanswered;
    entries.push_back({ ref, lastDue + this->maxDelay, isAnswerAwaited });
  }
  return entries;
}

} // namespace oriolespread::cluster
