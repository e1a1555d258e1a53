// Answers callers: takes jobs and cancellations into the store, and reads states from it. Needs no
// leader, so that any entry that reaches the store answers.
#pragma once

#include "ConfigWatcher.h"

#include "oriolespread/http/HttpServer.h"
#include "oriolespread/service/LatencyHistogram.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace oriolespread::daemon {

class JobApi
{
public:
  JobApi(asio::io_context& aContext,
         platformwire::StoreClient& aStore,
         const ConfigWatcher& aConfig,
         Counters& aCounters);

  void Handle(const HttpRequest& aRequest, HttpServer::Reply aReply);

  // When the store last took or answered a call.
  Instant StoreAnsweredAt() const { return this->storeAnsweredAt; }

  // From a request's arrival to its answer.
  const LatencyHistogram& Latency() const { return this->latency; }

private:
  // One request on its way; ends with one answer.
  struct Request
  {
    std::string jobId;
    std::string method;
    const char* kind = "";
    HttpServer::Reply reply;
    Instant arrivedAt{};
    Instant deadline{};
    // An earlier try may have been applied, so that the request cannot be called refused.
    bool maybeApplied = false;
    int attempts = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  // A call to the store ends with the time that the caller waits.
  static Duration RemainingStoreTimeout(const Request& aRequest);
  void Submit(const RequestPtr& aRequest,
              const cluster::QueueConfig& aQueue,
              const std::string& aBody);
  void Commit(const RequestPtr& aRequest, const cluster::StoreTransaction& aTransaction);
  void OnCommitted(const RequestPtr& aRequest,
                   const cluster::StoreTransaction& aTransaction,
                   const cluster::CommitResult& aResult);
  // Reads one range; a failed read is retried by `aAgain` as Retry allows.
  void Read(const RequestPtr& aRequest,
            const cluster::RowRange& aRange,
            std::function<void()> aRetry,
            std::function<void(const std::vector<cluster::StoredRow>&)> aOnRead);
  // Reads the job's row and whether it is cancelled; answers 410 when there is none.
  void ReadJob(const RequestPtr& aRequest,
               std::function<void()> aRetry,
               std::function<void(const cluster::StoredRow&, bool aCancelled)> aOnRead);
  void GetState(const RequestPtr& aRequest);
  void GetUnstartedState(const RequestPtr& aRequest);
  void Cancel(const RequestPtr& aRequest);
  void CountPending(const RequestPtr& aRequest, const std::string& aQueue);
  // Runs the call again after a pause, or gives the request up if there is no time left.
  void Retry(const RequestPtr& aRequest, const std::string& aReason, std::function<void()> aCall);
  void Respond(const RequestPtr& aRequest,
               int aStatus,
               std::string aBody,
               std::string_view aReason);
  void CacheEndedState(const std::string& aId, jobs::JobState aState);

  asio::io_context& context;
  platformwire::StoreClient& store;
  const ConfigWatcher& config;
  Counters& counters;
  LatencyHistogram latency;
  Instant storeAnsweredAt{};
  Instant storeFailedAt{};
  // Ended states, which do not change any more.
  std::unordered_map<std::string, jobs::JobState> endedStates;
};

} // namespace oriolespread::daemon
