#include "JobApi.h"

#include "MultiRangeReader.h"
#include "UnixTime.h"
#include "absl/strings/numbers.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/jobs/StepOrder.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

#include <algorithm>
#include <chrono>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;
using jobs::JobState;

namespace {

// The timeout for callers that do not send one.
constexpr std::int64_t kDefaultCallerTimeoutMs = 3000;
// The time reserved for the response to reach the caller.
constexpr Duration kResponseMargin = std::chrono::milliseconds(250);
// The time reserved when calls to the store have used the rest: each has its least timeout, and
// late turns of the event loop delay them.
constexpr Duration kMinResponseMargin = std::chrono::milliseconds(100);
// The least timeout of a call to the store. Most calls are answered within a tenth of it.
constexpr Duration kMinStoreTimeout = std::chrono::milliseconds(100);
// Attempts at a request after which it is refused if the store has refused all of them. Another
// entry asks the next one instead.
constexpr int kMaxRefusedAttempts = 2;
constexpr int kMaxRefusedAttemptsForEntry = 1;
// Each entry reads the leadership row every 0.3 s or writes it, so that one answer may be lost.
constexpr Duration kMaxStoreSilence = std::chrono::milliseconds(700);
constexpr std::size_t kMaxCachedEndedJobs = 20000;

std::int64_t CallerTimeoutMs(const HttpRequest& aRequest, const cluster::QueueConfig& aQueue)
{
  const std::string_view text = FindHeader(aRequest.headers, platformwire::kTimeoutHeader);
  std::int64_t timeoutMs = kDefaultCallerTimeoutMs;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &timeoutMs) ||
      timeoutMs <= 0) {
    timeoutMs = kDefaultCallerTimeoutMs;
  }
  return aQueue.timeoutMs > 0 ? std::min(timeoutMs, aQueue.timeoutMs) : timeoutMs;
}

std::vector<cluster::RowRange> WaitingRanges(const std::string& aQueue)
{
  std::vector<cluster::RowRange> ranges;
  for (const std::string& prefix : jobs::WaitingKeyPrefixes(aQueue)) {
    // Each prefix ends with '/'; '0' is the character after '/'.
    const std::string end = prefix.substr(0, prefix.size() - 1) + "0";
    for (cluster::RowRange& range : JobTableRanges(jobs::kWaitingTable, prefix, end)) {
      ranges.push_back(std::move(range));
    }
  }
  return ranges;
}

bool IsLongRunning(const jobs::JobSpec& aSpec)
{
  return std::any_of(aSpec.steps.begin(), aSpec.steps.end(), [](const jobs::StepSpec& aStep) {
    return aStep.longRunning;
  });
}

} // namespace

JobApi::JobApi(asio::io_context& aContext,
               platformwire::StoreClient& aStore,
               const ConfigWatcher& aConfig,
               RequestForwarder& aForwarder,
               Counters& aCounters)
  : context(aContext)
  , store(aStore)
  , config(aConfig)
  , forwarder(aForwarder)
  , counters(aCounters)
{
}

void JobApi::Handle(const HttpRequest& aRequest, Sender aSender, HttpServer::Reply aReply)
{
  auto request = std::make_shared<Request>();
  request->http = aRequest;
  request->fromEntry = aSender == Sender::Entry;
  request->forwardable = aSender == Sender::Caller;
  request->reply = std::move(aReply);
  request->arrivedAt = BootClock::now();
  const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  if (!this->config.Config().has_value()) {
    this->Respond(request, kHttpUnavailable, {}, "no_configuration");
    return;
  }
  const cluster::QueueConfig* queue =
    this->config.Config()->FindQueue(FindHeader(aRequest.headers, "Host"), path);
  if (queue == nullptr) {
    this->Respond(request, kHttpNotFound, {}, "no_queue");
    return;
  }
  request->deadline = request->arrivedAt +
                      std::chrono::milliseconds(CallerTimeoutMs(aRequest, *queue)) -
                      kResponseMargin;
  request->queue = *queue;
  request->jobId = path.substr(queue->pathPrefix.size());
  if (this->IsStoreReachable()) {
    this->Execute(request);
    return;
  }
  if (request->fromEntry) {
    this->Respond(request, kHttpUnavailable, {}, "store_unreachable");
    return;
  }
  this->Forward(request, [this, request] { this->Execute(request); });
}

void JobApi::Execute(const RequestPtr& aRequest)
{
  const std::string& method = aRequest->http.method;
  if (aRequest->jobId.empty() && method == "GET") {
    aRequest->kind = "pending";
    this->CountPending(aRequest);
    return;
  }
  if (!platformwire::IsJobId(aRequest->jobId)) {
    this->Respond(aRequest, kHttpNotFound, {}, "no_such_path");
    return;
  }
  if (method == "POST") {
    aRequest->kind = "submit";
    this->Submit(aRequest);
  } else if (method == "GET") {
    aRequest->kind = "state";
    this->GetState(aRequest);
  } else if (method == "DELETE") {
    aRequest->kind = "cancel";
    this->Cancel(aRequest);
  } else {
    this->Respond(aRequest, kHttpNotFound, {}, "no_such_method");
  }
}

bool JobApi::IsStoreReachable() const
{
  return BootClock::now() - this->store.LastAnswerAt() < kMaxStoreSilence;
}

void JobApi::Forward(const RequestPtr& aRequest, std::function<void()> aOtherwise)
{
  aRequest->forwardable = false;
  this->forwarder.Forward(
    aRequest->http,
    this->DeadlineOf(*aRequest),
    [this, aRequest, otherwise = std::move(aOtherwise)](const ForwardResult& aResult) {
      aRequest->maybeApplied |= aResult.maybeApplied;
      // The other entry does not know of attempts before its own.
      const bool isKnown = aResult.response.has_value() &&
                           (aResult.response->status != kHttpBadRequest || !aRequest->maybeApplied);
      if (isKnown) {
        this->Respond(aRequest, aResult.response->status, aResult.response->body, "forwarded");
        return;
      }
      otherwise();
    });
}

void JobApi::RespondBy(Instant aTime)
{
  this->latestStoreTime = aTime - kResponseMargin;
  this->latestDeadline = this->latestStoreTime - kMinStoreTimeout;
}

Instant JobApi::DeadlineOf(const Request& aRequest) const
{
  return std::min(aRequest.deadline, this->latestDeadline);
}

Duration JobApi::RemainingStoreTimeout(const Request& aRequest) const
{
  const Instant now = BootClock::now();
  const Duration timeout =
    std::clamp(this->DeadlineOf(aRequest) - now, kMinStoreTimeout, kStoreTimeout);
  return std::clamp(this->LastStoreTime(aRequest) - now, Duration::zero(), timeout);
}

Instant JobApi::LastStoreTime(const Request& aRequest) const
{
  const Instant forCaller = std::max(aRequest.deadline + kResponseMargin - kMinResponseMargin,
                                     aRequest.arrivedAt + kMinStoreTimeout);
  return std::min(forCaller, this->latestStoreTime);
}

bool JobApi::RespondIfTimeIsOver(const RequestPtr& aRequest)
{
  if (BootClock::now() < this->LastStoreTime(*aRequest)) {
    return false;
  }
  this->Respond(
    aRequest, aRequest->maybeApplied ? kHttpGatewayTimeout : kHttpUnavailable, {}, "time_over");
  return true;
}

void JobApi::Submit(const RequestPtr& aRequest)
{
  auto spec = platformwire::DecodeJob(aRequest->http.body);
  if (!spec.ok()) {
    Log(LogLevel::Warning,
        "job_unreadable",
        { { "job", aRequest->jobId }, { "reason", std::string(spec.status().message()) } });
    this->Respond(aRequest, kHttpBadRequest, {}, "unreadable_job");
    return;
  }
  jobs::JobRecord& record = aRequest->record;
  record.policy = aRequest->queue.policy;
  record.policy.address = aRequest->queue.Address();
  record.spec = *std::move(spec);
  record.submittedUnixMs = CurrentUnixMs();
  const cluster::StoreTransaction transaction =
    MakeSubmission(*aRequest, aRequest->jobId, this->FindJobs(*aRequest, {}).Conditions());
  const std::size_t bytes = transaction.changes.front().value.size();
  if (bytes > jobs::kMaxRowBytes) {
    // The store would refuse every attempt to store it.
    Log(LogLevel::Warning,
        "job_too_large",
        { { "job", aRequest->jobId }, { "bytes", bytes }, { "limit", jobs::kMaxRowBytes } });
    this->Respond(aRequest, kHttpBadRequest, {}, "job_too_large");
    return;
  }
  if (jobs::JobRecord read; !jobs::DecodeJobRecord(transaction.changes.front().value, read)) {
    // The leader would ignore the job.
    Log(LogLevel::Warning,
        "job_not_storable",
        { { "job", aRequest->jobId }, { "queue_bytes", record.policy.queue.size() } });
    this->Respond(aRequest, kHttpBadRequest, {}, "job_not_storable");
    return;
  }
  if (const auto retryAfterSeconds = this->FindRefusal(*aRequest, record);
      retryAfterSeconds.has_value()) {
    this->RefuseUnlessStored(aRequest, transaction, *retryAfterSeconds);
    return;
  }
  this->Commit(aRequest, transaction);
}

StoredJobs JobApi::FindJobs(const Request& aRequest,
                            const std::vector<cluster::StoredRow>& aRows) const
{
  return StoredJobs::Find(aRows, aRequest.jobId, aRequest.queue, *this->config.Config());
}

cluster::StoreTransaction JobApi::MakeSubmission(Request& aRequest,
                                                 const std::string& aKey,
                                                 std::vector<cluster::RowCondition> aConditions)
{
  jobs::JobRecord& record = aRequest.record;
  record.id = aKey;
  cluster::StoreTransaction transaction;
  transaction.conditions = std::move(aConditions);
  transaction.changes.push_back({ jobs::JobRow(aKey), jobs::EncodeJobRecord(record), false });
  transaction.changes.push_back(jobs::MakeWaitingRow(record.policy.queue, aKey));
  return transaction;
}

void JobApi::OnSubmissionConflict(const RequestPtr& aRequest,
                                  const cluster::StoreTransaction& aTransaction,
                                  const std::vector<cluster::StoredRow>& aCurrent)
{
  const StoredJobs found = this->FindJobs(*aRequest, aCurrent);
  if (found.Own() != nullptr) {
    // An earlier attempt or an earlier request has stored it.
    this->Respond(aRequest, kHttpOk, "{}", "stored_before");
  } else if (found.HasUnreadable() || aCurrent.empty()) {
    this->Retry(aRequest, "row_unreadable", [this, aRequest, aTransaction] {
      this->Commit(aRequest, aTransaction);
    });
  } else if (!found.FreeKey().has_value()) {
    this->RefuseIdentifier(aRequest);
  } else if (aTransaction.conditions.front().version != 0) {
    // The read that the transaction was formed by was behind, or the other job has been removed.
    this->Retry(
      aRequest, "identifier_changed", [this, aRequest] { this->SubmitBesideOthers(aRequest); });
  } else {
    this->SubmitBesideOthers(aRequest);
  }
}

void JobApi::SubmitBesideOthers(const RequestPtr& aRequest)
{
  ++aRequest->attempts;
  this->ReadJobs(
    aRequest,
    [this, aRequest] { this->SubmitBesideOthers(aRequest); },
    [this, aRequest](const StoredJobs& aFound) {
      const std::optional<std::string> key = aFound.FreeKey();
      if (aFound.Own() != nullptr) {
        this->Respond(aRequest, kHttpOk, "{}", "stored_before");
      } else if (!key.has_value()) {
        this->RefuseIdentifier(aRequest);
      } else {
        this->Commit(aRequest, MakeSubmission(*aRequest, *key, aFound.Conditions()));
      }
    });
}

void JobApi::RefuseIdentifier(const RequestPtr& aRequest)
{
  this->Respond(aRequest,
                aRequest->maybeApplied ? kHttpGatewayTimeout : kHttpUnavailable,
                {},
                "identifier_in_use");
}

std::optional<std::int64_t> JobApi::FindRefusal(const Request& aRequest,
                                                const jobs::JobRecord& aRecord)
{
  // A request that another entry or the store has seen may be stored later. It is forwardable only
  // before that, and never if another entry has sent it.
  const bool isFirstAttempt = aRequest.forwardable && aRequest.attempts == 0;
  if (this->findWait == nullptr || !isFirstAttempt || aRecord.spec.repeats > 0 ||
      IsLongRunning(aRecord.spec)) {
    return std::nullopt;
  }
  const jobs::QueuePolicy& policy = aRecord.policy;
  const std::optional<cluster::PublishedWait> wait =
    this->findWait(policy.service, policy.priority);
  const cluster::AdmissionRequest request{
    aRequest.jobId, policy.queue, jobs::CriticalPathMs(aRecord.spec), jobs::ObjectiveMs(aRecord)
  };
  const cluster::AdmissionDecision decision =
    this->admission.Decide(request, wait, BootClock::now());
  if (!decision.refused) {
    return std::nullopt;
  }
  Log(LogLevel::Info,
      "job_without_room",
      { { "job", aRecord.id },
        { "queue", policy.queue },
        { "service", policy.service },
        { "priority", policy.priority },
        { "wait_ms", wait->waitMs },
        { "expected_end_ms", decision.expectedEndMs },
        { "objective_ms", request.objectiveMs },
        { "retry_after_s", decision.retryAfterSeconds } });
  return decision.retryAfterSeconds;
}

void JobApi::RefuseUnlessStored(const RequestPtr& aRequest,
                                const cluster::StoreTransaction& aSubmission,
                                std::int64_t aRetryAfterSeconds)
{
  if (this->RespondIfTimeIsOver(aRequest)) {
    return;
  }
  this->store.Read(
    StoredJobs::Range(aRequest->jobId),
    this->RemainingStoreTimeout(*aRequest),
    [this, aRequest, aSubmission, aRetryAfterSeconds](const cluster::ReadResult& aResult) {
      const StoredJobs found = this->FindJobs(*aRequest, aResult.rows);
      if (aResult.end != ReadEnd::Done || aResult.unreadableRows > 0 || found.HasUnreadable()) {
        this->Commit(aRequest, aSubmission);
        return;
      }
      if (found.Own() != nullptr) {
        this->Respond(aRequest, kHttpOk, "{}", "stored_before");
      } else {
        aRequest->retryAfterSeconds = aRetryAfterSeconds;
        this->Respond(aRequest, kHttpUnavailable, {}, "no_room");
      }
    });
}

void JobApi::Commit(const RequestPtr& aRequest, const cluster::StoreTransaction& aTransaction)
{
  if (this->RespondIfTimeIsOver(aRequest)) {
    return;
  }
  ++aRequest->attempts;
  this->store.Commit(aTransaction,
                     this->RemainingStoreTimeout(*aRequest),
                     [this, aRequest, aTransaction](const cluster::CommitResult& aResult) {
                       this->OnCommitted(aRequest, aTransaction, aResult);
                     });
}

void JobApi::OnCommitted(const RequestPtr& aRequest,
                         const cluster::StoreTransaction& aTransaction,
                         const cluster::CommitResult& aResult)
{
  switch (aResult.end) {
    case CommitEnd::Applied:
      if (aRequest->cancelsUnknownJob) {
        this->Respond(aRequest, kHttpGone, {}, "no_such_job");
        return;
      }
      this->Respond(aRequest, kHttpOk, "{}", "stored");
      return;
    case CommitEnd::Conflict:
      if (aRequest->http.method == "POST") {
        this->OnSubmissionConflict(aRequest, aTransaction, aResult.current);
      } else {
        this->OnCancellationConflict(aRequest, aTransaction, aResult.current);
      }
      return;
    case CommitEnd::Invalid:
      if (!aRequest->maybeApplied) {
        // A repetition would be refused as well. A cancellation is not at fault itself.
        const bool isJob = aRequest->http.method == "POST";
        this->Respond(
          aRequest, isJob ? kHttpBadRequest : kHttpUnavailable, {}, "store_refuses_content");
        return;
      }
      break;
    case CommitEnd::Unknown:
      aRequest->maybeApplied = true;
      break;
    case CommitEnd::Refused:
      break;
  }
  this->Retry(aRequest, aResult.reason, [this, aRequest, aTransaction] {
    this->Commit(aRequest, aTransaction);
  });
}

void JobApi::Retry(const RequestPtr& aRequest,
                   const std::string& aReason,
                   std::function<void()> aCall)
{
  this->counters.Add("request_retries_total", aReason);
  if (!aRequest->forwardable) {
    this->RetryHere(aRequest, std::move(aCall));
    return;
  }
  this->Forward(aRequest,
                [this, aRequest, call = std::move(aCall)] { this->RetryHere(aRequest, call); });
}

void JobApi::RetryHere(const RequestPtr& aRequest, std::function<void()> aCall)
{
  const bool isTimeOver = BootClock::now() + kStoreRetryDelay >= this->DeadlineOf(*aRequest);
  const int maxAttempts = aRequest->fromEntry ? kMaxRefusedAttemptsForEntry : kMaxRefusedAttempts;
  if (!aRequest->maybeApplied && (aRequest->attempts >= maxAttempts || isTimeOver)) {
    this->Respond(aRequest, kHttpUnavailable, {}, "store_refuses");
    return;
  }
  if (isTimeOver) {
    this->Respond(aRequest, kHttpGatewayTimeout, {}, "store_silent");
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(this->context, kStoreRetryDelay);
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

void JobApi::Read(const RequestPtr& aRequest,
                  const cluster::RowRange& aRange,
                  std::function<void()> aRetry,
                  std::function<void(const std::vector<cluster::StoredRow>&)> aOnRead)
{
  if (this->RespondIfTimeIsOver(aRequest)) {
    return;
  }
  this->store.Read(aRange,
                   this->RemainingStoreTimeout(*aRequest),
                   [this, aRequest, retry = std::move(aRetry), onRead = std::move(aOnRead)](
                     const cluster::ReadResult& aResult) {
                     if (aResult.end != ReadEnd::Done) {
                       this->Retry(aRequest, aResult.reason, retry);
                       return;
                     }
                     if (aResult.unreadableRows > 0) {
                       // The job exists, so the caller must not be told that it does not.
                       this->Retry(aRequest, "row_unreadable", retry);
                       return;
                     }
                     onRead(aResult.rows);
                   });
}

void JobApi::GetState(const RequestPtr& aRequest)
{
  if (const auto cached = this->endedStates.find(CacheKey(*aRequest));
      cached != this->endedStates.end()) {
    this->Respond(aRequest, kHttpOk, platformwire::EncodeState(cached->second), "remembered");
    return;
  }
  ++aRequest->attempts;
  this->Read(
    aRequest,
    StateRange(aRequest->jobId),
    [this, aRequest] { this->GetState(aRequest); },
    [this, aRequest](const std::vector<cluster::StoredRow>& aRows) {
      for (const cluster::StoredRow& row : aRows) {
        if (!jobs::DecodeJobState(row.value).has_value()) {
          this->counters.Add("rows_unreadable_total", "state");
        }
      }
      const std::optional<JobState> state = FindState(
        aRows, aRequest->jobId, aRequest->queue, *this->config.Config(), JobState::Running);
      if (!state.has_value()) {
        this->GetUnstartedState(aRequest);
        return;
      }
      this->CacheEndedState(*aRequest, *state);
      this->Respond(aRequest, kHttpOk, platformwire::EncodeState(*state), "read");
    });
}

void JobApi::ReadJobs(const RequestPtr& aRequest,
                      const std::function<void()>& aRetry,
                      std::function<void(const StoredJobs&)> aOnRead)
{
  this->Read(aRequest,
             StoredJobs::Range(aRequest->jobId),
             aRetry,
             [this, aRequest, retry = aRetry, onRead = std::move(aOnRead)](
               const std::vector<cluster::StoredRow>& aRows) {
               const StoredJobs found = this->FindJobs(*aRequest, aRows);
               if (found.Own() == nullptr && found.HasUnreadable()) {
                 // It may be the queue's own, and the caller must not be told that it has none.
                 this->Retry(aRequest, "row_unreadable", retry);
                 return;
               }
               onRead(found);
             });
}

void JobApi::GetUnstartedState(const RequestPtr& aRequest)
{
  this->ReadJobs(
    aRequest,
    [this, aRequest] { this->GetState(aRequest); },
    [this, aRequest](const StoredJobs& aJobs) {
      if (aJobs.Own() == nullptr) {
        this->Respond(aRequest, kHttpGone, {}, "no_such_job");
        return;
      }
      const JobState state = aJobs.IsCancelled() ? JobState::Cancelled : JobState::Queued;
      this->Respond(aRequest, kHttpOk, platformwire::EncodeState(state), "not_started");
    });
}

void JobApi::Cancel(const RequestPtr& aRequest)
{
  ++aRequest->attempts;
  this->ReadJobs(
    aRequest,
    [this, aRequest] { this->Cancel(aRequest); },
    [this, aRequest](const StoredJobs& aJobs) {
      const StoredJobs::Job* job = aJobs.Own();
      if (aJobs.IsCancelled()) {
        this->Respond(aRequest,
                      job == nullptr ? kHttpGone : kHttpOk,
                      job == nullptr ? "" : "{}",
                      job == nullptr ? "no_such_job" : "stored_before");
        return;
      }
      if (job == nullptr) {
        this->StoreEarlyCancellation(aRequest, aJobs);
        return;
      }
      this->StoreCancellation(aRequest, job->id, { { jobs::JobRow(job->id), job->version } });
    });
}

void JobApi::OnCancellationConflict(const RequestPtr& aRequest,
                                    const cluster::StoreTransaction& aTransaction,
                                    const std::vector<cluster::StoredRow>& aCurrent)
{
  if (!aRequest->cancelsUnknownJob) {
    // The row of the job has been removed since it was read, as the job had ended.
    this->Respond(aRequest, kHttpOk, "{}", "stored_before");
    return;
  }
  // A job with the identifier was stored meanwhile, or the read was behind.
  const StoredJobs found = this->FindJobs(*aRequest, aCurrent);
  if (const StoredJobs::Job* job = found.Own(); job != nullptr) {
    aRequest->cancelsUnknownJob = false;
    this->StoreCancellation(aRequest, job->id, {});
  } else if (found.HasUnreadable()) {
    this->Retry(aRequest, "row_unreadable", [this, aRequest, aTransaction] {
      this->Commit(aRequest, aTransaction);
    });
  } else {
    this->StoreEarlyCancellation(aRequest, found);
  }
}

void JobApi::StoreEarlyCancellation(const RequestPtr& aRequest, const StoredJobs& aJobs)
{
  aRequest->cancelsUnknownJob = true;
  this->StoreCancellation(aRequest,
                          jobs::EarlyCancelName(aRequest->jobId, aRequest->queue.policy.queue),
                          aJobs.Conditions());
}

void JobApi::StoreCancellation(const RequestPtr& aRequest,
                               const std::string& aName,
                               std::vector<cluster::RowCondition> aConditions)
{
  cluster::StoreTransaction transaction;
  transaction.conditions = std::move(aConditions);
  transaction.changes.push_back(
    { jobs::CancelRow(aName), jobs::EncodeCancellation(CurrentUnixMs()), false });
  this->Commit(aRequest, transaction);
}

void JobApi::CountPending(const RequestPtr& aRequest)
{
  if (this->RespondIfTimeIsOver(aRequest)) {
    return;
  }
  ++aRequest->attempts;
  MultiRangeReader::Read(
    this->context,
    this->store,
    WaitingRanges(aRequest->queue.policy.queue),
    [this, aRequest] { return this->RemainingStoreTimeout(*aRequest); },
    [](const std::string& /*aReason*/) { return false; },
    [this, aRequest](const MultiRangeResult& aResult) {
      if (!aResult.complete) {
        this->Retry(aRequest, aResult.reason, [this, aRequest] { this->CountPending(aRequest); });
        return;
      }
      std::size_t pendingJobs = 0;
      for (const auto& rows : aResult.rows) {
        pendingJobs += static_cast<std::size_t>(
          std::count_if(rows.begin(), rows.end(), [&](const cluster::StoredRow& aRow) {
            return jobs::IsWaitingRowOf(aRequest->queue.policy.queue, aRow.row.key, aRow.value);
          }));
      }
      this->Respond(aRequest, kHttpOk, platformwire::EncodePending(pendingJobs), "counted");
    });
}

void JobApi::Respond(const RequestPtr& aRequest,
                     int aStatus,
                     std::string aBody,
                     std::string_view aReason)
{
  HttpResponse response{ aStatus, { { "Content-Type", "application/json" } }, std::move(aBody) };
  if (aStatus == kHttpUnavailable) {
    response.headers.push_back({ "Retry-After", std::to_string(aRequest->retryAfterSeconds) });
  }
  this->latency.Add(BootClock::now() - aRequest->arrivedAt);
  this->counters.Add(aStatus == kHttpOk ? "requests_answered_total" : "requests_refused_total",
                     aReason);
  const LogLevel level =
    aStatus == kHttpOk && aRequest->http.method == "GET" ? LogLevel::Debug : LogLevel::Info;
  Log(level,
      "request_answered",
      { { "job", aRequest->jobId },
        { "method", aRequest->http.method },
        { "kind", aRequest->kind },
        { "status", aStatus },
        { "reason", std::string(aReason) },
        { "tries", aRequest->attempts },
        { "config", this->config.Config().has_value() ? this->config.Config()->version : 0 },
        { "took_ms", ToMilliseconds(BootClock::now() - aRequest->arrivedAt) } });
  aRequest->reply(std::move(response));
}

std::string JobApi::CacheKey(const Request& aRequest)
{
  return aRequest.queue.policy.queue + "/" + aRequest.jobId;
}

void JobApi::CacheEndedState(const Request& aRequest, JobState aState)
{
  if (!jobs::IsTerminal(aState)) {
    return;
  }
  if (this->endedStates.size() >= kMaxCachedEndedJobs) {
    this->endedStates.clear();
  }
  this->endedStates[CacheKey(aRequest)] = aState;
}

} // namespace oriolespread::daemon
