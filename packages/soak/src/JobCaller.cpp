#include "JobCaller.h"

#include "SoakCluster.h"

#include "oriolespread/http/HttpTypes.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace oriolespread::soak {

namespace {

constexpr std::size_t kMaxOpenJobs = 2;
constexpr int kMaxPosts = 5;
constexpr double kSubmitChance = 0.25;
constexpr double kPendingChance = 0.2;
constexpr double kCancelChance = 0.85;
constexpr double kCancelShortChance = 0.1;
constexpr int kShortRunMs = 300;
// Longer than the bound for the end of cancelled work, counted from a cancellation in the first two
// seconds.
constexpr int kLongRunMs = 7000;
constexpr std::uint32_t kChainSteps = 30;
// As many as a stand-in worker takes have room by their cores.
constexpr std::int64_t kTaskMilliCores = 400;
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
// The time-out that an entry takes for callers that do not send one.
constexpr Duration kDefaultTimeout = std::chrono::milliseconds(3000);
// How much longer than its time-out a caller waits.
constexpr Duration kPatience = std::chrono::milliseconds(1000);

} // namespace

Duration JobCaller::RunTimeOf(const std::string& aPayload)
{
  return std::chrono::milliseconds(std::stoi(aPayload));
}

JobCaller::JobCaller(asio::io_context& aContext,
                     JobCallerOptions aOptions,
                     CallerDirectives& aDirectives)
  : context(aContext)
  , options(std::move(aOptions))
  , directives(aDirectives)
  , random(this->options.seed)
  , connection(aContext)
  , timer(aContext)
  , entry(this->options.home)
{
}

void JobCaller::Start()
{
  this->NextSoon();
}

void JobCaller::NextSoon()
{
  this->timer.expires_after(this->random.Exponential(this->options.pause));
  this->timer.async_wait([this](asio::error_code aError) {
    if (!aError && !this->directives.finish) {
      this->Next();
    }
  });
}

void JobCaller::Next()
{
  if (this->directives.avoided[this->entry]) {
    this->ChangeEntry();
  }
  if (this->CancelDueJob() || this->SubmitAgain() || this->SubmitNew()) {
    return;
  }
  if (this->open.empty() || this->random.Chance(kPendingChance)) {
    this->Send("GET", {}, {});
    return;
  }
  this->AskState();
}

bool JobCaller::CancelDueJob()
{
  const Instant now = BootClock::now();
  for (const std::string& id : this->open) {
    CallerJob& job = this->jobs.at(id);
    if (job.accepted && job.cancelDue != Instant{} && now >= job.cancelDue) {
      job.cancelDue = {};
      this->Send("DELETE", id, {});
      return true;
    }
  }
  return false;
}

bool JobCaller::SubmitAgain()
{
  for (const std::string& id : this->open) {
    if (this->jobs.at(id).submitting) {
      this->Post(id);
      return true;
    }
  }
  return false;
}

bool JobCaller::SubmitNew()
{
  if (this->directives.settle || this->open.size() >= kMaxOpenJobs ||
      !this->random.Chance(kSubmitChance)) {
    return false;
  }
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(6) << this->options.index << std::setw(10)
     << ++this->lastJob;
  CallerJob& job = this->jobs[id.str()];
  const double kind = this->random.Unit();
  job.kind = kind < 0.5    ? CallerJobKind::Short
             : kind < 0.75 ? CallerJobKind::Long
                           : CallerJobKind::Chain;
  job.body = this->MakeBody(id.str(), job.kind);
  this->open.push_back(id.str());
  this->Post(id.str());
  return true;
}

std::string JobCaller::MakeBody(const std::string& aId, CallerJobKind aKind)
{
  const int runMs = aKind == CallerJobKind::Long ? kLongRunMs : kShortRunMs;
  const std::uint32_t steps = aKind == CallerJobKind::Chain  ? kChainSteps
                              : aKind == CallerJobKind::Long ? 1
                                                             : 1 + this->random.Below(2);
  jobs::JobSpec spec;
  spec.payload = std::to_string(runMs) + " " + aId;
  for (std::uint32_t index = 0; index < steps; ++index) {
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count =
      aKind == CallerJobKind::Short ? 1 + static_cast<std::uint32_t>(this->random.Below(2)) : 1;
    step.demand = { kTaskMilliCores, 100, 0 };
    step.estimateMs = runMs;
    if (index > 0) {
      step.after = { index - 1 };
    }
  }
  return platformwire_testing::EncodeJob(spec);
}

void JobCaller::Post(const std::string& aJob)
{
  CallerJob& job = this->jobs.at(aJob);
  ++job.posts;
  this->Send("POST", aJob, job.body);
}

void JobCaller::AskState()
{
  this->Send("GET", this->open[this->random.Below(this->open.size())], {});
}

void JobCaller::Send(const std::string& aMethod, const std::string& aJob, const std::string& aBody)
{
  CallRecord record;
  record.caller = this->options.index;
  record.entry = this->entry;
  record.method = aMethod;
  record.job = aJob;
  record.timeout = kDefaultTimeout;
  std::ostringstream text;
  text << aMethod << " " << SoakCluster::kPrefix << aJob
       << " HTTP/1.1\r\nHost: " << SoakCluster::kHost << "\r\n";
  if (this->options.longTimeout > Duration::zero() && this->random.Chance(0.5)) {
    record.timeout = this->options.longTimeout;
    text << platformwire::kTimeoutHeader << ": " << ToMilliseconds(record.timeout) << "\r\n";
  }
  if (!aBody.empty()) {
    text << "Content-Type: application/json\r\nContent-Length: " << aBody.size() << "\r\n";
  }
  text << "\r\n" << aBody;
  this->connection.Call(this->options.entries[this->entry],
                        text.str(),
                        record.timeout + kPatience,
                        [this, record](const PlainExchange& aExchange) {
                          CallRecord done = record;
                          done.exchange = aExchange;
                          this->OnExchange(done);
                        });
}

void JobCaller::OnExchange(const CallRecord& aRecord)
{
  this->records.push_back(aRecord);
  if (!aRecord.job.empty()) {
    CallerJob& job = this->jobs.at(aRecord.job);
    if (aRecord.method == "POST") {
      this->OnPosted(job, aRecord);
    } else if (aRecord.method == "DELETE") {
      this->OnCancelled(job, aRecord);
    } else {
      this->OnShown(job, aRecord);
    }
    std::erase_if(this->open, [this](const std::string& aId) {
      const CallerJob& known = this->jobs.at(aId);
      return known.ended || (!known.accepted && !known.submitting);
    });
  }
  const PlainEnd end = aRecord.exchange.end;
  if (end == PlainEnd::NotConnected || end == PlainEnd::Silent) {
    this->ChangeEntry();
  }
  this->NextSoon();
}

void JobCaller::OnPosted(CallerJob& aJob, const CallRecord& aRecord)
{
  const PlainExchange& exchange = aRecord.exchange;
  if (exchange.end == PlainEnd::Answered && exchange.status == kHttpOk) {
    aJob.submitting = false;
    aJob.accepted = true;
    aJob.acceptedAt = exchange.endedAt;
    const bool isShort = aJob.kind == CallerJobKind::Short;
    if (this->random.Chance(isShort ? kCancelShortChance : kCancelChance)) {
      aJob.cancelDue =
        exchange.endedAt + this->random.Between(std::chrono::milliseconds(isShort ? 0 : 300),
                                                std::chrono::milliseconds(isShort ? 300 : 1800));
    }
    return;
  }
  aJob.submitting = aJob.posts < kMaxPosts;
}

void JobCaller::OnShown(CallerJob& aJob, const CallRecord& aRecord)
{
  const PlainExchange& exchange = aRecord.exchange;
  if (exchange.end != PlainEnd::Answered || exchange.status != kHttpOk) {
    return;
  }
  aJob.state = platformwire_testing::DecodeState(exchange.body);
  aJob.ended = !aJob.state.empty() && aJob.state != "queued" && aJob.state != "running";
}

void JobCaller::OnCancelled(CallerJob& aJob, const CallRecord& aRecord)
{
  const PlainExchange& exchange = aRecord.exchange;
  if (exchange.end == PlainEnd::Answered && exchange.status >= 200 && exchange.status < 300) {
    aJob.cancelAnswered = true;
    aJob.cancelAnsweredAt = exchange.endedAt;
    return;
  }
  // What was refused or surely not sent is sent again.
  const bool unanswered = exchange.end != PlainEnd::Answered && exchange.sentAt != Instant{};
  if (unanswered) {
    aJob.cancelUnansweredAt = exchange.sentAt;
  }
  if (!unanswered || this->options.repeatCancels) {
    aJob.cancelDue = BootClock::now() + kRetryPause;
  }
}

void JobCaller::ChangeEntry()
{
  const std::size_t count = this->options.entries.size();
  std::vector<std::size_t> others;
  for (std::size_t offset = 1; offset < count; ++offset) {
    const std::size_t other = (this->entry + offset) % count;
    if (!this->directives.avoided[other]) {
      others.push_back(other);
    }
  }
  if (!others.empty()) {
    this->entry =
      this->options.nextInTurn ? others.front() : others[this->random.Below(others.size())];
  }
}

} // namespace oriolespread::soak
