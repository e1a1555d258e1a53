#include "oriolespread/tasks/SnapshotManager.h"

#include "absl/strings/str_cat.h"

#include "oriolespread/tasks/ShardRows.h"

namespace oriolespread {

namespace {

constexpr Duration kRetryDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxDeletesPerTransaction = 100;

} // namespace

SnapshotManager::SnapshotManager(const OwnerOptions& aOptions,
                                 Counters& aCounters,
                                 Journal& aJournal)
  : options(aOptions)
  , counters(aCounters)
  , journal(aJournal)
{
}

void SnapshotManager::Start(const StateLoader& aLoader)
{
  this->Reset();
  this->records = aLoader.RecordsRead();
  this->snapshotSeq = aLoader.SnapshotSeq();
  this->currentObject = aLoader.SnapshotObject();
  this->cleanupState = this->snapshotSeq == 0 ? CleanupState::None : CleanupState::ScanDue;
}

void SnapshotManager::Reset()
{
  this->records = 0;
  this->captured.reset();
  this->capturedCommitted = false;
  this->putInFlight = false;
  this->oldObject.clear();
  this->cleanupState = CleanupState::None;
}

bool SnapshotManager::IsDue() const
{
  return !this->captured.has_value() && this->records >= this->options.recordsPerSnapshot &&
         this->cleanupState == CleanupState::None;
}

void SnapshotManager::Capture(std::uint64_t aSeq, std::string aState)
{
  this->captured = std::move(aState);
  this->capturedSeq = aSeq;
  this->capturedRecords = this->records;
  this->capturedCommitted = false;
}

void SnapshotManager::OnJournalRowResult(bool aCommitted)
{
  if (!this->captured.has_value() || this->capturedCommitted) {
    return;
  }
  if (aCommitted) {
    this->capturedCommitted = true;
  } else {
    // The row will be sent again and may then contain records that are not in the captured state.
    this->captured.reset();
  }
}

void SnapshotManager::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  if (this->captured.has_value() && this->capturedCommitted && !this->putInFlight &&
      aNow >= this->nextRetry) {
    this->putInFlight = true;
    this->putCall = aCallIds.Next();
    // Every put uses a new name, because a failed put may or may not have written its object.
    this->newObject = absl::StrCat("shard-",
                                   this->options.shard.Value(),
                                   "-",
                                   this->capturedSeq,
                                   "-",
                                   this->journal.CurrentEpoch().Value(),
                                   ".",
                                   ++this->putCount);
    aEffects.emplace_back(PutObjectCall{ this->putCall, this->newObject, *this->captured });
  }
  if (this->cleanupState == CleanupState::ScanDue && aNow >= this->nextRetry) {
    this->cleanupState = CleanupState::Scanning;
    this->scanCall = aCallIds.Next();
    aEffects.emplace_back(ScanCall{
      this->scanCall, JournalPrefix(this->options.shard), {}, kMaxDeletesPerTransaction });
  }
  if (this->cleanupState == CleanupState::None && !this->oldObject.empty()) {
    aEffects.emplace_back(DeleteObjectCall{ aCallIds.Next(), this->oldObject });
    this->oldObject.clear();
  }
}

void SnapshotManager::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (const auto* put = std::get_if<ObjectWriteResult>(&aEvent)) {
    if (!this->putInFlight || put->call != this->putCall) {
      return;
    }
    this->putInFlight = false;
    if (!put->status.ok()) {
      this->counters.Add("snapshots_total", "put_failed");
      this->nextRetry = aNow + kRetryDelay;
      return;
    }
    this->counters.Add("snapshots_total", "stored");
    this->journal.StageWrites({ { SnapshotKey(this->options.shard),
                                  ToJson(SnapshotRow{ this->newObject, this->capturedSeq }) } });
    this->journal.Defer(DeferredCleanup{});
    this->oldObject = this->currentObject;
    this->currentObject = this->newObject;
    this->snapshotSeq = this->capturedSeq;
    this->records -= this->capturedRecords;
    this->captured.reset();
    this->cleanupState = CleanupState::Deleting;
  }
  if (const auto* scan = std::get_if<ScanResult>(&aEvent)) {
    if (this->cleanupState != CleanupState::Scanning || scan->call != this->scanCall) {
      return;
    }
    if (!scan->page.ok()) {
      this->cleanupState = CleanupState::ScanDue;
      this->nextRetry = aNow + kRetryDelay;
      return;
    }
    this->OnCleanupPage(*scan->page);
  }
}

void SnapshotManager::OnCleanupPage(const ScanPage& aPage)
{
  std::vector<RowWrite> deletes;
  for (const Row& row : aPage.rows) {
    const auto seq = JournalSeq(this->options.shard, row.key);
    if (seq.has_value() && *seq <= this->snapshotSeq) {
      deletes.push_back({ row.key, std::nullopt });
    }
  }
  if (deletes.empty()) {
    this->cleanupState = CleanupState::None;
    return;
  }
  this->journal.StageWrites(std::move(deletes));
  this->journal.Defer(DeferredCleanup{});
  this->cleanupState = CleanupState::Deleting;
}

} // namespace oriolespread
