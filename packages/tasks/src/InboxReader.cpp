#include "oriolespread/tasks/InboxReader.h"

#include "oriolespread/tasks/ShardRows.h"

namespace oriolespread {

namespace {

constexpr std::size_t kRowsPerScan = 200;
constexpr std::uint64_t kMinScansBeforeOverdue = 2;

} // namespace

InboxReader::InboxReader(const OwnerOptions& aOptions)
  : options(aOptions)
{
}

void InboxReader::Reset()
{
  this->CancelScan();
  this->nextScan = Instant{};
  this->processedKeys.clear();
  this->jobUnknownSince.clear();
}

void InboxReader::CancelScan()
{
  this->waiting = false;
  this->after.clear();
}

void InboxReader::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  if (this->waiting || aNow < this->nextScan) {
    return;
  }
  this->waiting = true;
  this->nextScan = aNow + this->options.inboxPeriod;
  this->call = aCallIds.Next();
  aEffects.emplace_back(
    ScanCall{ this->call, InboxPrefix(this->options.shard), this->after, kRowsPerScan });
}

std::vector<InboxRow> InboxReader::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  std::vector<InboxRow> rows;
  const auto* scan = std::get_if<ScanResult>(&aEvent);
  if (scan == nullptr || !this->waiting || scan->call != this->call) {
    return rows;
  }
  this->waiting = false;
  if (!scan->page.ok()) {
    return rows;
  }
  for (const Row& row : scan->page->rows) {
    if (this->processedKeys.count(row.key) == 0) {
      rows.push_back({ row.key, ParseInboxItem(row.value) });
    }
  }
  if (scan->page->more) {
    this->after = scan->page->rows.back().key;
    this->nextScan = aNow;
  } else {
    this->after.clear();
    ++this->completedScans;
  }
  return rows;
}

void InboxReader::ForgetProcessed(const std::string& aKey)
{
  this->processedKeys.erase(aKey);
  this->jobUnknownSince.erase(aKey);
}

bool InboxReader::IsOverdue(const std::string& aKey)
{
  const auto [it, isNew] = this->jobUnknownSince.try_emplace(aKey, this->completedScans);
  return !isNew && this->completedScans > it->second + kMinScansBeforeOverdue;
}

} // namespace oriolespread
