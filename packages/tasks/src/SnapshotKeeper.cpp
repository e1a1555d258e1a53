#include "oriolespread/tasks/SnapshotKeeper.h"

#include "absl/strings/str_cat.h"

#include "oriolespread/tasks/ShardRows.h"

namespace oriolespread {

namespace {

constexpr Duration kRetry = std::chrono::seconds(1);
// Rows deleted in one transaction.
constexpr std::size_t kDeleteBatch = 100;

} // namespace

SnapshotKeeper::SnapshotKeeper(const OwnerOptions& aOptions, Counters& aCounters, Journal& aJournal)
  : options(aOptions)
  , counters(aCounters)
  , journal(aJournal)
{
}

void SnapshotKeeper::Start(const StateLoader& aLoader)
{
  this->Reset();
  this->records = aLoader.RecordsRead();
  this->snapshotSeq = aLoader.SnapshotSeq();
  this->currentObject = aLoader.SnapshotObject();
  this->cleaning = this->snapshotSeq == 0 ? Cleaning::None : Cleaning::Scan;
}

void SnapshotKeeper::Reset()
{
  this->records = 0;
  this->held.reset();
  this->heldCommitted = false;
  this->putting = false;
  this->oldObject.clear();
  this->cleaning = Cleaning::None;
}

bool SnapshotKeeper::IsDue() const
{
  return !this->held.has_value() && this->records >= this->options.recordsPerSnapshot &&
         this->cleaning == Cleaning::None;
}

void SnapshotKeeper::Hold(std::uint64_t aSeq, std::string aState)
{
  this->held = std::move(aState);
  this->heldSeq = aSeq;
  this->heldRecords = this->records;
  this->heldCommitted = false;
}

void SnapshotKeeper::OnJournal(bool aCommitted)
{
  if (!this->held.has_value() || this->heldCommitted) {
    return;
  }
  if (aCommitted) {
    this->heldCommitted = true;
  } else {
    // The row goes out again and may then hold more than this state.
    this->held.reset();
  }
}

void SnapshotKeeper::Poll(Instant aNow, CallCounter& aCalls, OwnerEffects& aEffects)
{
  if (this->held.has_value() && this->heldCommitted && !this->putting && aNow >= this->nextTry) {
    this->putting = true;
    this->putCall = aCalls.Next();
    // A fresh name for each try: a failed put may or may not have written its object.
    this->newObject = absl::StrCat("shard-",
                                   this->options.shard.Value(),
                                   "-",
                                   this->heldSeq,
                                   "-",
                                   this->journal.CurrentEpoch().Value(),
                                   ".",
                                   ++this->tries);
    aEffects.emplace_back(PutObjectCall{ this->putCall, this->newObject, *this->held });
  }
  if (this->cleaning == Cleaning::Scan && aNow >= this->nextTry) {
    this->cleaning = Cleaning::Scanning;
    this->scanCall = aCalls.Next();
    aEffects.emplace_back(
      ScanCall{ this->scanCall, JournalPrefix(this->options.shard), {}, kDeleteBatch });
  }
  if (this->cleaning == Cleaning::None && !this->oldObject.empty()) {
    aEffects.emplace_back(DeleteObjectCall{ aCalls.Next(), this->oldObject });
    this->oldObject.clear();
  }
}

void SnapshotKeeper::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (const auto* put = std::get_if<ObjectWriteResult>(&aEvent)) {
    if (!this->putting || put->call != this->putCall) {
      return;
    }
    this->putting = false;
    if (!put->status.ok()) {
      this->counters.Add("snapshots_total", "put_failed");
      this->nextTry = aNow + kRetry;
      return;
    }
    this->counters.Add("snapshots_total", "stored");
    this->journal.StageWrites({ { SnapshotKey(this->options.shard),
                                  ToJson(SnapshotRow{ this->newObject, this->heldSeq }) } });
    this->journal.Defer(CleanupDue{});
    this->oldObject = this->currentObject;
    this->currentObject = this->newObject;
    this->snapshotSeq = this->heldSeq;
    this->records -= this->heldRecords;
    this->held.reset();
    this->cleaning = Cleaning::Deleting;
  }
  if (const auto* scan = std::get_if<ScanResult>(&aEvent)) {
    if (this->cleaning != Cleaning::Scanning || scan->call != this->scanCall) {
      return;
    }
    if (!scan->page.ok()) {
      this->cleaning = Cleaning::Scan;
      this->nextTry = aNow + kRetry;
      return;
    }
    this->OnCleanupPage(*scan->page);
  }
}

void SnapshotKeeper::OnCleanupPage(const ScanPage& aPage)
{
  std::vector<RowWrite> deletes;
  for (const Row& row : aPage.rows) {
    const auto seq = JournalSeq(this->options.shard, row.key);
    if (seq.has_value() && *seq <= this->snapshotSeq) {
      deletes.push_back({ row.key, std::nullopt });
    }
  }
  if (deletes.empty()) {
    this->cleaning = Cleaning::None;
    return;
  }
  this->journal.StageWrites(std::move(deletes));
  this->journal.Defer(CleanupDue{});
  this->cleaning = Cleaning::Deleting;
}

} // namespace oriolespread
