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
  this->unknownJobSinceScan.clear();
}

void InboxReader::CancelScan()
{
  this->scanPending = false;
  this->scanAfterKey.clear();
}

void InboxReader::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  if (this->scanPending || aNow < this->nextScan) {
    return;
  }
  this->scanPending = true;
  this->nextScan = aNow + this->options.inboxPeriod;
  this->call = aCallIds.Next();
  aEffects.emplace_back(
    ScanCall{ this->call, InboxPrefix(this->options.shard), this->scanAfterKey, kRowsPerScan });
}

std::vector<InboxRow> InboxReader::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  std::vector<InboxRow> rows;
  const auto* scan = std::get_if<ScanResult>(&aEvent);
  if (scan == nullptr || !this->scanPending || scan->call != this->call) {
    return rows;
  }
  this->scanPending = false;
  if (!scan->page.ok()) {
    return rows;
  }
  for (const Row& row : scan->page->rows) {
    if (this->processedKeys.count(row.key) == 0) {
      rows.push_back({ row.key, ParseInboxItem(row.value) });
    }
  }
  if (scan->page->more) {
    this->scanAfterKey = scan->page->rows.back().key;
    this->nextScan = aNow;
  } else {
    this->scanAfterKey.clear();
    ++this->completedScans;
  }
  return rows;
}

void InboxReader::ForgetProcessed(const std::string& aKey)
{
  this->processedKeys.erase(aKey);
  this->unknownJobSinceScan.erase(aKey);
}

bool InboxReader::IsOverdue(const std::string& aKey)
{
  const auto [it, isNew] = this->unknownJobSinceScan.try_emplace(aKey, this->completedScans);
  return !isNew && this->completedScans > it->second + kMinScansBeforeOverdue;
}

} // namespace oriolespread
