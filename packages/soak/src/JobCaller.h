// A caller that sends one request after another: submissions, questions for states, cancellations
// of its own jobs and counts of pending jobs, in a mix that a seed chooses.
#pragma once

#include "PlainCaller.h"

#include "oriolespread/base/RandomSource.h"

#include <asio/io_context.hpp>

#include <array>
#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace oriolespread::soak {

constexpr std::size_t kMaxSoakEntries = 32;

// What the thread of the run tells the thread of the callers.
struct CallerDirectives
{
  // No new jobs are submitted.
  std::atomic<bool> settle = false;
  // Callers end after the answer to their present request.
  std::atomic<bool> finish = false;
  // The load balancer sends nobody to these entries.
  std::array<std::atomic<bool>, kMaxSoakEntries> avoided{};
};

struct JobCallerOptions
{
  std::size_t index = 0;
  std::uint64_t seed = 1;
  std::vector<asio::ip::tcp::endpoint> entries;
  // The entry that the caller uses first. It stays with an entry until that refuses a connection,
  // or is to be avoided.
  std::size_t home = 0;
  // The next entry is the next in number instead of any.
  bool nextInTurn = false;
  // The mean pause between an answer and the next request.
  Duration pause = std::chrono::milliseconds(10);
  // Half of the requests carry a time-out of this length; zero for none.
  Duration longTimeout{};
  // A cancellation without an answer is sent again until it is answered.
  bool repeatCancels = false;
};

// A request as its caller saw it.
struct CallRecord
{
  std::size_t caller = 0;
  std::size_t entry = 0;
  std::string method;
  // The job's identifier; empty for a count of pending jobs.
  std::string job;
  // For how long the caller waits for the answer, as the entry was told.
  Duration timeout{};
  PlainExchange exchange;
};

// The kinds of jobs, which differ in what goes on when a cancellation has no effect.
enum class CallerJobKind
{
  // Ends soon.
  Short,
  // One run of several seconds.
  Long,
  // Many short steps, each after the one before.
  Chain,
};

// A job as its caller knows it.
struct CallerJob
{
  CallerJobKind kind = CallerJobKind::Short;
  std::string body;
  int posts = 0;
  bool submitting = true;
  bool accepted = false;
  Instant acceptedAt{};
  // The last state that was shown, and whether it is one of an ended job.
  std::string state;
  bool ended = false;
  // When to cancel it; the epoch for never.
  Instant cancelDue{};
  bool cancelAnswered = false;
  Instant cancelAnsweredAt{};
  // When the last cancellation without an answer was sent completely; the epoch if there is none.
  Instant cancelUnansweredAt{};
};

class JobCaller
{
public:
  // Returns the run time that is part of a payload of these jobs.
  static Duration RunTimeOf(const std::string& aPayload);

  // The references must outlive the caller. Used from the thread of `aContext` only, until that
  // has ended.
  JobCaller(asio::io_context& aContext, JobCallerOptions aOptions, CallerDirectives& aDirectives);
  JobCaller(const JobCaller&) = delete;
  JobCaller& operator=(const JobCaller&) = delete;

  // Sends requests until the directives say to finish.
  void Start();

  const std::vector<CallRecord>& Records() const { return this->records; }
  // By identifier.
  const std::map<std::string, CallerJob>& Jobs() const { return this->jobs; }

private:
  void NextSoon();
  void Next();
  // Returns false if there is nothing to do for any job.
  bool CancelDueJob();
  bool SubmitAgain();
  bool SubmitNew();
  void AskState();
  void Post(const std::string& aJob);
  void Send(const std::string& aMethod, const std::string& aJob, const std::string& aBody);
  void OnExchange(const CallRecord& aRecord);
  void OnPosted(CallerJob& aJob, const CallRecord& aRecord);
  void OnShown(CallerJob& aJob, const CallRecord& aRecord);
  void OnCancelled(CallerJob& aJob, const CallRecord& aRecord);
  void ChangeEntry();
  std::string MakeBody(const std::string& aId, CallerJobKind aKind);

  asio::io_context& context;
  JobCallerOptions options;
  CallerDirectives& directives;
  RandomSource random;
  PlainCaller connection;
  asio::steady_timer timer;
  std::size_t entry;
  std::uint64_t lastJob = 0;
  std::map<std::string, CallerJob> jobs;
  // Accepted jobs that have not ended, and those whose submission is not decided.
  std::vector<std::string> open;
  std::vector<CallRecord> records;
};

} // namespace oriolespread::soak
