#include "oriolespread/tasks/StateLoader.h"

#include "oriolespread/tasks/ShardRows.h"

namespace oriolespread {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
// A row holds at most 1,000 records, so a page holds at most 200,000.
constexpr std::size_t kRowsPerScan = 200;

} // namespace

StateLoader::StateLoader(const OwnerOptions& aOptions, Counters& aCounters)
  : options(aOptions)
  , counters(aCounters)
{
}

void StateLoader::Start()
{
  this->step = Step::SnapshotRow;
  this->callPending = false;
  this->nextRetry = Instant{};
  this->table = TaskTable{};
  this->snapshotObject.clear();
  this->snapshotSeq = 0;
  this->lastSeq = 0;
  this->recordsRead = 0;
}

void StateLoader::Poll(Instant aNow, CallIdGenerator& aCallIds, OwnerEffects& aEffects)
{
  if (this->step == Step::Done || this->callPending || aNow < this->nextRetry) {
    return;
  }
  this->callPending = true;
  this->call = aCallIds.Next();
  switch (this->step) {
    case Step::SnapshotRow:
      aEffects.emplace_back(ScanCall{ this->call, SnapshotKey(this->options.shard), {}, 1 });
      break;
    case Step::SnapshotObject:
      aEffects.emplace_back(GetObjectCall{ this->call, this->snapshotObject });
      break;
    case Step::JournalRows:
      aEffects.emplace_back(ScanCall{
        this->call, JournalPrefix(this->options.shard), this->scanAfterKey, kRowsPerScan });
      break;
    case Step::Done:
      break;
  }
}

void StateLoader::OnEvent(Instant aNow, const OwnerEvent& aEvent)
{
  if (!this->callPending) {
    return;
  }
  if (const auto* scan = std::get_if<ScanResult>(&aEvent); scan && scan->call == this->call) {
    this->callPending = false;
    if (!scan->page.ok()) {
      this->nextRetry = aNow + kRetryDelay;
    } else if (this->step == Step::SnapshotRow) {
      this->OnSnapshotRow(*scan->page);
    } else {
      this->OnJournalRows(aNow, *scan->page);
    }
  }
  if (const auto* read = std::get_if<ObjectReadResult>(&aEvent); read && read->call == this->call) {
    this->callPending = false;
    this->nextRetry = aNow + kRetryDelay;
    this->OnSnapshotObject(read->content);
  }
}

void StateLoader::OnSnapshotRow(const ScanPage& aPage)
{
  this->scanAfterKey = JournalKey(this->options.shard, 0);
  this->step = Step::JournalRows;
  if (aPage.rows.empty()) {
    return;
  }
  const auto snapshotRow = ParseSnapshotRow(aPage.rows.front().value);
  if (!snapshotRow.has_value()) {
    // Without the snapshot the journal is incomplete, so the state cannot be recovered.
    this->counters.Add("recovery_errors_total", "malformed_snapshot_row");
    this->step = Step::SnapshotRow;
    return;
  }
  this->snapshotObject = snapshotRow->object;
  this->snapshotSeq = snapshotRow->throughSeq;
  this->lastSeq = snapshotRow->throughSeq;
  this->scanAfterKey = JournalKey(this->options.shard, snapshotRow->throughSeq);
  this->step = Step::SnapshotObject;
}

void StateLoader::OnSnapshotObject(const absl::StatusOr<std::string>& aContent)
{
  if (!aContent.ok()) {
    // Reads the snapshot row again too, because a later owner may have replaced the object.
    this->counters.Add("recovery_errors_total", "snapshot_unavailable");
    this->step = Step::SnapshotRow;
    return;
  }
  if (!this->table.Deserialize(*aContent)) {
    this->counters.Add("recovery_errors_total", "malformed_snapshot");
    return;
  }
  this->step = Step::JournalRows;
}

void StateLoader::OnJournalRows(Instant aNow, const ScanPage& aPage)
{
  for (const Row& row : aPage.rows) {
    if (!this->ApplyRow(row)) {
      // A later owner may have deleted rows during the scan. Decisions must not be based on an
      // incomplete state, so the recovery starts again.
      this->Start();
      this->nextRetry = aNow + kRetryDelay;
      return;
    }
    this->scanAfterKey = row.key;
  }
  if (!aPage.more) {
    this->step = Step::Done;
  }
}

bool StateLoader::ApplyRow(const Row& aRow)
{
  const auto seq = JournalSeq(this->options.shard, aRow.key);
  if (!seq.has_value() || !aRow.value.contains("records")) {
    this->counters.Add("recovery_errors_total", "malformed_row");
    return false;
  }
  if (*seq != this->lastSeq + 1) {
    this->counters.Add("recovery_errors_total", "gap");
    return false;
  }
  this->lastSeq = *seq;
  for (const nlohmann::json& value : aRow.value["records"]) {
    ++this->recordsRead;
    const auto record = DecodeRecord(value);
    if (!record.has_value() || !this->table.Apply(*record)) {
      this->counters.Add("recovery_errors_total", "record_not_applied");
      return false;
    }
  }
  return true;
}

} // namespace oriolespread
