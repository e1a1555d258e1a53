#include "JobApi.h"

#include "RangesReader.h"
#include "absl/strings/numbers.h"

#include "oriolespread/daemon/ClusterSettings.h"
#include "oriolespread/platformwire/CallerMessages.h"
#include "oriolespread/service/Log.h"

#include <algorithm>
#include <chrono>

namespace oriolespread::daemon {

using cluster::CommitEnd;
using cluster::ReadEnd;
using jobs::JobState;

namespace {

// Callers that do not say how long they wait.
constexpr std::int64_t kDefaultTimeoutMs = 3000;
// For the answer's way back.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(250);
// A call to the store is not cut shorter than this; most are answered within a tenth of it.
constexpr Duration kLeastStoreTimeout = std::chrono::milliseconds(100);
// After the store was silent or refused for a moment a caller may come back; outages last seconds.
constexpr const char* kRetryAfterSeconds = "1";
// A store that refused this often in a row is not asked again for the same request.
constexpr int kRefusedTries = 2;
constexpr std::size_t kEndedRemembered = 20000;

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::int64_t TimeoutMs(const HttpRequest& aRequest, const cluster::QueueConfig& aQueue)
{
  const std::string_view text = FindHeader(aRequest.headers, platformwire::kTimeoutHeader);
  std::int64_t timeout = kDefaultTimeoutMs;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &timeout) || timeout <= 0) {
    timeout = kDefaultTimeoutMs;
  }
  return aQueue.timeoutMs > 0 ? std::min(timeout, aQueue.timeoutMs) : timeout;
}

} // namespace

JobApi::JobApi(asio::io_context& aContext,
               platformwire::StoreClient& aStore,
               const ConfigFollower& aConfig,
               Counters& aCounters)
  : context(aContext)
  , store(aStore)
  , config(aConfig)
  , counters(aCounters)
{
}

void JobApi::Handle(const HttpRequest& aRequest, HttpServer::Reply aReply)
{
  auto request = std::make_shared<Request>();
  request->method = aRequest.method;
  request->reply = std::move(aReply);
  request->arrived = BootClock::now();
  const std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  if (!this->config.Config().has_value()) {
    this->Answer(request, kHttpUnavailable, {}, "no_configuration");
    return;
  }
  const cluster::QueueConfig* queue =
    this->config.Config()->FindQueue(FindHeader(aRequest.headers, "Host"), path);
  if (queue == nullptr) {
    this->Answer(request, kHttpNotFound, {}, "no_queue");
    return;
  }
  request->deadline =
    request->arrived + std::chrono::milliseconds(TimeoutMs(aRequest, *queue)) - kAnswerMargin;
  request->id = path.substr(queue->pathPrefix.size());
  if (request->id.empty() && aRequest.method == "GET") {
    request->kind = "pending";
    this->CountPending(request, queue->policy.queue);
    return;
  }
  if (!platformwire::IsJobId(request->id)) {
    this->Answer(request, kHttpNotFound, {}, "no_such_path");
    return;
  }
  if (aRequest.method == "POST") {
    request->kind = "submit";
    this->Submit(request, *queue, aRequest.body);
  } else if (aRequest.method == "GET") {
    request->kind = "state";
    this->GetState(request);
  } else if (aRequest.method == "DELETE") {
    request->kind = "cancel";
    this->Cancel(request);
  } else {
    this->Answer(request, kHttpNotFound, {}, "no_such_method");
  }
}

Duration JobApi::StoreTimeoutOf(const Request& aRequest)
{
  return std::clamp(aRequest.deadline - BootClock::now(), kLeastStoreTimeout, kStoreTimeout);
}

void JobApi::Submit(const RequestPtr& aRequest,
                    const cluster::QueueConfig& aQueue,
                    const std::string& aBody)
{
  auto spec = platformwire::DecodeJob(aBody);
  if (!spec.ok()) {
    Log(LogLevel::Warning,
        "job_unreadable",
        { { "job", aRequest->id }, { "reason", std::string(spec.status().message()) } });
    this->Answer(aRequest, kHttpBadRequest, {}, "unreadable_job");
    return;
  }
  jobs::JobRecord record;
  record.id = aRequest->id;
  record.policy = aQueue.policy;
  record.spec = *std::move(spec);
  record.submittedUnixMs = UnixMs();
  cluster::StoreTransaction transaction;
  const cluster::RowKey row = jobs::JobRow(aRequest->id);
  transaction.conditions.push_back({ row, 0 });
  transaction.changes.push_back({ row, jobs::EncodeJobRecord(record), false });
  transaction.changes.push_back({ jobs::WaitingRow(aQueue.policy.queue, aRequest->id), {}, false });
  this->Store(aRequest, transaction);
}

void JobApi::Store(const RequestPtr& aRequest, const cluster::StoreTransaction& aTransaction)
{
  ++aRequest->tries;
  this->store.Commit(aTransaction,
                     StoreTimeoutOf(*aRequest),
                     [this, aRequest, aTransaction](const cluster::CommitResult& aResult) {
                       this->OnStored(aRequest, aTransaction, aResult);
                     });
}

void JobApi::OnStored(const RequestPtr& aRequest,
                      const cluster::StoreTransaction& aTransaction,
                      const cluster::CommitResult& aResult)
{
  switch (aResult.end) {
    case CommitEnd::Applied:
      this->storeAnswered = BootClock::now();
      this->Answer(aRequest, kHttpOk, "{}", "stored");
      return;
    case CommitEnd::Conflict:
      // The row is there: this request, an earlier try or an earlier request wrote it.
      this->storeAnswered = BootClock::now();
      this->Answer(aRequest, kHttpOk, "{}", "stored_before");
      return;
    case CommitEnd::Unknown:
      aRequest->uncertain = true;
      break;
    case CommitEnd::Refused:
      break;
  }
  this->Retry(aRequest, aResult.reason, [this, aRequest, aTransaction] {
    this->Store(aRequest, aTransaction);
  });
}

void JobApi::Retry(const RequestPtr& aRequest,
                   const std::string& aReason,
                   std::function<void()> aCall)
{
  this->storeFailed = BootClock::now();
  this->counters.Add("request_retries_total", aReason);
  if (!aRequest->uncertain && aRequest->tries >= kRefusedTries) {
    this->Answer(aRequest, kHttpUnavailable, {}, "store_refuses");
    return;
  }
  if (BootClock::now() + kStoreRetryDelay >= aRequest->deadline) {
    this->Answer(aRequest, kHttpGatewayTimeout, {}, "store_silent");
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
                  std::function<void()> aAgain,
                  std::function<void(const std::vector<cluster::StoredRow>&)> aThen)
{
  this->store.Read(aRange,
                   StoreTimeoutOf(*aRequest),
                   [this, aRequest, again = std::move(aAgain), then = std::move(aThen)](
                     const cluster::ReadResult& aResult) {
                     if (aResult.end != ReadEnd::Done) {
                       this->Retry(aRequest, aResult.reason, again);
                       return;
                     }
                     this->storeAnswered = BootClock::now();
                     then(aResult.rows);
                   });
}

void JobApi::GetState(const RequestPtr& aRequest)
{
  if (const auto known = this->ended.find(aRequest->id); known != this->ended.end()) {
    this->Answer(aRequest, kHttpOk, platformwire::EncodeState(known->second), "remembered");
    return;
  }
  ++aRequest->tries;
  const std::string id = aRequest->id;
  this->Read(
    aRequest,
    { std::string(jobs::kStateTable), id, id + "~", 1 },
    [this, aRequest] { this->GetState(aRequest); },
    [this, aRequest](const std::vector<cluster::StoredRow>& aRows) {
      if (aRows.empty()) {
        this->GetUnstarted(aRequest);
        return;
      }
      const std::string& value = aRows.front().value;
      JobState state = JobState::Running;
      if (!jobs::ParseJobState(std::string_view(value).substr(0, value.find(' ')), state)) {
        this->counters.Add("rows_unreadable_total", "state");
      }
      this->Remember(aRequest->id, state);
      this->Answer(aRequest, kHttpOk, platformwire::EncodeState(state), "read");
    });
}

void JobApi::ReadJob(const RequestPtr& aRequest,
                     std::function<void()> aAgain,
                     std::function<void(const cluster::StoredRow&, bool aCancelled)> aThen)
{
  const std::string id = aRequest->id;
  this->Read(
    aRequest,
    { std::string(jobs::kJobsTable), id, id + "~", 2, jobs::JobPartOf(id) },
    std::move(aAgain),
    [this, aRequest, then = std::move(aThen)](const std::vector<cluster::StoredRow>& aRows) {
      if (aRows.empty()) {
        this->Answer(aRequest, kHttpGone, {}, "no_such_job");
        return;
      }
      then(aRows.front(), aRows.size() > 1);
    });
}

void JobApi::GetUnstarted(const RequestPtr& aRequest)
{
  this->ReadJob(
    aRequest,
    [this, aRequest] { this->GetState(aRequest); },
    [this, aRequest](const cluster::StoredRow& /*aJob*/, bool aCancelled) {
      const JobState state = aCancelled ? JobState::Cancelled : JobState::Queued;
      this->Answer(aRequest, kHttpOk, platformwire::EncodeState(state), "not_started");
    });
}

void JobApi::Cancel(const RequestPtr& aRequest)
{
  ++aRequest->tries;
  this->ReadJob(
    aRequest,
    [this, aRequest] { this->Cancel(aRequest); },
    [this, aRequest](const cluster::StoredRow& aJob, bool aCancelled) {
      if (aCancelled) {
        this->Answer(aRequest, kHttpOk, "{}", "stored_before");
        return;
      }
      cluster::StoreTransaction transaction;
      transaction.conditions.push_back({ aJob.row, aJob.version });
      transaction.changes.push_back({ jobs::CancelRow(aRequest->id), {}, false });
      this->Store(aRequest, transaction);
    });
}

void JobApi::CountPending(const RequestPtr& aRequest, const std::string& aQueue)
{
  ++aRequest->tries;
  // '0' is the character after '/', which ends the queue's name in each key.
  RangesReader::Read(
    this->context,
    this->store,
    JobRanges(jobs::kWaitingTable, aQueue + "/", aQueue + "0"),
    [aRequest] { return StoreTimeoutOf(*aRequest); },
    [](const std::string& /*aReason*/) { return false; },
    [this, aRequest, aQueue](const RangesResult& aResult) {
      if (!aResult.done) {
        this->Retry(aRequest, aResult.reason, [this, aRequest, aQueue] {
          this->CountPending(aRequest, aQueue);
        });
        return;
      }
      this->storeAnswered = BootClock::now();
      std::size_t counted = 0;
      for (const auto& rows : aResult.rows) {
        counted += rows.size();
      }
      this->Answer(aRequest, kHttpOk, platformwire::EncodePending(counted), "counted");
    });
}

void JobApi::Answer(const RequestPtr& aRequest,
                    int aStatus,
                    std::string aBody,
                    std::string_view aReason)
{
  HttpResponse response{ aStatus, { { "Content-Type", "application/json" } }, std::move(aBody) };
  if (aStatus == kHttpUnavailable) {
    response.headers.push_back({ "Retry-After", kRetryAfterSeconds });
  }
  this->latency.Add(BootClock::now() - aRequest->arrived);
  this->counters.Add(aStatus == kHttpOk ? "requests_answered_total" : "requests_refused_total",
                     aReason);
  const LogLevel level =
    aStatus == kHttpOk && aRequest->method == "GET" ? LogLevel::Debug : LogLevel::Info;
  Log(level,
      "request_answered",
      { { "job", aRequest->id },
        { "method", aRequest->method },
        { "kind", aRequest->kind },
        { "status", aStatus },
        { "reason", std::string(aReason) },
        { "tries", aRequest->tries },
        { "config", this->config.Config().has_value() ? this->config.Config()->version : 0 },
        { "took_ms", ToMilliseconds(BootClock::now() - aRequest->arrived) } });
  aRequest->reply(std::move(response));
}

void JobApi::Remember(const std::string& aId, JobState aState)
{
  if (!jobs::IsTerminal(aState)) {
    return;
  }
  if (this->ended.size() >= kEndedRemembered) {
    this->ended.clear();
  }
  this->ended[aId] = aState;
}

} // namespace oriolespread::daemon
