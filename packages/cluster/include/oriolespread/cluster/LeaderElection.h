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
struct LeaderRecord
{
  // Name of the entry that leads, and of its process, which is new with each start.
  std::string entry;
  std::string process;
  std::uint64_t epoch = 0;
  // Counts the leader's transactions, so that it recognises its own.
  std::uint64_t renewal = 0;
  // The leader has stopped as planned; anyone may claim at once.
  bool released = false;
  // How fast the leader's processor works for it, in any unit that all entries share; 0 when that
  // is not known.
  double speed = 0;

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string EncodeLeaderRecord(const LeaderRecord& aRecord);
std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& aBytes);

struct ElectionSettings
{
  // A leader whose row did not change for this long, several renewals, is given up on.
  Duration leaderTimeout = std::chrono::milliseconds(1600);
  // Spreads claims of several entries.
  Duration claimJitter = std::chrono::milliseconds(200);
  // An entry whose processor is this many times faster than the leader's takes the leadership over:
  // a slow leader places late and needs seconds to load at a take-over. Well above what two
  // measurements of one machine differ by.
  double takeoverSpeedRatio = 2.0;
  // The least time between such take-overs.
  Duration minTakeoverInterval = std::chrono::milliseconds(1500);
  // An entry that is much slower than the last leader lets others claim first; one more look at the
  // row.
  Duration slowEntryDelay = std::chrono::milliseconds(400);
};

class LeaderElection
{
public:
  LeaderElection(ElectionSettings aSettings, std::string aEntry, std::string aProcess);

  // The row as read from the store at `aRequested` or later; nothing when it does not exist.
  void OnRow(const std::optional<StoredRow>& aRow, Instant aRequested);

  // The speed of this entry's processor, in the unit of LeaderRecord.
  void SetSpeed(double aSpeed) { this->speed = aSpeed; }
  // Returns whether the leader's processor is much slower than this entry's.
  bool IsLeaderMuchSlower() const;

  bool ShouldClaim(Instant aNow) const;

  // The transaction of a claim, and the row that it writes.
  StoreTransaction MakeClaim() const;
  LeaderRecord ClaimedRecord() const;

  // When the present leader can last have renewed, as far as this entry knows.
  Instant UnchangedSince() const { return this->unchangedSince; }
  const std::optional<LeaderRecord>& Current() const { return this->record; }

private:
  ElectionSettings settings;
  std::string entry;
  std::string process;
  Duration claimDelay{};
  bool rowRead = false;
  std::uint64_t version = 0;
  std::optional<LeaderRecord> record;
  Instant unchangedSince{};
  // When the present epoch was first seen.
  Instant epochFirstSeen{};
  double speed = 0;
};

} // namespace oriolespread::cluster
