// Callers of a mixed load: they submit jobs, some of them twice, cancel a part at random times, and
// ask for the states of jobs.
#pragma once

#include "JobMix.h"
#include "Promises.h"

#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/http/HttpClient.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::soak {

struct MixTrafficOptions
{
  std::uint64_t seed = 1;
  std::string host;
  std::size_t workers = 0;
  // Submitted jobs a second.
  double rate = 0;
  // When the last job is submitted.
  Instant until{};
  Duration keepEnded{};
};

// Counts of what callers did.
struct MixTrafficCounts
{
  std::size_t accepted = 0;
  std::size_t repeated = 0;
  std::size_t cancellations = 0;
  std::size_t unanswered = 0;
  Duration slowestAnswer{};
};

// The requests of a time, and those that were answered other than by a refusal or an error.
struct ServedCount
{
  std::size_t sent = 0;
  std::size_t served = 0;
};

class MixTraffic
{
public:
  using Clients = std::vector<std::unique_ptr<HttpClient>>;

  // The references must outlive the traffic.
  MixTraffic(asio::io_context& aContext,
             const Clients& aClients,
             Promises& aPromises,
             InTouchSince aInTouchSince,
             MixTrafficOptions aOptions);
  ~MixTraffic();
  MixTraffic(const MixTraffic&) = delete;
  MixTraffic& operator=(const MixTraffic&) = delete;

  // Returns the queues to which the jobs are submitted, for the operator's configuration.
  static std::vector<cluster::QueueConfig> Queues(const std::string& aHost,
                                                  const std::string& aService);

  void Start();
  // Cancels all jobs that would not end otherwise.
  void CancelLasting();
  // Returns what a worker simulates for a run.
  platformwire_testing::StandInRunProfile Profile(const std::string& aTask,
                                                  std::uint64_t aRun) const;
  const MixTrafficCounts& Counts() const { return this->counts; }
  // Counts the requests that were sent at such a time; one without an answer so far is not served.
  ServedCount CountServed(Instant aFrom, Instant aUntil) const;

private:
  using Answered = std::function<void(const HttpResult&)>;

  void SubmitSoon();
  // Cancels a part of the open jobs at once, from time to time.
  void CancelManySoon();
  void Submit(JobKind aKind);
  void Post(const std::string& aId, int aTries);
  void OnAccepted(const std::string& aId);
  void CancelLater(const std::string& aId);
  void Cancel(const std::string& aId);
  void AskAgain(const std::string& aId);
  void Ask(const std::string& aId);
  void Call(const char* aMethod, const std::string& aId, std::string aBody, Answered aAnswered);
  void After(Duration aTime, std::function<void()> aCall);

  asio::io_context& context;
  const Clients& clients;
  Promises& promises;
  InTouchSince inTouchSince;
  MixTrafficOptions options;
  RandomSource random;
  JobMix mix;
  // The share of jobs that are cancelled in this run.
  double cancelledShare;
  MixTrafficCounts counts;
  // Whether each request was served, by when it was sent.
  std::multimap<Instant, bool> served;
  std::uint64_t lastJob = 0;
  std::shared_ptr<bool> alive;
};

} // namespace oriolespread::soak
