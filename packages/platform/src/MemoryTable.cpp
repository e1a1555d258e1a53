#include "oriolespread/platform/MemoryTable.h"

namespace oriolespread {

CommitOutcome MemoryTable::Commit(const Transaction& aTransaction)
{
  const auto known = this->fates.find(aTransaction.id);
  if (known != this->fates.end()) {
    if (known->second.fate == TransactionFate::Committed) {
      return { CommitStatus::Committed, known->second.version, {} };
    }
    return { CommitStatus::Conflict, {}, {} };
  }
  for (const RowCondition& condition : aTransaction.conditions) {
    const Row* row = this->Find(condition.key);
    const RowVersion version = row == nullptr ? RowVersion{} : row->version;
    if (version != condition.version) {
      return { CommitStatus::Conflict, {}, condition.key };
    }
  }
  const RowVersion version{ ++this->lastVersion };
  for (const RowWrite& write : aTransaction.writes) {
    if (write.value.has_value()) {
      this->rows.insert_or_assign(write.key, Row{ write.key, version, *write.value });
    } else {
      this->rows.erase(write.key);
    }
  }
  this->Remember(aTransaction.id, { TransactionFate::Committed, version });
  return { CommitStatus::Committed, version, {} };
}

FateOutcome MemoryTable::ReadFate(const TransactionId& aId)
{
  const auto known = this->fates.find(aId);
  if (known != this->fates.end()) {
    return known->second;
  }
  const FateOutcome blocked{ TransactionFate::NotCommitted, {} };
  this->Remember(aId, blocked);
  return blocked;
}

ScanPage MemoryTable::Scan(std::string_view aPrefix,
                           std::string_view aAfter,
                           std::size_t aLimit) const
{
  ScanPage page;
  auto it = aAfter >= aPrefix ? this->rows.upper_bound(aAfter) : this->rows.lower_bound(aPrefix);
  for (; it != this->rows.end() && it->first.starts_with(aPrefix); ++it) {
    if (page.rows.size() == aLimit) {
      page.more = true;
      return page;
    }
    page.rows.push_back(it->second);
  }
  return page;
}

const Row* MemoryTable::Find(std::string_view aKey) const
{
  const auto it = this->rows.find(aKey);
  return it == this->rows.end() ? nullptr : &it->second;
}

void MemoryTable::Remember(const TransactionId& aId, const FateOutcome& aFate)
{
  this->fates.emplace(aId, aFate);
  this->fateOrder.push_back(aId);
  if (this->fateOrder.size() > kMaxFates) {
    this->fates.erase(this->fateOrder.front());
    this->fateOrder.pop_front();
  }
}

} // namespace oriolespread
