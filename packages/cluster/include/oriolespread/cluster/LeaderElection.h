// Decides when an entry, a process that accepts jobs from callers, claims the leadership of the
// cluster. The leadership is one row of the store. Each transaction of the leader renews the row on
// condition of its version, and a claim changes the version, so a claim fences the previous leader
// immediately.
//
//   election.OnRow(row, now);
//   if (election.ShouldClaim(now)) { commit(election.MakeClaim()); }
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/cluster/ExpectedWaits.h"
#include "oriolespread/cluster/StoreTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace oriolespread::cluster {

// The value of the leadership row.
struct LeaderRecord
{
  // Names of the leading entry and of its process; the process name is new at each start.
  std::string entry;
  std::string process;
  std::uint64_t epoch = 0;
  // Counts the leader's transactions, so that the leader recognises its own writes.
  std::uint64_t renewal = 0;
  // The leader has shut down; any entry may claim immediately.
  bool released = false;
  // Processor speed of the leader, in a unit that all entries share; 0 if unknown.
  double speed = 0;
  // Time after this renewal in which leases that earlier leaders extended, or that workers have
  // reported, may still last, in milliseconds; negative if unknown, as in rows that earlier
  // versions wrote.
  std::int64_t earlierLeasesMs = -1;
  // Share of a core that the leader may use; 0 if unknown, as in rows that earlier versions wrote.
  double coreShare = 0;
  // Number of leaders directly before this one that were superseded while silent, each before it
  // had renewed its row without a gap for ElectionSettings::steadyTime; 0 once the leader has done
  // so.
  std::uint64_t shortTerms = 0;
  // The expected waits of new work; empty if unknown, as in rows that earlier versions wrote.
  std::vector<ExpectedWait> expectedWaits{};

  friend bool operator==(const LeaderRecord&, const LeaderRecord&) = default;
};

std::string EncodeLeaderRecord(const LeaderRecord& aRecord);
std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& aBytes);

struct ElectionSettings
{
  // A leader that has not renewed its row for this long, the time of several renewals, is
  // considered failed. No task is placed meanwhile, and short jobs miss their objectives.
  Duration leaderTimeout = std::chrono::milliseconds(900);
  // Multiple of the recent latency of the store that is added to leaderTimeout: with a slow store,
  // a renewal takes as long as its transaction, and shows only when a read of the row is answered.
  double latencyFactor = 4.0;
  // Maximum delay that spreads the claims of several entries.
  Duration claimJitter = std::chrono::milliseconds(100);
  // An entry whose processor is this many times faster than the leader's, or whose share of a core
  // is this many times larger, takes over the leadership: a slow leader places tasks late and takes
  // seconds to load at a take-over. The ratio is well above the difference between two measurements
  // on one machine.
  double takeoverRatio = 2.0;
  // Such an entry must also have this many times the processor time, see IsMuchFaster. Above 1, so
  // that no group of entries takes the leadership over in a circle; well above the difference
  // between two measurements, and below the square root of takeoverRatio.
  double minTakeoverGain = 1.25;
  // Minimum time between such take-overs.
  Duration minTakeoverInterval = std::chrono::milliseconds(1500);
  // How long an entry that is much slower than the last leader lets others claim first; time for
  // one more read of the row.
  Duration slowEntryDelay = std::chrono::milliseconds(400);
  // After one short term, see LeaderRecord, a silent leader is given this much more time, doubled
  // with each further one up to the maximum: the first renewals of a leader that loads the stored
  // state with little processor time are the latest ones, so that leaders that are taken for failed
  // at leaderTimeout replace one another for ever. The maximum tolerates renewals that are late by
  // 3 s, and keeps the time until a dead leader is replaced below 4 s at a store that answers at
  // once.
  Duration shortTermDelay = std::chrono::milliseconds(450);
  Duration maxShortTermDelay = std::chrono::milliseconds(2250);
  // A leader that has renewed its row for this long without a gap of leaderTimeout lasts.
  Duration steadyTime = std::chrono::seconds(10);
  // How long a leader that cannot renew its row keeps extending leases, and the longest time from
  // the extension of a lease until it has certainly expired.
  Duration outageTolerance{};
  Duration leaseBound{};
};

class LeaderElection
{
public:
  LeaderElection(ElectionSettings aSettings, std::string aEntry, std::string aProcess);

  // Handles the row as read from the store between the two times; empty if it does not exist.
  void OnRow(const std::optional<StoredRow>& aRow, Instant aRequestedAt, Instant aAnsweredAt);

  // Set the processor speed of this entry, in the unit of LeaderRecord, and its share of a core; 0
  // if unknown.
  void SetSpeed(double aSpeed) { this->speed = aSpeed; }
  void SetCoreShare(double aShare) { this->coreShare = aShare; }
  // Returns whether the leader gets much less processor time than this entry.
  bool IsLeaderMuchSlower() const;

  bool ShouldClaim(Instant aNow) const;

  // Return the transaction of a claim, and the row value that it writes.
  StoreTransaction MakeClaim() const;
  LeaderRecord ClaimedRecord() const;

  // Returns when the read that first returned the current version of the row was requested.
  Instant UnchangedSince() const { return this->unchangedSince; }
  // Returns when that read was answered, which is the latest time at which the leader can have
  // renewed the row: a renewal may arrive at the store between the request and the answer.
  Instant LatestRenewal() const { return this->latestRenewal; }
  // Returns the time at which all leases have certainly expired that the leader of the row and
  // those before it have extended, if the leader does not renew the row any more.
  Instant EarlierLeasesExpiry() const;
  const std::optional<LeaderRecord>& Current() const { return this->record; }

private:
  // Returns how long the row may be unchanged before a leader without short terms counts as failed.
  Duration SilenceLimit() const;
  // Returns how much longer it may be because of the short terms of earlier leaders.
  Duration ShortTermDelay() const;
  // Returns whether the leader has renewed its row for steadyTime without a gap of SilenceLimit.
  bool IsLeaderSteady() const;
  // Returns the field of a claim.
  std::uint64_t ClaimedShortTerms() const;
  // Returns whether the row names an earlier process of this entry, which has ended.
  bool IsOwnEarlierProcess() const;
  // Returns whether the row names this process, which does not lead: its claim was applied, but the
  // answer was lost, or it has taken the leadership for lost.
  bool IsOwnClaim() const;

  ElectionSettings settings;
  std::string entry;
  std::string process;
  bool rowRead = false;
  std::uint64_t version = 0;
  std::optional<LeaderRecord> record;
  // The highest epoch that any read row had. Agents and workers refuse lower ones, so a claim must
  // exceed it even if the row is no longer readable.
  std::uint64_t highestEpoch = 0;
  Instant unchangedSince{};
  Instant latestRenewal{};
  // While the row names this process: when the leases that others extended have expired. Empty if
  // the row of the leader before was not read.
  std::optional<Instant> expiryBeforeOwnClaims;
  // A decaying maximum of the latency of the reads of the row.
  Duration readLatency{};
  // When the current epoch was first seen.
  Instant epochFirstSeen{};
  // When the last read was requested that did not return an older version than known. The row was
  // not changed between unchangedSince and this time.
  Instant lastReadAt{};
  // When the current epoch, or the last renewal after a gap, was first seen.
  Instant steadySince{};
  // When the row of the leader before was last read; empty if it was not. This process reads no
  // rows while it leads, so that the leader may have begun long before its epoch was first seen.
  std::optional<Instant> begunAfter;
  double speed = 0;
  double coreShare = 0;
};

} // namespace oriolespread::cluster
