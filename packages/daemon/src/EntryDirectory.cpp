#include "oriolespread/daemon/EntryDirectory.h"

#include "MultiRangeReader.h"
#include "absl/strings/escaping.h"

#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/service/Log.h"

#include <memory>
#include <random>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;

namespace {

constexpr const char* kMembersTable = "members";
// The key's row. It sorts before all names of entries, which begin with a letter.
constexpr const char* kLinkKeyRow = "!link-key";
constexpr std::size_t kLinkKeyWords = 8;

std::string GenerateLinkKey()
{
  std::random_device source;
  std::string key;
  for (std::size_t word = 0; word < kLinkKeyWords; ++word) {
    const std::uint32_t bits = source();
    key.append(reinterpret_cast<const char*>(&bits), sizeof bits);
  }
  return absl::BytesToHexString(key);
}

Duration RetryDelay(const cluster::CommitResult& aResult)
{
  return aResult.end == CommitEnd::Invalid ? kInvalidRetryDelay : kStoreRetryDelay;
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
  this->WriteLinkKey();
}

void EntryDirectory::WriteEntry(const std::string& aName, const std::string& aLinkAddress)
{
  cluster::StoreTransaction transaction;
  transaction.changes.push_back({ { kMembersTable, aName }, aLinkAddress, false });
  this->store.Commit(
    transaction, kStoreTimeout, [this, aName, aLinkAddress](const cluster::CommitResult& aResult) {
      if (aResult.end != CommitEnd::Applied) {
        this->counters.Add("directory_retries_total", "register");
        this->RetryLater([this, aName, aLinkAddress] { this->WriteEntry(aName, aLinkAddress); },
                         RetryDelay(aResult));
        return;
      }
      Log(
        LogLevel::Info, "entry_registered", { { "entry", aName }, { "version", aResult.version } });
    });
}

void EntryDirectory::WriteLinkKey()
{
  cluster::StoreTransaction transaction;
  transaction.conditions.push_back({ { kMembersTable, kLinkKeyRow }, 0 });
  transaction.changes.push_back({ { kMembersTable, kLinkKeyRow }, GenerateLinkKey(), false });
  this->store.Commit(transaction, kStoreTimeout, [this](const cluster::CommitResult& aResult) {
    // A conflict means that the key already exists, so there is nothing left to do.
    if (aResult.end != CommitEnd::Applied && aResult.end != CommitEnd::Conflict) {
      this->counters.Add("directory_retries_total", "key");
      this->RetryLater([this] { this->WriteLinkKey(); }, RetryDelay(aResult));
    }
  });
}

void EntryDirectory::Subscribe(std::function<void(const std::string&, const Entries&)> aOnChanged)
{
  this->onChanged = std::move(aOnChanged);
  this->ReadAll();
}

void EntryDirectory::ReadAll()
{
  MultiRangeReader::Read(
    this->context,
    this->store,
    { { kMembersTable, "", "", 0 } },
    [] { return kStoreTimeout; },
    [this](const std::string& /*aReason*/) {
      this->counters.Add("directory_retries_total", "read");
      return true;
    },
    [this](const MultiRangeResult& aResult) {
      this->entries.clear();
      for (const cluster::StoredRow& row : aResult.rows.front()) {
        this->ApplyRow(row);
      }
      // A row that was changed between two pages is in the watch from the version of the first one.
      this->version = std::max(this->version, aResult.version);
      // Watches first, so that changes are still followed if the subscriber throws.
      this->Watch();
      this->NotifySubscriber();
    });
}

void EntryDirectory::Watch()
{
  // Links need the key, so the directory is polled more often until there is one.
  const bool hasKey = !this->linkKey.empty();
  this->store.Watch(kMembersTable,
                    this->version,
                    hasKey ? kDirectoryLongPollTime : kWatchLongPollTime,
                    hasKey ? kDirectoryWatchTimeout : kWatchTimeout,
                    [this](const cluster::ReadResult& aResult) {
                      if (aResult.end == ReadEnd::HistoryGone) {
                        this->ReadAll();
                        return;
                      }
                      if (aResult.end != ReadEnd::Done) {
                        this->counters.Add("directory_retries_total", "watch");
                        this->RetryLater([this] { this->Watch(); }, kStoreRetryDelay);
                        return;
                      }
                      for (const cluster::StoredRow& row : aResult.rows) {
                        this->ApplyRow(row);
                      }
                      this->version = std::max(this->version, aResult.version);
                      this->Watch();
                      if (!aResult.rows.empty()) {
                        this->NotifySubscriber();
                      }
                    });
}

void EntryDirectory::ApplyRow(const cluster::StoredRow& aRow)
{
  if (aRow.row.key == kLinkKeyRow) {
    this->linkKey = aRow.value;
  } else if (aRow.removed) {
    this->entries.erase(aRow.row.key);
  } else if (const auto address = SocketAddress::Parse(aRow.value);
             address.has_value() && address->port != 0) {
    this->entries[aRow.row.key] = aRow.value;
  } else {
    // An earlier address of the entry remains in use.
    this->counters.Add("directory_rows_invalid_total", "address");
    Log(LogLevel::Warning,
        "entry_address_invalid",
        { { "entry", aRow.row.key }, { "address", aRow.value } });
  }
}

void EntryDirectory::NotifySubscriber()
{
  if (!this->linkKey.empty() && this->onChanged != nullptr) {
    this->onChanged(this->linkKey, this->entries);
  }
}

void EntryDirectory::RetryLater(std::function<void()> aCall, Duration aDelay)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

} // namespace oriolespread::daemon
