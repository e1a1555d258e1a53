#include "oriolespread/service/EntryDirectoryKeeper.h"

#include "absl/strings/str_cat.h"

#include <optional>
#include <utility>

namespace oriolespread {

namespace {

std::string KeyOf(const EntryId& aEntry)
{
  return EntryDirectoryKeeper::kPrefix + aEntry.Value();
}

std::optional<DirectoryEntry> ParseRow(const Row& aRow)
{
  try {
    return DirectoryEntry{ { EntryId{
                               aRow.key.substr(std::string(EntryDirectoryKeeper::kPrefix).size()) },
                             aRow.value.at("data_centre").get<DataCentreId>(),
                             aRow.value.at("link_address").get<std::string>() },
                           aRow.value.at("http_address").get<std::string>() };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace

EntryDirectoryKeeper::EntryDirectoryKeeper(DirectoryEntry aSelf, Incarnation aIncarnation)
  : self(std::move(aSelf))
  , incarnation(aIncarnation)
{
}

Transaction EntryDirectoryKeeper::Renew()
{
  ++this->renewals;
  Transaction transaction;
  transaction.id = TransactionId{ absl::StrCat("directory-",
                                               this->self.info.entry.Value(),
                                               "-",
                                               this->incarnation.Value(),
                                               "-",
                                               this->renewals) };
  const nlohmann::json value = { { "data_centre", this->self.info.dataCentre },
                                 { "link_address", this->self.info.linkAddress },
                                 { "http_address", this->self.httpAddress },
                                 { "renewed", this->renewals } };
  transaction.writes.push_back({ KeyOf(this->self.info.entry), value });
  return transaction;
}

bool EntryDirectoryKeeper::OnRows(Instant aNow, const std::vector<Row>& aRows)
{
  bool changed = false;
  for (const Row& row : aRows) {
    const std::optional<DirectoryEntry> entry = ParseRow(row);
    if (!entry.has_value() || entry->info.entry == this->self.info.entry) {
      continue;
    }
    const auto [it, isNew] = this->seen.try_emplace(entry->info.entry);
    Seen& known = it->second;
    if (isNew || known.version != row.version) {
      changed = changed || isNew || !known.live ||
                known.entry.info.linkAddress != entry->info.linkAddress ||
                known.entry.httpAddress != entry->httpAddress;
      known = { *entry, row.version, aNow, true };
    }
  }
  for (auto& [id, known] : this->seen) {
    if (known.live && aNow - known.changed > kExpiry) {
      known.live = false;
      changed = true;
    }
  }
  return changed;
}

Transaction EntryDirectoryKeeper::Sweep(Instant aNow)
{
  Transaction transaction;
  transaction.id = TransactionId{ absl::StrCat("directory-sweep-",
                                               this->self.info.entry.Value(),
                                               "-",
                                               this->incarnation.Value(),
                                               "-",
                                               this->renewals) };
  for (auto it = this->seen.begin(); it != this->seen.end();) {
    if (aNow - it->second.changed <= kRemoval) {
      ++it;
      continue;
    }
    // Conditional on the version seen, so that an entry that is back keeps its new row.
    transaction.conditions.push_back({ KeyOf(it->first), it->second.version });
    transaction.writes.push_back({ KeyOf(it->first), std::nullopt });
    it = this->seen.erase(it);
  }
  return transaction;
}

std::vector<DirectoryEntry> EntryDirectoryKeeper::Live() const
{
  std::map<EntryId, DirectoryEntry> live = { { this->self.info.entry, this->self } };
  for (const auto& [id, known] : this->seen) {
    if (known.live) {
      live.emplace(id, known.entry);
    }
  }
  std::vector<DirectoryEntry> list;
  list.reserve(live.size());
  for (auto& [id, entry] : live) {
    list.push_back(std::move(entry));
  }
  return list;
}

} // namespace oriolespread
