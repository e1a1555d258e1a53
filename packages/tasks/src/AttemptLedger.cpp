#include "oriolespread/tasks/AttemptLedger.h"

namespace oriolespread {

bool IsEnded(AttemptState aState)
{
  return aState == AttemptState::Completed || aState == AttemptState::Failed ||
         aState == AttemptState::Stopped;
}

LedgerAttempt* AttemptLedger::Find(const AttemptId& aAttempt)
{
  const auto it = this->attempts.find(aAttempt);
  return it == this->attempts.end() ? nullptr : &it->second;
}

LedgerAttempt& AttemptLedger::Add(const AttemptReport& aReport)
{
  LedgerAttempt& attempt = this->attempts[aReport.attempt];
  attempt.report = aReport;
  return attempt;
}

void AttemptLedger::SetState(LedgerAttempt& aAttempt, AttemptState aState)
{
  aAttempt.report.state = aState;
  aAttempt.reportedIn = 0;
  aAttempt.confirmed = false;
  aAttempt.nextEvent = Instant{};
}

void AttemptLedger::Forget(const AttemptId& aAttempt)
{
  this->attempts.erase(aAttempt);
  this->barred.insert(aAttempt);
}

bool AttemptLedger::Fits(const Resources& aGrant, const AttemptId& aExcept) const
{
  Resources sum = aGrant;
  for (const auto& [id, attempt] : this->attempts) {
    if (id != aExcept && !IsEnded(attempt.report.state)) {
      sum += attempt.report.grant;
    }
  }
  return sum.FitsIn(this->capacity);
}

bool AttemptLedger::HasLiveAttempt(const TaskId& aTask) const
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

std::vector<AttemptReport> AttemptLedger::TakeReports(bool aWhole, std::uint64_t aSequence)
{
  std::vector<AttemptReport> reports;
  for (auto& [id, attempt] : this->attempts) {
    if (!aWhole && attempt.confirmed) {
      continue;
    }
    if (attempt.reportedIn == 0) {
      attempt.reportedIn = aSequence;
    }
    reports.push_back(attempt.report);
  }
  return reports;
}

void AttemptLedger::Confirm(std::uint64_t aSequence)
{
  for (auto& [id, attempt] : this->attempts) {
    if (attempt.reportedIn != 0 && attempt.reportedIn <= aSequence) {
      attempt.confirmed = true;
    }
  }
}

Resources AttemptLedger::Used() const
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
