#include "StopChecks.h"

#include "oriolespread/http/HttpTypes.h"

#include <sys/wait.h>

#include <algorithm>
#include <sstream>

namespace oriolespread::soak {

namespace {

// A request that arrives while its connection ends may be left unanswered.
constexpr Duration kUnansweredTime = std::chrono::milliseconds(200);
// A process has to exit by itself within this time of SIGTERM.
constexpr Duration kExitTime = std::chrono::milliseconds(6000);
// After the answer to a cancellation no task may start after the first time, nor run after the
// second.
constexpr Duration kCancelStartTime = std::chrono::milliseconds(4000);
constexpr Duration kCancelRunTime = std::chrono::milliseconds(4900);
// The time in which a caller without an answer learns that there is none.
constexpr Duration kCancelUnansweredTime = std::chrono::milliseconds(6000);
constexpr Duration kJobTime = std::chrono::seconds(30);

} // namespace

std::string StopChecks::At(Instant aTime) const
{
  return std::to_string(ToMilliseconds(aTime - this->start)) + " ms";
}

void StopChecks::Check(const std::vector<std::unique_ptr<JobCaller>>& aCallers)
{
  this->CheckStops();
  for (const auto& caller : aCallers) {
    for (const CallRecord& record : caller->Records()) {
      this->CheckRecord(record);
      const auto job = caller->Jobs().find(record.job);
      if (record.exchange.status == kHttpGone && job != caller->Jobs().end() &&
          job->second.accepted && job->second.acceptedAt <= record.exchange.sentAt) {
        this->broken.push_back("an accepted job is not known: " + this->Describe(record));
      }
    }
    for (const auto& [id, job] : caller->Jobs()) {
      this->CheckJob(id, job);
    }
  }
  for (const std::string& process : this->unplannedEnds) {
    this->broken.push_back("ended without a signal: " + process);
  }
  for (const std::string& id : this->unknownJobs) {
    this->broken.push_back("an accepted job is not known: " + id);
  }
  for (const std::string& id : this->openJobs) {
    this->broken.push_back("an accepted job did not end: " + id);
  }
}

void StopChecks::CheckStops()
{
  for (const PlannedStop& stop : this->stops) {
    const std::string what = stop.name + ", SIGTERM at " + this->At(stop.signalAt);
    if (!stop.exitedAt.has_value()) {
      this->broken.push_back("runs " + std::to_string(ToMilliseconds(kExitTime)) +
                             " ms after SIGTERM: " + what);
      continue;
    }
    const Duration took = *stop.exitedAt - stop.signalAt;
    this->counts.slowestExitMs = std::max(this->counts.slowestExitMs, ToMilliseconds(took));
    if (took > kExitTime) {
      this->broken.push_back("exited " + std::to_string(ToMilliseconds(took)) +
                             " ms after SIGTERM: " + what);
    }
    if (!WIFEXITED(stop.exitStatus) || WEXITSTATUS(stop.exitStatus) != 0) {
      this->broken.push_back("exited with wait status " + std::to_string(stop.exitStatus) + ": " +
                             what);
    }
    if (!stop.readyAt.has_value()) {
      this->broken.push_back("was not ready again: " + what);
    }
  }
}

const PlannedStop* StopChecks::StopBefore(std::size_t aEntry, Instant aTime) const
{
  const PlannedStop* last = nullptr;
  for (const PlannedStop& stop : this->stops) {
    if (stop.process == aEntry && stop.signalAt <= aTime) {
      last = &stop;
    }
  }
  return last;
}

std::string StopChecks::Describe(const CallRecord& aRecord) const
{
  const PlainExchange& exchange = aRecord.exchange;
  std::ostringstream text;
  text << "caller " << aRecord.caller << ", "
       << (aRecord.job.empty() ? std::string("count of pending jobs")
                               : aRecord.method + " " + aRecord.job)
       << " at entry " << aRecord.entry + 1 << ", time-out " << ToMilliseconds(aRecord.timeout)
       << " ms, " << (exchange.kept ? "kept" : "new")
       << " connection: " << PlainEndName(exchange.end) << " "
       << ToMilliseconds(exchange.endedAt - exchange.sentAt) << " ms after its last byte with "
       << exchange.received << " bytes of an answer, ";
  const PlannedStop* stop = this->StopBefore(aRecord.entry, exchange.endedAt);
  if (stop == nullptr) {
    text << "no SIGTERM before";
  } else {
    text << ToMilliseconds(exchange.endedAt - stop->signalAt) << " ms after SIGTERM";
  }
  text << ", at " << this->At(exchange.endedAt);
  return text.str();
}

void StopChecks::CheckRecord(const CallRecord& aRecord)
{
  const PlainExchange& exchange = aRecord.exchange;
  ++this->counts.requests;
  if (exchange.end == PlainEnd::NotConnected) {
    const PlannedStop* stop = this->StopBefore(aRecord.entry, exchange.endedAt);
    const bool stopping =
      stop != nullptr && (!stop->readyAt.has_value() || *stop->readyAt >= exchange.endedAt);
    ++(stopping ? this->counts.notConnectedInStops : this->counts.notConnectedOtherwise);
    return;
  }
  if (exchange.sentAt == Instant{}) {
    ++this->counts.notSent;
    return;
  }
  const Duration age = exchange.endedAt - exchange.sentAt;
  if (exchange.end == PlainEnd::Answered) {
    ++this->counts.statuses[exchange.status];
    this->counts.slowestAnswerMs = std::max(this->counts.slowestAnswerMs, ToMilliseconds(age));
    this->counts.answeredTooLate += age > aRecord.timeout ? 1 : 0;
    if (exchange.excess > 0) {
      this->broken.push_back("bytes after the end of an answer: " + this->Describe(aRecord));
    }
    return;
  }
  if (exchange.end == PlainEnd::Silent) {
    ++this->counts.silent;
    this->findings.push_back("no answer within its time-out: " + this->Describe(aRecord));
  } else if (age >= aRecord.timeout) {
    ++this->counts.usedUpTimeouts;
  } else if (age <= kUnansweredTime) {
    ++this->counts.unansweredEarly;
  } else {
    ++this->counts.unansweredLate;
    this->broken.push_back("ended without an answer: " + this->Describe(aRecord));
  }
}

void StopChecks::CheckJob(const std::string& aId, const CallerJob& aJob)
{
  ++this->counts.jobs;
  this->counts.accepted += aJob.accepted ? 1 : 0;
  this->counts.cancelsAnswered += aJob.cancelAnswered ? 1 : 0;
  const bool unanswered = !aJob.cancelAnswered && aJob.cancelUnansweredAt != Instant{};
  this->counts.cancelsUnanswered += unanswered ? 1 : 0;
  Instant lastEnd = aJob.acceptedAt;
  for (const WorkerRun& run : this->runs) {
    if (run.job != aId) {
      continue;
    }
    lastEnd = std::max(lastEnd, run.endedAt.value_or(lastEnd));
    const std::string what = run.task + " on " + run.worker;
    if (aJob.cancelAnswered) {
      const Duration started = run.startedAt - aJob.cancelAnsweredAt;
      const Instant latest = aJob.cancelAnsweredAt + kCancelRunTime;
      const std::string when = ", answered at " + this->At(aJob.cancelAnsweredAt);
      if (started > kCancelStartTime) {
        this->broken.push_back("started " + std::to_string(ToMilliseconds(started)) +
                               " ms after the answer to its cancellation: " + what + when);
      } else if (!run.endedAt.has_value() || *run.endedAt > latest) {
        this->broken.push_back(
          "ran on " + std::to_string(ToMilliseconds(kCancelRunTime)) +
          " ms after the answer to its cancellation: " + what + when +
          (run.endedAt.has_value() ? ", ended at " + this->At(*run.endedAt) : ""));
      }
    } else if (unanswered &&
               run.startedAt - aJob.cancelUnansweredAt > kCancelUnansweredTime + kCancelStartTime) {
      ++this->counts.startedAfterUnansweredCancel;
      this->findings.push_back(
        "started " + std::to_string(ToMilliseconds(run.startedAt - aJob.cancelUnansweredAt)) +
        " ms after a cancellation that got no answer: " + what);
    }
  }
  if (!aJob.accepted) {
    return;
  }
  const Duration took = lastEnd - aJob.acceptedAt;
  this->counts.slowestJobMs = std::max(this->counts.slowestJobMs, ToMilliseconds(took));
  if (took > kJobTime) {
    this->broken.push_back("ran until " + std::to_string(ToMilliseconds(took)) +
                           " ms after it was accepted: " + aId);
  }
}

std::string StopChecks::Figures() const
{
  const Counts& c = this->counts;
  std::ostringstream text;
  text << c.requests << " requests, " << c.accepted << " of " << c.jobs << " jobs accepted, "
       << this->stops.size() << " stops, " << c.unansweredLate << " unanswered, "
       << c.unansweredEarly << " unanswered within 200 ms, " << c.usedUpTimeouts
       << " unanswered after their time-out, " << c.silent << " silent, " << c.answeredTooLate
       << " answered after their time-out, " << c.notSent << " not sent, " << c.notConnectedInStops
       << " connections refused by stopping entries, " << c.notConnectedOtherwise
       << " by others; cancellations " << c.cancelsAnswered << " answered, " << c.cancelsUnanswered
       << " unanswered with " << c.startedAfterUnansweredCancel
       << " starts 10 s later; slowest exit " << c.slowestExitMs << " ms, answer "
       << c.slowestAnswerMs << " ms, job " << c.slowestJobMs << " ms; statuses";
  for (const auto& [status, count] : c.statuses) {
    text << " " << status << ":" << count;
  }
  return text.str();
}

} // namespace oriolespread::soak
