// Handles the requests of callers: writes jobs and cancellations to the store, and reads job states
// from it. Needs no leader, so that every entry that can reach the store can answer. An entry that
// cannot passes requests on to another one.
#pragma once

#include "ConfigWatcher.h"
#include "RequestForwarder.h"
#include "StoredJobs.h"

#include "oriolespread/cluster/AdmissionControl.h"
#include "oriolespread/http/HttpServer.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace oriolespread::daemon {

class JobApi
{
public:
  // Who sends a request.
  enum class Sender
  {
    Caller,
    // Another entry, which passes on a caller's request. It is not passed on again, and is refused
    // at once if the store does not serve this entry either.
    Entry,
  };

  JobApi(asio::io_context& aContext,
         platformwire::StoreClient& aStore,
         const ConfigWatcher& aConfig,
         RequestForwarder& aForwarder,
         Counters& aCounters);

  void Handle(const HttpRequest& aRequest, Sender aSender, HttpServer::Reply aReply);

  // Gives requests up early enough that each one has its response at this time, also those that
  // have been received already. For a process that ends then.
  void RespondBy(Instant aTime);

  // Returns the published wait for new work of the service and priority; empty if there is none.
  using FindWait = std::function<std::optional<cluster::PublishedWait>(const std::string& aService,
                                                                       int aPriority)>;
  // Refuses jobs that cannot end in time to be useful by these waits. Without it none is refused.
  void RefuseByWaits(FindWait aFindWait) { this->findWait = std::move(aFindWait); }

  // The time from the arrival of a request to its response.
  const LatencyHistogram& Latency() const { return this->latency; }

private:
  // The Retry-After value of a refusal by the store, whose outages last seconds.
  static constexpr std::int64_t kRetryAfterSeconds = 1;

  // A request in progress. Each request gets exactly one response.
  struct Request
  {
    HttpRequest http;
    // The request may be passed on to another entry; at most once.
    bool forwardable = false;
    bool fromEntry = false;
    // The queue that was selected, and the identifier that the caller has chosen for its job.
    cluster::QueueConfig queue;
    std::string jobId;
    // The job to store, for a submission.
    jobs::JobRecord record;
    const char* kind = "";
    HttpServer::Reply reply;
    Instant arrivedAt{};
    Instant deadline{};
    // An earlier attempt may have been applied, so that the response must not say that the request
    // was refused.
    bool maybeApplied = false;
    // The request cancels a job that was not stored when it was looked for.
    bool cancelsUnknownJob = false;
    int attempts = 0;
    // The Retry-After value of a response with status 503.
    std::int64_t retryAfterSeconds = kRetryAfterSeconds;
  };
  using RequestPtr = std::shared_ptr<Request>;

  // Handles a request with a valid target.
  void Execute(const RequestPtr& aRequest);
  // Returns whether the store has answered a recent call of this entry.
  bool IsStoreReachable() const;
  // Passes the request on to another entry. Calls `aOtherwise` if none serves it.
  void Forward(const RequestPtr& aRequest, std::function<void()> aOtherwise);

  // Returns the timeout of a call to the store, so that it ends before the caller stops waiting;
  // zero if the time is over.
  Duration RemainingStoreTimeout(const Request& aRequest) const;
  Instant DeadlineOf(const Request& aRequest) const;
  // Returns when the last call to the store ends, also after calls that were late or many.
  Instant LastStoreTime(const Request& aRequest) const;
  // Responds with an error if there is no time for another call to the store. Returns whether it
  // has.
  bool RespondIfTimeIsOver(const RequestPtr& aRequest);
  void Submit(const RequestPtr& aRequest);
  // Returns the transaction that stores the job under this key on these conditions.
  static cluster::StoreTransaction MakeSubmission(Request& aRequest,
                                                  const std::string& aKey,
                                                  std::vector<cluster::RowCondition> aConditions);
  // Handles that jobs with the identifier are stored: the queue's own, or another queue's.
  void OnSubmissionConflict(const RequestPtr& aRequest,
                            const cluster::StoreTransaction& aTransaction,
                            const std::vector<cluster::StoredRow>& aCurrent);
  // Stores the job while another queue's has the identifier as its key. Reads all jobs with the
  // identifier first: if the queue's service has changed, the queue's own is not among the rows
  // that a submission requires to be absent.
  void SubmitBesideOthers(const RequestPtr& aRequest);
  // Refuses the job as its service has another queue's with the identifier, whose tasks the workers
  // could not tell from those of this one.
  void RefuseIdentifier(const RequestPtr& aRequest);
  StoredJobs FindJobs(const Request& aRequest, const std::vector<cluster::StoredRow>& aRows) const;
  // Returns the Retry-After value with which to refuse a job that cannot end in time to be useful,
  // and logs why; empty if the job is accepted.
  std::optional<std::int64_t> FindRefusal(const Request& aRequest, const jobs::JobRecord& aRecord);
  // Refuses the job unless its row is stored. If the store does not tell, submits it.
  void RefuseUnlessStored(const RequestPtr& aRequest,
                          const cluster::StoreTransaction& aSubmission,
                          std::int64_t aRetryAfterSeconds);
  void Commit(const RequestPtr& aRequest, const cluster::StoreTransaction& aTransaction);
  void OnCommitted(const RequestPtr& aRequest,
                   const cluster::StoreTransaction& aTransaction,
                   const cluster::CommitResult& aResult);
  // Reads one range and passes its rows to `aOnRead`. If the read fails, passes `aRetry` to Retry.
  void Read(const RequestPtr& aRequest,
            const cluster::RowRange& aRange,
            std::function<void()> aRetry,
            std::function<void(const std::vector<cluster::StoredRow>&)> aOnRead);
  // Reads the jobs with the identifier.
  void ReadJobs(const RequestPtr& aRequest,
                const std::function<void()>& aRetry,
                std::function<void(const StoredJobs&)> aOnRead);
  void GetState(const RequestPtr& aRequest);
  void GetUnstartedState(const RequestPtr& aRequest);
  // Stores the cancellation also if there is no such job, and then responds with 410: a submission
  // may be stored later, by an earlier call without an answer or by another entry.
  void Cancel(const RequestPtr& aRequest);
  void OnCancellationConflict(const RequestPtr& aRequest,
                              const cluster::StoreTransaction& aTransaction,
                              const std::vector<cluster::StoredRow>& aCurrent);
  // Stores a cancellation of the queue's job that is not stored yet.
  void StoreEarlyCancellation(const RequestPtr& aRequest, const StoredJobs& aJobs);
  // Writes the row of the cancellation on these conditions. `aName` is the key of the job, or
  // stands for one that is not stored.
  void StoreCancellation(const RequestPtr& aRequest,
                         const std::string& aName,
                         std::vector<cluster::RowCondition> aConditions);
  void CountPending(const RequestPtr& aRequest);
  // Passes the request on after its first failed attempt. If no other entry serves it, continues
  // with RetryHere.
  void Retry(const RequestPtr& aRequest, const std::string& aReason, std::function<void()> aCall);
  // Calls `aCall` after kStoreRetryDelay. Responds with an error instead if the store has refused
  // the request too often or the deadline is too close.
  void RetryHere(const RequestPtr& aRequest, std::function<void()> aCall);
  void Respond(const RequestPtr& aRequest,
               int aStatus,
               std::string aBody,
               std::string_view aReason);
  // Names the job in `endedStates`.
  static std::string CacheKey(const Request& aRequest);
  void CacheEndedState(const Request& aRequest, jobs::JobState aState);

  asio::io_context& context;
  platformwire::StoreClient& store;
  const ConfigWatcher& config;
  RequestForwarder& forwarder;
  Counters& counters;
  LatencyHistogram latency;
  FindWait findWait;
  cluster::AdmissionControl admission;
  // For a process that ends: no request has a later deadline, and no call to the store ends later.
  Instant latestDeadline = Instant::max();
  Instant latestStoreTime = Instant::max();
  // Terminal states by queue and identifier, cached because they do not change any more.
  std::unordered_map<std::string, jobs::JobState> endedStates;
};

} // namespace oriolespread::daemon
