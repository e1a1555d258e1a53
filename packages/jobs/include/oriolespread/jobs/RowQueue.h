// The rows whose changes wait for a transaction of the store.
//
//   queue.Add(row);
//   std::vector<RowKey> rows = queue.Take(fits);  // send their changes in one transaction, then
//   queue.OnApplied(rows);                        // or OnRefused, if it is invalid
//
// The store applies a transaction as a whole, so one row that it does not take would keep all rows
// beside it from being stored. Rows that were refused together are therefore taken again in halves,
// until each row that is refused alone is found. Such a row is withheld for a time that grows with
// each refusal, unless work waits for it. Transactions with rows that were refused alternate with
// those of other rows. Not thread-safe.
#pragma once

#include "oriolespread/base/Time.h"
#include "oriolespread/jobs/JobRows.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriolespread::jobs {

class RowQueue
{
public:
  // Adds a row unless it waits already.
  void Add(RowKey aRow);
  // Returns whether there is nothing to take. Withheld rows do not count.
  bool IsEmpty() const { return this->waiting.empty(); }
  // Returns the rows for the next transaction: the first ones until `aFits` is false for one.
  std::vector<RowKey> Take(const std::function<bool(const RowKey&)>& aFits);

  // The following functions take the rows of one call of Take.

  void OnApplied(const std::vector<RowKey>& aRows);
  // Handles that the store refused the rows together, as it always will. Returns for how long the
  // row is withheld if it is a single one.
  std::optional<Duration> OnRefused(const std::vector<RowKey>& aRows, Instant aNow);
  // Adds rows again whose transaction was not applied for another reason.
  void PutBack(std::vector<RowKey> aRows);

  // Limits the time for which the row is withheld after its last refusal, because work waits for
  // it. All withheld rows together are still tried again at a bounded rate. Has no effect on other
  // rows.
  void Expedite(const RowKey& aRow);
  // Adds a withheld row again whose time is over.
  void Release(Instant aNow);
  bool IsWithheld(const RowKey& aRow) const { return this->withheld.contains(aRow); }
  std::size_t WithheldCount() const { return this->withheld.size(); }

private:
  struct Refusal
  {
    Instant refusedAt{};
    // For how long the row is withheld.
    Duration delay{};

    // The row is withheld for a shorter time, as Expedite was called since the refusal.
    bool expedited = false;

    Instant End() const;
  };

  void AddGroup(std::vector<RowKey> aRows);

  std::deque<RowKey> rows;
  // Rows that are taken together, apart from others.
  std::deque<std::vector<RowKey>> groups;
  // All rows of `rows` and `groups`.
  std::set<RowKey> waiting;
  // The last refusals of single rows.
  std::map<RowKey, Refusal> refusals;
  std::set<RowKey> withheld;
  bool groupTakenLast = false;
  Instant nextRelease{};
};

} // namespace oriolespread::jobs
