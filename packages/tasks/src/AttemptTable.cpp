#include "oriolespread/tasks/AttemptTable.h"

namespace oriolespread {

bool IsEnded(AttemptState aState)
{
  return aState == AttemptState::Completed || aState == AttemptState::Failed ||
         aState == AttemptState::Stopped;
}

TrackedAttempt* AttemptTable::Find(const AttemptId& aAttempt)
{
  const auto it = this->attempts.find(aAttempt);
  return it == this->attempts.end() ? nullptr : &it->second;
}

TrackedAttempt& AttemptTable::Add(const AttemptReport& aReport)
{
  TrackedAttempt& attempt = this->attempts[aReport.attempt];
  attempt.report = aReport;
  return attempt;
}

void AttemptTable::SetState(TrackedAttempt& aAttempt, AttemptState aState)
{
  aAttempt.report.state = aState;
  aAttempt.firstHeartbeat = 0;
  aAttempt.acknowledged = false;
  aAttempt.nextEvent = Instant{};
}

void AttemptTable::Forget(const AttemptId& aAttempt)
{
  this->attempts.erase(aAttempt);
  this->tombstones.insert(aAttempt);
}

bool AttemptTable::Fits(const Resources& aGrant, const AttemptId& aExcept) const
{
  Resources sum = aGrant;
  for (const auto& [id, attempt] : this->attempts) {
    if (id != aExcept && !IsEnded(attempt.report.state)) {
      sum += attempt.report.grant;
    }
  }
  return sum.FitsIn(this->capacity);
}

bool AttemptTable::HasLiveAttempt(const TaskId& aTask) const
{
  for (auto it = this->attempts.lower_bound(AttemptId{ aTask, {} });
       it != this->attempts.end() && it->first.task == aTask;
       ++it) {
    if (!IsEnded(it->second.report.state)) {
      return true;
    }
  }
  return false;
}

std::vector<AttemptReport> AttemptTable::PrepareReports(bool aAll, std::uint64_t aSequence)
{
  std::vector<AttemptReport> reports;
  for (auto& [id, attempt] : this->attempts) {
    if (!aAll && attempt.acknowledged) {
      continue;
    }
    if (attempt.firstHeartbeat == 0) {
      attempt.firstHeartbeat = aSequence;
    }
    reports.push_back(attempt.report);
  }
  return reports;
}

void AttemptTable::Acknowledge(std::uint64_t aSequence)
{
  for (auto& [id, attempt] : this->attempts) {
    if (attempt.firstHeartbeat != 0 && attempt.firstHeartbeat <= aSequence) {
      attempt.acknowledged = true;
    }
  }
}

Resources AttemptTable::Used() const
{
  Resources sum;
  for (const auto& [id, attempt] : this->attempts) {
    if (!IsEnded(attempt.report.state)) {
      sum += attempt.report.grant;
    }
  }
  return sum;
}

} // namespace oriolespread
