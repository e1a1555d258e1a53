#include "oriolespread/cluster/LeaderElection.h"

#include "oriolespread/base/ExternalJson.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace oriolespread::cluster {

namespace {

// Share of the read latency that is kept from one read to the next, if that one is faster.
constexpr double kLatencyDecay = 0.7;
constexpr std::uint64_t kMaxEpoch = std::uint64_t{ 1 } << 53U;
// Longer than any sum of a lease and an outage that is tolerated.
constexpr std::uint64_t kMaxEarlierLeasesMs = 3'600'000;

bool IsLeaseTime(const nlohmann::json& aValue)
{
  return aValue.is_number_unsigned() && aValue.get<std::uint64_t>() <= kMaxEarlierLeasesMs;
}

// Further short terms do not change the delay any more.
constexpr std::uint64_t kMaxShortTerms = 16;

bool IsShare(const nlohmann::json& aValue)
{
  return aValue.is_number() && std::isfinite(aValue.get<double>()) && aValue.get<double>() >= 0;
}

bool IsCountOfTerms(const nlohmann::json& aValue)
{
  return aValue.is_number_unsigned() && aValue.get<std::uint64_t>() <= kMaxShortTerms;
}

bool IsWait(const nlohmann::json& aValue)
{
  if (!aValue.is_object()) {
    return false;
  }
  const auto service = aValue.find("service");
  const auto priority = aValue.find("priority");
  const auto waitMs = aValue.find("waitMs");
  if (service == aValue.end() || priority == aValue.end() || waitMs == aValue.end() ||
      !service->is_string() || !priority->is_number_integer() || !waitMs->is_number_unsigned()) {
    return false;
  }
  const std::size_t serviceBytes = service->get_ref<const std::string&>().size();
  // A number above the range of std::int64_t would be read as another one.
  const bool isPriority =
    priority->is_number_unsigned()
      ? priority->get<std::uint64_t>() <= std::uint64_t{ std::numeric_limits<int>::max() }
      : priority->get<std::int64_t>() >= std::numeric_limits<int>::min();
  return serviceBytes > 0 && serviceBytes <= kMaxWaitServiceBytes && isPriority &&
         waitMs->get<std::uint64_t>() <= std::uint64_t{ kMaxExpectedWaitMs };
}

bool IsListOfWaits(const nlohmann::json& aValue)
{
  return aValue.is_array() && aValue.size() <= kMaxExpectedWaits &&
         std::all_of(aValue.begin(), aValue.end(), IsWait);
}

// Removes the field if its value is not valid, so that it counts as unknown.
template<typename IsValid>
void RemoveIfInvalid(nlohmann::json& aObject, const char* aField, const IsValid& aIsValid)
{
  const auto field = aObject.find(aField);
  if (field != aObject.end() && !aIsValid(*field)) {
    aObject.erase(field);
  }
}

// What an entry tells of its processor; 0 stands for an unknown value.
struct Processor
{
  double speed = 0;
  double coreShare = 0;
};

// Returns whether the first processor gets so much more time that its entry should lead in place of
// the other's. A share of a core may slow a process down, so that the speed contains it, or limit
// it to a quota, which the speed does not show. The values do not tell which of both is the case,
// so the processor time counts as the mean of both on a logarithmic scale: speed x sqrt(share).
// Since each take-over multiplies it by at least minTakeoverGain, entries cannot take over in a
// circle.
bool IsMuchFaster(const Processor& aFirst,
                  const Processor& aSecond,
                  const ElectionSettings& aSettings)
{
  if (!(aFirst.speed > 0 && aSecond.speed > 0)) {
    return false;
  }
  const bool areSharesKnown = aFirst.coreShare > 0 && aSecond.coreShare > 0;
  const double shareRatio = areSharesKnown ? aFirst.coreShare / aSecond.coreShare : 1.0;
  return (aFirst.speed >= aSettings.takeoverRatio * aSecond.speed ||
          shareRatio >= aSettings.takeoverRatio) &&
         aFirst.speed * std::sqrt(shareRatio) >= aSettings.minTakeoverGain * aSecond.speed;
}

} // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExpectedWait, service, priority, waitMs)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeaderRecord,
                                                entry,
                                                process,
                                                epoch,
                                                renewal,
                                                released,
                                                speed,
                                                earlierLeasesMs,
                                                coreShare,
                                                shortTerms,
                                                expectedWaits)

std::string EncodeLeaderRecord(const LeaderRecord& aRecord)
{
  nlohmann::json encoded(aRecord);
  if (aRecord.expectedWaits.empty()) {
    // The row of a leader that publishes no waits is the one of earlier versions.
    encoded.erase("expectedWaits");
  }
  return encoded.dump();
}

std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& aBytes)
{
  auto parsed = ParseJson(aBytes);
  // The library's conversion of a floating-point number to an integer may be undefined. Fields of
  // later versions are ignored.
  if (!parsed.ok() || !parsed->is_object() ||
      HasFloatingPoint(parsed->value("epoch", nlohmann::json())) ||
      HasFloatingPoint(parsed->value("renewal", nlohmann::json()))) {
    return std::nullopt;
  }
  try {
    RemoveIfInvalid(*parsed, "earlierLeasesMs", IsLeaseTime);
    RemoveIfInvalid(*parsed, "coreShare", IsShare);
    RemoveIfInvalid(*parsed, "shortTerms", IsCountOfTerms);
    RemoveIfInvalid(*parsed, "expectedWaits", IsListOfWaits);
    auto record = parsed->get<LeaderRecord>();
    // The next leader needs a higher epoch.
    const bool isValid = parsed->at("epoch").is_number_unsigned() && record.epoch <= kMaxEpoch;
    return isValid ? std::optional(std::move(record)) : std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

LeaderElection::LeaderElection(ElectionSettings aSettings, std::string aEntry, std::string aProcess)
  : settings(aSettings)
  , entry(std::move(aEntry))
  , process(std::move(aProcess))
{
}

void LeaderElection::OnRow(const std::optional<StoredRow>& aRow,
                           Instant aRequestedAt,
                           Instant aAnsweredAt)
{
  this->readLatency =
    std::max(aAnsweredAt - aRequestedAt,
             std::chrono::duration_cast<Duration>(kLatencyDecay * this->readLatency));
  // Ignores reads that return the known version or an older one. Version 0 stands for a row that
  // does not exist; its disappearance is a change.
  const std::uint64_t foundVersion = aRow.has_value() ? aRow->version : 0;
  if (this->rowRead && foundVersion < this->version && foundVersion != 0) {
    return;
  }
  if (this->rowRead && foundVersion == this->version) {
    this->lastReadAt = std::max(this->lastReadAt, aRequestedAt);
    return;
  }
  // A claim of this process has replaced the row that was read before it.
  const std::optional<Instant> expiryBefore = this->rowRead && !this->IsOwnClaim()
                                                ? std::optional(this->EarlierLeasesExpiry())
                                                : this->expiryBeforeOwnClaims;
  // Counts only the time in which reads showed that the row was unchanged: this process may not
  // have read it for a while.
  const bool endsGap =
    this->rowRead && this->lastReadAt - this->unchangedSince >= this->SilenceLimit();
  const bool isFirstRead = !this->rowRead;
  this->rowRead = true;
  this->version = foundVersion;
  this->unchangedSince = aRequestedAt;
  this->latestRenewal = aAnsweredAt;
  const std::uint64_t epochBefore = this->record.has_value() ? this->record->epoch : 0;
  const Instant readBefore = std::exchange(this->lastReadAt, aRequestedAt);
  this->record = aRow.has_value() ? DecodeLeaderRecord(aRow->value) : std::nullopt;
  if (this->record.has_value() && this->record->epoch != epochBefore) {
    this->epochFirstSeen = aRequestedAt;
    this->steadySince = aRequestedAt;
    this->begunAfter = isFirstRead ? std::nullopt : std::optional(readBefore);
  } else if (endsGap) {
    this->steadySince = aRequestedAt;
  }
  this->expiryBeforeOwnClaims = this->IsOwnClaim() ? expiryBefore : std::nullopt;
  this->highestEpoch =
    std::max(this->highestEpoch, this->record.has_value() ? this->record->epoch : 0);
}

bool LeaderElection::IsLeaderMuchSlower() const
{
  return this->record.has_value() && IsMuchFaster({ this->speed, this->coreShare },
                                                  { this->record->speed, this->record->coreShare },
                                                  this->settings);
}

bool LeaderElection::ShouldClaim(Instant aNow) const
{
  if (!this->rowRead) {
    return false;
  }
  if (!this->record.has_value()) {
    return true;
  }
  if (this->IsOwnEarlierProcess() || this->IsOwnClaim()) {
    return true;
  }
  const bool isThisEntryMuchSlower = IsMuchFaster({ this->record->speed, this->record->coreShare },
                                                  { this->speed, this->coreShare },
                                                  this->settings);
  const Duration slowEntryDelay =
    isThisEntryMuchSlower ? this->settings.slowEntryDelay : Duration::zero();
  const Duration unchangedFor = aNow - this->unchangedSince;
  if (this->record->released) {
    return unchangedFor >= slowEntryDelay;
  }
  if (this->IsLeaderMuchSlower() &&
      aNow - this->epochFirstSeen >= this->settings.minTakeoverInterval) {
    return true;
  }
  return unchangedFor >= this->SilenceLimit() + this->ShortTermDelay() + slowEntryDelay;
}

Duration LeaderElection::SilenceLimit() const
{
  // The names of the entry and of the term select one of eight delays. With the name of the entry
  // alone, the same entries claimed first after each leader.
  const std::string name = this->entry + "/" + std::to_string(this->highestEpoch);
  const auto slot = static_cast<int>(std::hash<std::string>{}(name) % 8);
  return this->settings.leaderTimeout + this->settings.claimJitter * slot / 8 +
         std::chrono::duration_cast<Duration>(this->settings.latencyFactor * this->readLatency);
}

Duration LeaderElection::ShortTermDelay() const
{
  if (!this->record.has_value() || this->record->shortTerms == 0 || this->IsLeaderSteady()) {
    return Duration::zero();
  }
  // The shift is at most kMaxShortTerms, which DecodeLeaderRecord checks.
  const std::int64_t factor = std::int64_t{ 1 } << (this->record->shortTerms - 1);
  return std::min(this->settings.shortTermDelay * factor, this->settings.maxShortTermDelay);
}

bool LeaderElection::IsLeaderSteady() const
{
  return this->unchangedSince - this->steadySince >= this->settings.steadyTime;
}

std::uint64_t LeaderElection::ClaimedShortTerms() const
{
  if (!this->record.has_value() || this->IsLeaderSteady()) {
    return 0;
  }
  const bool hadGap = this->steadySince != this->epochFirstSeen;
  const bool hasLastedShortly =
    this->begunAfter.has_value() &&
    this->unchangedSince - *this->begunAfter < this->settings.steadyTime;
  // A leader that was released, restarted or too slow does not count.
  const bool isShort = (hadGap || hasLastedShortly) && !this->record->released &&
                       !this->IsOwnEarlierProcess() && !this->IsOwnClaim() &&
                       !this->IsLeaderMuchSlower();
  return isShort ? std::min(this->record->shortTerms + 1, kMaxShortTerms)
                 : this->record->shortTerms;
}

bool LeaderElection::IsOwnEarlierProcess() const
{
  return this->record.has_value() && this->record->entry == this->entry &&
         this->record->process != this->process;
}

bool LeaderElection::IsOwnClaim() const
{
  return this->record.has_value() && this->record->entry == this->entry &&
         this->record->process == this->process;
}

Instant LeaderElection::EarlierLeasesExpiry() const
{
  // A leader that has released its row or ended extends no leases after its last renewal.
  const bool hasEnded =
    this->record.has_value() && (this->record->released || this->IsOwnEarlierProcess());
  const bool areEarlierLeasesKnown = this->record.has_value() && this->record->earlierLeasesMs >= 0;
  const Instant lastLeases = this->latestRenewal + this->settings.leaseBound;
  if (this->expiryBeforeOwnClaims.has_value()) {
    return std::max(lastLeases, *this->expiryBeforeOwnClaims);
  }
  const Instant ownLeases =
    hasEnded && areEarlierLeasesKnown ? lastLeases : lastLeases + this->settings.outageTolerance;
  // The leader before that one may have been superseded without noticing, and extended leases for
  // longer. A worker that has restarted may hold a longer lease than any leader extended.
  return areEarlierLeasesKnown
           ? std::max(ownLeases,
                      this->latestRenewal +
                        std::chrono::milliseconds(this->record->earlierLeasesMs))
           : ownLeases;
}

LeaderRecord LeaderElection::ClaimedRecord() const
{
  LeaderRecord claimed;
  claimed.entry = this->entry;
  claimed.process = this->process;
  claimed.epoch = this->highestEpoch + 1;
  claimed.renewal = 1;
  claimed.speed = this->speed;
  claimed.coreShare = this->coreShare;
  claimed.shortTerms = this->ClaimedShortTerms();
  claimed.earlierLeasesMs =
    std::max<std::int64_t>(ToMilliseconds(this->EarlierLeasesExpiry() - this->latestRenewal), 0);
  return claimed;
}

StoreTransaction LeaderElection::MakeClaim() const
{
  const RowKey key = jobs::LeaderRow();
  StoreTransaction claim;
  claim.conditions.push_back({ key, this->version });
  claim.changes.push_back({ key, EncodeLeaderRecord(this->ClaimedRecord()), false });
  return claim;
}

} // namespace oriolespread::cluster
