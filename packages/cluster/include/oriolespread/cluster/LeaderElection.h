// Decides when an entry claims the leadership of the cluster. The leadership is one row of the
// store: each transaction of the leader renews it on condition of its version, so that a claim,
// which changes the version too, fences the earlier leader at once.
//
//   election.OnRow(row, now);
//   if (election.ShouldClaim(now)) { commit(election.MakeClaim()); }
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/cluster/StoreTypes.h"

#include <optional>
#include <string>

namespace oriolespread::cluster {

// The value of the row of the leadership.
struct LeadRow
{
  // Name of the entry that leads, and of its process, which is new with each start.
  std::string entry;
  std::string process;
  std::uint64_t epoch = 0;
  // Counts the leader's transactions, so that it recognises its own.
  std::uint64_t renewal = 0;
  // The leader has stopped as planned; anyone may claim at once.
  bool released = false;

  friend bool operator==(const LeadRow&, const LeadRow&) = default;
};

std::string EncodeLeadRow(const LeadRow& aRow);
std::optional<LeadRow> DecodeLeadRow(const std::string& aBytes);

struct ElectionSettings
{
  // A leader whose row did not change for this long, several renewals, is given up on.
  Duration silence = std::chrono::milliseconds(1600);
  // Spreads claims of several entries.
  Duration jitter = std::chrono::milliseconds(200);
};

class LeaderElection
{
public:
  LeaderElection(ElectionSettings aSettings, std::string aEntry, std::string aProcess);

  // The row as read from the store at `aRequested` or later; nothing when it does not exist.
  void OnRow(const std::optional<StoredRow>& aRow, Instant aRequested, Instant aNow);

  // The link to the leader's process broke; the leader may be claimed from once its row is still
  // for one more read.
  void OnLeaderGone(const std::string& aEntry);

  bool ShouldClaim(Instant aNow) const;

  // The transaction of a claim, and the row that it writes.
  StoreTransaction MakeClaim() const;
  LeadRow ClaimedRow() const;

  // When the present leader can last have renewed, as far as this entry knows.
  Instant UnchangedSince() const { return this->unchangedSince; }
  const std::optional<LeadRow>& Current() const { return this->row; }

private:
  ElectionSettings settings;
  std::string entry;
  std::string process;
  Duration wait{};
  bool read = false;
  bool leaderGone = false;
  std::uint64_t version = 0;
  std::optional<LeadRow> row;
  Instant unchangedSince{};
};

} // namespace oriolespread::cluster
