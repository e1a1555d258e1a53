#include "oriolespread/cluster/LeaderElection.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace oriolespread::cluster {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeaderRecord,
                                                entry,
                                                process,
                                                epoch,
                                                renewal,
                                                released,
                                                speed)

std::string EncodeLeaderRecord(const LeaderRecord& aRow)
{
  return nlohmann::json(aRow).dump();
}

std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& aBytes)
{
  const auto parsed = nlohmann::json::parse(aBytes, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  try {
    return parsed.get<LeaderRecord>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

LeaderElection::LeaderElection(ElectionSettings aSettings, std::string aEntry, std::string aProcess)
  : settings(aSettings)
  , entry(std::move(aEntry))
  , process(std::move(aProcess))
{
  const std::size_t hash = std::hash<std::string>{}(this->entry);
  this->wait = this->settings.silence + this->settings.jitter * static_cast<int>(hash % 8) / 8;
}

void LeaderElection::OnRow(const std::optional<StoredRow>& aRow, Instant aRequested)
{
  const std::uint64_t found = aRow.has_value() ? aRow->version : 0;
  if (this->read && found <= this->version && found != 0) {
    return;
  }
  if (this->read && found == 0 && this->version == 0) {
    return;
  }
  this->read = true;
  this->version = found;
  // The row may have been renewed just before it was read, and not before the read was asked for.
  this->unchangedSince = aRequested;
  const std::uint64_t epochBefore = this->row.has_value() ? this->row->epoch : 0;
  this->row = aRow.has_value() ? DecodeLeaderRecord(aRow->value) : std::nullopt;
  if (this->row.has_value() && this->row->epoch != epochBefore) {
    this->epochSince = aRequested;
  }
}

bool LeaderElection::IsLeaderMuchSlower() const
{
  return this->row.has_value() && this->row->speed > 0 &&
         this->speed >= this->settings.muchFaster * this->row->speed;
}

bool LeaderElection::ShouldClaim(Instant aNow) const
{
  if (!this->read) {
    return false;
  }
  if (!this->row.has_value()) {
    return true;
  }
  // A row of an earlier life of this entry has no living leader.
  if (this->row->entry == this->entry && this->row->process != this->process) {
    return true;
  }
  const bool slow = this->row->speed >= this->settings.muchFaster * this->speed;
  const Duration yield = slow && this->speed > 0 ? this->settings.yield : Duration::zero();
  const Duration still = aNow - this->unchangedSince;
  if (this->row->released) {
    return still >= yield;
  }
  if (this->IsLeaderMuchSlower() && aNow - this->epochSince >= this->settings.settled) {
    return true;
  }
  return still >= this->wait + yield;
}

LeaderRecord LeaderElection::ClaimedRecord() const
{
  LeaderRecord claimed;
  claimed.entry = this->entry;
  claimed.process = this->process;
  claimed.epoch = (this->row.has_value() ? this->row->epoch : 0) + 1;
  claimed.renewal = 1;
  claimed.speed = this->speed;
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
