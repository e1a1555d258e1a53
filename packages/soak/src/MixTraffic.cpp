#include "MixTraffic.h"

#include "oriolespread/platformwire_testing/TestMessages.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace oriolespread::soak {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr Duration kRetryTime = std::chrono::milliseconds(300);
constexpr int kPostTries = 5;
// Lasting jobs are few; these are submitted at once, so that a short run has them as well.
constexpr double kFirstLastingPerRate = 0.3;
constexpr double kRepeatedShare = 0.25;
// Half of the cancellations come within this time of the acceptance.
constexpr Duration kPromptCancel = std::chrono::milliseconds(400);
constexpr Duration kLateCancel = std::chrono::seconds(7);
constexpr Duration kMeanLasting = std::chrono::seconds(15);
constexpr Duration kMinLasting = std::chrono::seconds(4);
constexpr Duration kCancelManyInterval = std::chrono::seconds(12);
constexpr double kCancelManyShare = 0.25;
constexpr Duration kAskInterval = std::chrono::seconds(1);
// A cancellation without an acknowledgement counts as acknowledged after this time in touch.
constexpr Duration kCancelAnswerTime = std::chrono::seconds(6);

struct QueueOfKind
{
  const char* prefix;
  int priority;
  std::uint32_t maxAttempts;
  double stretch;
  std::int64_t targetLatencyMs;
};

constexpr QueueOfKind kQueues[] = {
  { "/short/", 0, 3, 1.5, 300 },
  { "/long/", 2, 2, 2.0, 1000 },
  { "/lasting/", 0, 4, 2.2, 2500 },
};

const QueueOfKind& QueueOf(JobKind aKind)
{
  return kQueues[static_cast<std::size_t>(aKind)];
}

} // namespace

MixTraffic::MixTraffic(asio::io_context& aContext,
                       const Clients& aClients,
                       Promises& aPromises,
                       InTouchSince aInTouchSince,
                       MixTrafficOptions aOptions)
  : context(aContext)
  , clients(aClients)
  , promises(aPromises)
  , inTouchSince(std::move(aInTouchSince))
  , options(std::move(aOptions))
  , random(this->options.seed)
  , mix(this->random.Next(), this->options.workers)
  , cancelledShare(0.05 + 0.35 * this->random.Unit())
  , alive(std::make_shared<bool>(true))
{
}

MixTraffic::~MixTraffic()
{
  *this->alive = false;
}

std::vector<cluster::QueueConfig> MixTraffic::Queues(const std::string& aHost,
                                                     const std::string& aService)
{
  std::vector<cluster::QueueConfig> queues;
  for (const QueueOfKind& kind : kQueues) {
    cluster::QueueConfig& queue = queues.emplace_back();
    queue.host = aHost;
    queue.pathPrefix = kind.prefix;
    queue.timeoutMs = 3000;
    queue.policy = { "q" + std::to_string(queues.size()),
                     aService,
                     kind.priority,
                     kind.maxAttempts,
                     kind.stretch,
                     kind.targetLatencyMs,
                     {} };
  }
  return queues;
}

void MixTraffic::After(Duration aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aTime);
  timer->async_wait(
    [timer, stillAlive = this->alive, call = std::move(aCall)](asio::error_code aError) {
      if (!aError && *stillAlive) {
        call();
      }
    });
}

void MixTraffic::Call(const char* aMethod,
                      const std::string& aId,
                      std::string aBody,
                      Answered aAnswered)
{
  const auto& client = this->clients[this->random.Below(this->clients.size())];
  const std::string target = this->promises.jobs.at(aId).prefix + aId;
  const Instant sent = BootClock::now();
  const auto record = this->served.emplace(sent, false);
  client->Call({ aMethod, target, { { "Host", this->options.host } }, std::move(aBody) },
               kCallTimeout,
               [this, sent, record, stillAlive = this->alive, answered = std::move(aAnswered)](
                 const HttpResult& aResult) {
                 if (!*stillAlive) {
                   return;
                 }
                 if (aResult.end == HttpEnd::Answered) {
                   this->counts.slowestAnswer =
                     std::max(this->counts.slowestAnswer, BootClock::now() - sent);
                   const int status = aResult.response.status;
                   record->second = status < kHttpBadRequest || status == kHttpGone;
                 } else {
                   ++this->counts.unanswered;
                 }
                 answered(aResult);
               });
}

void MixTraffic::Start()
{
  const auto lasting = static_cast<std::size_t>(this->options.rate * kFirstLastingPerRate) + 1;
  for (std::size_t index = 0; index < lasting; ++index) {
    this->After(this->random.Between(Duration::zero(), std::chrono::seconds(2)),
                [this] { this->Submit(JobKind::Lasting); });
  }
  this->SubmitSoon();
  this->CancelManySoon();
}

ServedCount MixTraffic::CountServed(Instant aFrom, Instant aUntil) const
{
  ServedCount count;
  for (auto it = this->served.lower_bound(aFrom); it != this->served.end() && it->first < aUntil;
       ++it) {
    ++count.sent;
    count.served += it->second ? 1 : 0;
  }
  return count;
}

void MixTraffic::CancelManySoon()
{
  this->After(this->random.Exponential(kCancelManyInterval), [this] {
    if (BootClock::now() >= this->options.until) {
      return;
    }
    for (const auto& [id, job] : this->promises.jobs) {
      if (job.accepted && !job.cancelled && !job.ended && !job.spec.steps.front().longRunning &&
          this->random.Chance(kCancelManyShare)) {
        this->Cancel(id);
      }
    }
    this->CancelManySoon();
  });
}

void MixTraffic::SubmitSoon()
{
  const auto mean = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0)) /
                    std::max(this->options.rate, 0.01);
  this->After(this->random.Exponential(std::chrono::duration_cast<Duration>(mean)), [this] {
    if (BootClock::now() < this->options.until) {
      this->Submit(this->mix.NextKind());
      this->SubmitSoon();
    }
  });
}

void MixTraffic::Submit(JobKind aKind)
{
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(16) << ++this->lastJob;
  SoakJob& job = this->promises.jobs[id.str()];
  job.SetSpec(this->mix.Make(aKind, id.str()));
  job.prefix = QueueOf(aKind).prefix;
  job.maxAttempts = QueueOf(aKind).maxAttempts;
  this->Post(id.str(), kPostTries);
}

void MixTraffic::Post(const std::string& aId, int aTries)
{
  const std::string body = platformwire_testing::EncodeJob(this->promises.jobs.at(aId).spec);
  this->Call("POST", aId, body, [this, aId, aTries](const HttpResult& aResult) {
    SoakJob& job = this->promises.jobs.at(aId);
    if (aResult.IsAnswer(kHttpOk)) {
      job.submitting = false;
      job.onlyRefused = false;
      if (!std::exchange(job.accepted, true)) {
        job.acceptedAt = BootClock::now();
        this->OnAccepted(aId);
      }
      return;
    }
    const bool refused = aResult.end == HttpEnd::NotSent || aResult.end == HttpEnd::Refused ||
                         aResult.IsAnswer(kHttpUnavailable) ||
                         aResult.IsAnswer(kHttpTooManyRequests);
    job.onlyRefused = job.onlyRefused && refused;
    job.submitting = !job.accepted && aTries > 1;
    if (aTries > 1) {
      this->After(kRetryTime, [this, aId, aTries] { this->Post(aId, aTries - 1); });
    }
  });
}

void MixTraffic::OnAccepted(const std::string& aId)
{
  ++this->counts.accepted;
  if (this->random.Chance(kRepeatedShare)) {
    ++this->counts.repeated;
    this->After(this->random.Between(Duration::zero(), std::chrono::seconds(4)),
                [this, aId] { this->Post(aId, 1); });
  }
  this->CancelLater(aId);
  this->AskAgain(aId);
}

void MixTraffic::CancelLater(const std::string& aId)
{
  const bool lasts = this->promises.jobs.at(aId).spec.steps.front().longRunning;
  Duration wait;
  if (this->random.Chance(this->cancelledShare)) {
    wait = this->random.Chance(0.5) ? this->random.Between(Duration::zero(), kPromptCancel)
                                    : this->random.Between(Duration::zero(), kLateCancel);
  } else if (lasts) {
    wait = kMinLasting + this->random.Exponential(kMeanLasting);
  } else {
    return;
  }
  this->After(wait, [this, aId] {
    if (!this->promises.jobs.at(aId).ended) {
      this->Cancel(aId);
    }
  });
}

void MixTraffic::CancelLasting()
{
  for (const auto& [id, job] : this->promises.jobs) {
    if (job.accepted && !job.cancelled && job.spec.steps.front().longRunning) {
      this->Cancel(id);
    }
  }
}

void MixTraffic::Cancel(const std::string& aId)
{
  SoakJob& job = this->promises.jobs.at(aId);
  if (!job.cancelled) {
    // From its sending on the job may be shown as cancelled; the bound counts from its answer.
    ++this->counts.cancellations;
    job.cancelled = true;
    job.cancelSentAt = BootClock::now();
    job.cancelledAt = job.cancelSentAt + std::chrono::hours(1);
    job.mayHaveEndedAt = std::min(job.mayHaveEndedAt, job.cancelSentAt);
  }
  this->Call("DELETE", aId, {}, [this, aId](const HttpResult& aResult) {
    SoakJob& known = this->promises.jobs.at(aId);
    const Instant now = BootClock::now();
    if (aResult.IsAnswer(kHttpOk) || aResult.IsAnswer(kHttpGone)) {
      known.cancelledAt = std::min(known.cancelledAt, now);
      return;
    }
    const Instant from = std::max(known.cancelSentAt, this->inTouchSince());
    if (now > from + kCancelAnswerTime && known.cancelledAt > now) {
      this->promises.Break("a cancellation is not acknowledged: " + aId + ", first sent at " +
                           this->promises.TimeText(known.cancelSentAt));
      known.cancelledAt = now;
    }
    this->After(kRetryTime, [this, aId] { this->Cancel(aId); });
  });
}

void MixTraffic::AskAgain(const std::string& aId)
{
  this->After(this->random.Between(kAskInterval / 2, kAskInterval * 3 / 2), [this, aId] {
    const SoakJob& job = this->promises.jobs.at(aId);
    if (!job.ended) {
      this->Ask(aId);
      this->AskAgain(aId);
      return;
    }
    // An ended job is asked for once more while callers may ask for it.
    const Instant now = BootClock::now();
    const Instant latest = std::min(job.mayHaveEndedAt, now) + this->options.keepEnded;
    if (latest > now) {
      this->After(this->random.Between(Duration::zero(), latest - now),
                  [this, aId] { this->Ask(aId); });
    }
  });
}

void MixTraffic::Ask(const std::string& aId)
{
  this->Call("GET", aId, {}, [this, aId](const HttpResult& aResult) {
    if (aResult.IsAnswer(kHttpGone)) {
      this->promises.OnUnknown(aId);
    } else if (aResult.IsAnswer(kHttpOk)) {
      this->promises.OnShown(aId, platformwire_testing::DecodeState(aResult.response.body));
    }
  });
}

platformwire_testing::StandInRunProfile MixTraffic::Profile(const std::string& aTask,
                                                            std::uint64_t aRun) const
{
  const std::size_t first = aTask.find('.');
  const std::size_t second = aTask.find('.', first + 1);
  const auto job = this->promises.jobs.find(aTask.substr(0, first));
  const std::size_t step = std::stoul(aTask.substr(second + 1));
  return job == this->promises.jobs.end() || step >= job->second.spec.steps.size()
           ? platformwire_testing::StandInRunProfile{}
           : this->mix.Profile(job->second.spec.steps[step], aTask, aRun);
}

} // namespace oriolespread::soak
