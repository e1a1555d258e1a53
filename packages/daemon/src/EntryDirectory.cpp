#include "oriolespread/daemon/EntryDirectory.h"

#include "absl/strings/escaping.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <memory>
#include <random>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;

namespace {

constexpr const char* kMembersTable = "members";
// Before all names of entries, which begin with a letter.
constexpr const char* kKeyRow = "!link-key";
constexpr std::size_t kKeyWords = 8;

std::string MakeKey()
{
  std::random_device source;
  std::string key;
  for (std::size_t word = 0; word < kKeyWords; ++word) {
    const std::uint32_t bits = source();
    key.append(reinterpret_cast<const char*>(&bits), sizeof bits);
  }
  return absl::BytesToHexString(key);
}

} // namespace

EntryDirectory::EntryDirectory(asio::io_context& aContext,
                               platformwire::StoreClient& aStore,
                               Counters& aCounters)
  : context(aContext)
  , store(aStore)
  , counters(aCounters)
{
}

void EntryDirectory::Register(const std::string& aName, const std::string& aLinkAddress)
{
  this->WriteEntry(aName, aLinkAddress);
  this->WriteKey();
}

void EntryDirectory::WriteEntry(const std::string& aName, const std::string& aLinkAddress)
{
  cluster::StoreTransaction write;
  write.changes.push_back({ { kMembersTable, aName }, aLinkAddress, false });
  this->store.Commit(
    write, kStoreTimeout, [this, aName, aLinkAddress](const cluster::CommitResult& aResult) {
      if (aResult.end != CommitEnd::Applied) {
        this->counters.Add("directory_retries_total", "register");
        this->Later([this, aName, aLinkAddress] { this->WriteEntry(aName, aLinkAddress); });
        return;
      }
      Log(
        LogLevel::Info, "entry_registered", { { "entry", aName }, { "version", aResult.version } });
    });
}

void EntryDirectory::WriteKey()
{
  cluster::StoreTransaction write;
  write.conditions.push_back({ { kMembersTable, kKeyRow }, 0 });
  write.changes.push_back({ { kMembersTable, kKeyRow }, MakeKey(), false });
  this->store.Commit(write, kStoreTimeout, [this](const cluster::CommitResult& aResult) {
    // A conflict means that the key exists, which is all that is wanted.
    if (aResult.end != CommitEnd::Applied && aResult.end != CommitEnd::Conflict) {
      this->counters.Add("directory_retries_total", "key");
      this->Later([this] { this->WriteKey(); });
    }
  });
}

void EntryDirectory::Follow(std::function<void(const std::string&, const Entries&)> aChanged)
{
  this->changed = std::move(aChanged);
  this->ReadAll();
}

void EntryDirectory::ReadAll()
{
  this->store.Read(
    { kMembersTable, "", "", 0 }, kStoreTimeout, [this](const cluster::ReadResult& aResult) {
      if (aResult.end != ReadEnd::Done) {
        this->counters.Add("directory_retries_total", "read");
        this->Later([this] { this->ReadAll(); });
        return;
      }
      this->entries.clear();
      for (const cluster::StoredRow& row : aResult.rows) {
        this->Apply(row);
      }
      this->version = std::max(this->version, aResult.version);
      this->Publish();
      this->Watch();
    });
}

void EntryDirectory::Watch()
{
  // Until the key is there the directory is of no use, so it is looked at more often.
  const bool known = !this->key.empty();
  this->store.Watch(kMembersTable,
                    this->version,
                    known ? kDirectoryWait : kWatchWait,
                    known ? kDirectoryTimeout : kWatchTimeout,
                    [this](const cluster::ReadResult& aResult) {
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->ReadAll();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        this->counters.Add("directory_retries_total", "watch");
                        this->Later([this] { this->Watch(); });
                        return;
                      }
                      for (const cluster::StoredRow& row : aResult.rows) {
                        this->Apply(row);
                      }
                      this->version = std::max(this->version, aResult.version);
                      if (!aResult.rows.empty()) {
                        this->Publish();
                      }
                      this->Watch();
                    });
}

void EntryDirectory::Apply(const cluster::StoredRow& aRow)
{
  if (aRow.row.key == kKeyRow) {
    this->key = aRow.value;
  } else if (aRow.removed) {
    this->entries.erase(aRow.row.key);
  } else {
    this->entries[aRow.row.key] = aRow.value;
  }
}

void EntryDirectory::Publish()
{
  if (!this->key.empty() && this->changed != nullptr) {
    this->changed(this->key, this->entries);
  }
}

void EntryDirectory::Later(std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, kStoreRetryDelay);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

} // namespace oriolespread::daemon
