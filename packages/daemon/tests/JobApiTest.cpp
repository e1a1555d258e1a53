#include "JobApi.h"

#include "StoreFixture.h"
#include "absl/strings/str_replace.h"

#include "oriolespread/platformwire/CallerMessages.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr const char* kJobId = "00000000000000a1";

std::string JobBody()
{
  jobs::JobSpec spec;
  spec.payload = "x";
  spec.steps.emplace_back().count = 1;
  return platformwire_testing::EncodeJob(spec);
}

struct JobApiFixture : StoreFixture
{
  RequestForwarder forwarder{ this->context, this->counters };
  JobApi api{ this->context, *this->client, this->config, this->forwarder, this->counters };

  explicit JobApiFixture(bool aConfigured = true)
  {
    if (aConfigured) {
      this->PutConfig(1);
      this->config.Start();
      this->RunUntil([&] { return this->config.Config().has_value(); });
    }
  }

  HttpResponse Call(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody = "",
                    const std::string& aTimeoutMs = "1500")
  {
    std::optional<HttpResponse> answer;
    int answers = 0;
    this->api.Handle(
      { aMethod, aPath, { { "Host", "h" }, { platformwire::kTimeoutHeader, aTimeoutMs } }, aBody },
      JobApi::Sender::Caller,
      [&](HttpResponse aResponse) {
        answer = std::move(aResponse);
        ++answers;
      });
    this->RunUntil([&] { return answer.has_value(); });
    INFO(aMethod << " " << aPath);
    REQUIRE(answers == 1);
    return *answer;
  }

  // Runs the event loop until its timer for `aTime` expires. Handlers of earlier timers run before
  // it, however late a turn of the loop is.
  void RunUntilTimerAt(Instant aTime)
  {
    bool expired = false;
    asio::steady_timer timer(this->context, aTime - BootClock::now());
    timer.async_wait([&](asio::error_code) { expired = true; });
    REQUIRE(this->RunUntil([&] { return expired; }, std::chrono::seconds(30)));
  }

  std::string GetPending() { return this->Call("GET", "/q/").body; }
};

// A second entry, which has a connection of its own to the store of the first.
struct OtherEntry
{
  JobApiFixture& first;
  std::size_t storeServer = first.store.Serve("127.0.0.1", 0);
  Counters counters;
  std::unique_ptr<platformwire::StoreClient> client = *platformwire::StoreClient::Create(
    first.context,
    "127.0.0.1:" + std::to_string(first.store.PortOf(storeServer)),
    counters);
  ConfigWatcher config{ first.context, *client, counters, [](const cluster::ClusterConfig&) {} };
  RequestForwarder forwarder{ first.context, counters };
  JobApi api{ first.context, *client, config, forwarder, counters };
  std::unique_ptr<HttpServer> server = *HttpServer::Create(
    first.context,
    "127.0.0.1",
    0,
    {},
    [this](const HttpRequest& aRequest, HttpServer::Reply aReply) {
      this->api.Handle(aRequest, JobApi::Sender::Entry, std::move(aReply));
    },
    counters);

  explicit OtherEntry(JobApiFixture& aFirst)
    : first(aFirst)
  {
    this->config.Start();
    this->first.RunUntil([&] { return this->config.Config().has_value(); });
    const std::string address = "127.0.0.1:" + std::to_string(this->server->Port());
    this->first.forwarder.SetPeers({ address });
    this->forwarder.SetPeers({ address });
  }
};

std::string JobPath(const std::string& aId = kJobId)
{
  return "/q/" + aId;
}

} // namespace

TEST_CASE("JobApi StoresAJobOnceAndShowsItAsQueued")
{
  JobApiFixture fixture;
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  CHECK(fixture.store.CountRows("jobs") == 1);
  CHECK(fixture.Call("GET", JobPath()).body == platformwire::EncodeState(jobs::JobState::Queued));
  CHECK(fixture.GetPending() == platformwire::EncodePending(1));
}

// Guards against storing all jobs in one part of the store, where submissions wait for one another
// and for the leader when the store is slow.
TEST_CASE("JobApi SpreadsJobsOverThePartsOfTheStoreAndCountsThemAll")
{
  JobApiFixture fixture;
  for (int job = 0; job < 40; ++job) {
    const std::string id = "00000000000000" + std::to_string(10 + job);
    REQUIRE(fixture.Call("POST", JobPath(id), JobBody()).status == kHttpOk);
  }
  CHECK(fixture.store.PartsOf("jobs").size() == jobs::kJobPartCount);
  CHECK(fixture.store.PartsOf("jobs") == fixture.store.PartsOf("waiting"));
  CHECK(fixture.GetPending() == platformwire::EncodePending(40));
}

TEST_CASE("JobApi AnswersGoneOnlyWhenTheStoreHasNoSuchJob")
{
  JobApiFixture fixture;
  CHECK(fixture.Call("GET", JobPath()).status == kHttpGone);
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpGone);
  fixture.store.SetFault(fixture.server, { .silent = true });
  const Instant requestedAt = BootClock::now();
  const int status = fixture.Call("GET", JobPath()).status;
  CHECK((status == kHttpGatewayTimeout || status == kHttpUnavailable));
  CHECK(BootClock::now() - requestedAt < 1600 * kMillisecond);
}

TEST_CASE("JobApi StoresACancellationInThePartOfTheJob")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpOk);
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpOk);
  CHECK(fixture.Call("GET", JobPath()).body ==
        platformwire::EncodeState(jobs::JobState::Cancelled));
  CHECK(fixture.store.PartsOf("jobs").size() == 1);
  // The leader tells by the row's time how late a cancellation reaches it.
  std::string cancellation;
  fixture.client->Read({ std::string(jobs::kJobsTable),
                         jobs::CancelRow(kJobId).key,
                         "",
                         1,
                         jobs::CancelRow(kJobId).part },
                       1000 * kMillisecond,
                       [&](const cluster::ReadResult& aResult) {
                         REQUIRE(aResult.rows.size() == 1);
                         cancellation = aResult.rows.front().value;
                       });
  REQUIRE(fixture.RunUntil([&] { return !cancellation.empty(); }));
  CHECK(jobs::DecodeCancellation(cancellation).has_value());
}

// Guards against a job that runs after its cancellation was answered: a submission without an
// answer may be stored seconds later, and may be repeated at any entry.
TEST_CASE("JobApi CancelsAJobThatIsStoredAfterItsCancellation")
{
  JobApiFixture fixture;
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpGone);
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpGone);
  CHECK(fixture.Call("GET", JobPath()).status == kHttpGone);
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  CHECK(fixture.Call("GET", JobPath()).body ==
        platformwire::EncodeState(jobs::JobState::Cancelled));
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpOk);
}

// Guards against a job that runs on because its row was not in the read that its cancellation was
// decided by.
TEST_CASE("JobApi StoresACancellationWhenItsReadIsBehind")
{
  JobApiFixture fixture;
  OtherEntry other(fixture);
  fixture.store.FreezeReads();
  std::optional<int> submitted;
  other.api.Handle({ "POST", JobPath(), { { "Host", "h" } }, JobBody() },
                   JobApi::Sender::Caller,
                   [&](const HttpResponse& aResponse) { submitted = aResponse.status; });
  REQUIRE(fixture.RunUntil([&] { return submitted.has_value(); }));
  REQUIRE(submitted == kHttpOk);
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpOk);
  fixture.store.ThawReads();
  CHECK(fixture.Call("GET", JobPath()).body ==
        platformwire::EncodeState(jobs::JobState::Cancelled));
}

// Guards against refusing a job that was stored: a refusal promises that the job does not run.
TEST_CASE("JobApi DoesNotRefuseAJobThatMayBeStored")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .lost = 1.0 });
  const HttpResponse answer = fixture.Call("POST", JobPath(), JobBody());
  CHECK(answer.status != kHttpUnavailable);
  CHECK(answer.status != kHttpTooManyRequests);
}

// Guards against keeping callers waiting until their timeout although the store refuses, and
// against a refusal without a Retry-After header.
TEST_CASE("JobApi RefusesAtOnceWithRetryAfterWhenTheStoreRefuses")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .busy = true });
  const Instant requestedAt = BootClock::now();
  const HttpResponse answer = fixture.Call("POST", JobPath(), JobBody());
  CHECK(answer.status == kHttpUnavailable);
  CHECK(FindHeader(answer.headers, "Retry-After") == "1");
  CHECK(BootClock::now() - requestedAt < 700 * kMillisecond);
  CHECK(fixture.counters.Get("requests_refused_total", "store_refuses") == 1);
}

// Guards against telling a caller that the outcome is unknown although the store has refused the
// only attempt, after which there was no time for another.
TEST_CASE("JobApi RefusesWhenTheTimeIsOverAndTheStoreHasRefused")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .busy = true });
  CHECK(fixture.Call("POST", JobPath(), JobBody(), "300").status == kHttpUnavailable);
}

// Guards against answering 404 for an existing queue before the process has read the
// configuration.
TEST_CASE("JobApi AnswersUnavailableWithoutAConfiguration")
{
  JobApiFixture fixture(false);
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpUnavailable);
}

TEST_CASE("JobApi AnswersNotFoundForAnUnknownQueueAndBadRequestForAnUnreadableJob")
{
  JobApiFixture fixture;
  CHECK(fixture.Call("POST", "/other/00000000000000a1", JobBody()).status == kHttpNotFound);
  CHECK(fixture.Call("POST", JobPath("not-an-id"), JobBody()).status == kHttpNotFound);
  CHECK(fixture.Call("POST", JobPath(), "{").status == kHttpBadRequest);
  CHECK(fixture.store.CountRows("jobs") == 0);
}

// Guards against a caller that waits until its timeout for a job that the store never takes.
TEST_CASE("JobApi RefusesAJobAboveTheLimitOfTheStoreAtOnce")
{
  JobApiFixture fixture;
  jobs::JobSpec spec;
  spec.payload = std::string(jobs::kMaxRowBytes, 'x');
  spec.steps.emplace_back().count = 1;
  const Instant requestedAt = BootClock::now();
  const HttpResponse response =
    fixture.Call("POST", JobPath(), platformwire_testing::EncodeJob(spec), "2000");
  CHECK(response.status == kHttpBadRequest);
  CHECK(BootClock::now() - requestedAt < 100 * kMillisecond);
  CHECK(fixture.store.CountRows("jobs") == 0);
}

// Guards against a caller that waits until its timeout for what the store never takes.
TEST_CASE("JobApi RefusesAtOnceWhatTheStoreNeverTakes")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", JobPath("00000000000000b2"), JobBody()).status == kHttpOk);
  fixture.store.SetFault(
    fixture.server, { .refuses = [](const std::string&, const std::string&) { return true; } });
  const Instant requestedAt = BootClock::now();
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpBadRequest);
  // The job goes on, so the caller may cancel it again.
  const HttpResponse cancelled = fixture.Call("DELETE", JobPath("00000000000000b2"));
  CHECK(cancelled.status == kHttpUnavailable);
  CHECK(FindHeader(cancelled.headers, "Retry-After") == "1");
  CHECK(BootClock::now() - requestedAt < 700 * kMillisecond);
  CHECK(fixture.counters.Get("requests_refused_total", "store_refuses_content") == 2);
}

// Guards against refusing a job that was stored, because its repetition is refused here or at
// another entry.
TEST_CASE("JobApi DoesNotRefuseAJobWhoseRepetitionTheStoreNeverTakes")
{
  using platformwire_testing::StoreFault;
  const StoreFault refusal{ .refuses = [](const std::string&, const std::string&) {
    return true;
  } };
  JobApiFixture fixture;
  std::unique_ptr<OtherEntry> other;
  const bool atOtherEntry = GENERATE(false, true);
  if (atOtherEntry) {
    other = std::make_unique<OtherEntry>(fixture);
    fixture.store.SetFault(other->storeServer, refusal);
  }
  fixture.store.SetFault(fixture.server, { .lost = 1.0 });
  asio::steady_timer timer(fixture.context, 400 * kMillisecond);
  timer.async_wait([&](asio::error_code) {
    fixture.store.SetFault(fixture.server, atOtherEntry ? StoreFault{ .lost = 1.0 } : refusal);
  });
  const int status = fixture.Call("POST", JobPath(), JobBody()).status;
  INFO("at the other entry " << atOtherEntry);
  CHECK(status == kHttpGatewayTimeout);
  CHECK(fixture.store.CountRows("jobs") == 1);
}

namespace {

// Describes a job of one task of 100 ms in a queue with stretch 1 and without more time, so that it
// is refused at a wait of more than 200 ms.
jobs::JobSpec MakeShortJob()
{
  jobs::JobSpec spec;
  spec.payload = "x";
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = 1;
  step.estimateMs = 100;
  return spec;
}

std::string ShortJobBody()
{
  return platformwire_testing::EncodeJob(MakeShortJob());
}

// Makes the entry know a wait of a minute for the queue of the fixture, which was published now.
void PublishLongWait(JobApi& aApi)
{
  aApi.RefuseByWaits(
    [](const std::string& aService, int aPriority) -> std::optional<cluster::PublishedWait> {
      if (aService != "s" || aPriority != 0) {
        return std::nullopt;
      }
      return cluster::PublishedWait{ 60'000, BootClock::now() };
    });
}

} // namespace

// Guards against a refusal that stores the job nevertheless, and against one that does not tell the
// caller when to return.
TEST_CASE("JobApi RefusesAJobThatCannotEndInTimeAndStoresNothing")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", JobPath("00000000000000b2"), ShortJobBody()).status == kHttpOk);
  PublishLongWait(fixture.api);
  const HttpResponse answer = fixture.Call("POST", JobPath(), ShortJobBody());
  CHECK(answer.status == kHttpUnavailable);
  const int retryAfter = std::stoi(std::string(FindHeader(answer.headers, "Retry-After")));
  CHECK(retryAfter >= 60);
  CHECK(retryAfter <= 90);
  CHECK(fixture.counters.Get("requests_refused_total", "no_room") == 1);
  CHECK(fixture.store.CountRows("jobs") == 1);
  CHECK(fixture.store.CountRows("waiting") == 1);
  CHECK(fixture.Call("GET", JobPath()).status == kHttpGone);
}

// Guards against telling a caller that its job was refused although an earlier attempt has stored
// it.
TEST_CASE("JobApi DoesNotRefuseAStoredJobWhenThereIsNoRoom")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", JobPath(), ShortJobBody()).status == kHttpOk);
  PublishLongWait(fixture.api);
  CHECK(fixture.Call("POST", JobPath(), ShortJobBody()).status == kHttpOk);
  CHECK(fixture.counters.Get("requests_answered_total", "stored_before") == 1);
  CHECK(fixture.counters.Get("requests_refused_total", "no_room") == 0);
}

// Guards against refusing jobs that have no end, or that are not due when they are submitted.
TEST_CASE("JobApi DoesNotRefuseLongRunningJobsAndJobsWithDueTimesWhenThereIsNoRoom")
{
  JobApiFixture fixture;
  PublishLongWait(fixture.api);
  jobs::JobSpec longRunning = MakeShortJob();
  longRunning.steps.front().longRunning = true;
  CHECK(fixture.Call("POST", JobPath(), platformwire_testing::EncodeJob(longRunning)).status ==
        kHttpOk);
  std::string periodic = ShortJobBody();
  periodic.pop_back();
  periodic += R"(,"repeats":2,"initial_delay_ms":1900000000000,"interval_ms":1000})";
  CHECK(fixture.Call("POST", JobPath("00000000000000b2"), periodic).status == kHttpOk);
  CHECK(fixture.store.CountRows("jobs") == 2);
}

// Guards against refusing a request that the entry before has tried at the store, where it may be
// applied.
TEST_CASE("JobApi DoesNotRefuseARequestOfAnotherEntryWhenThereIsNoRoom")
{
  JobApiFixture fixture;
  PublishLongWait(fixture.api);
  std::optional<int> status;
  fixture.api.Handle({ "POST", JobPath(), { { "Host", "h" } }, ShortJobBody() },
                     JobApi::Sender::Entry,
                     [&](const HttpResponse& aResponse) { status = aResponse.status; });
  REQUIRE(fixture.RunUntil([&] { return status.has_value(); }));
  CHECK(status == kHttpOk);
  CHECK(fixture.store.CountRows("jobs") == 1);
}

// Guards against refusing a request whose attempt at another entry has no answer. The store does
// not serve this entry when the request arrives, and serves it when the other entry is asked.
TEST_CASE("JobApi DoesNotRefuseARequestThatWasPassedOnBeforeWhenThereIsNoRoom")
{
  JobApiFixture fixture;
  PublishLongWait(fixture.api);
  // An entry that does not know what became of the request.
  std::unique_ptr<HttpServer> other = *HttpServer::Create(
    fixture.context,
    "127.0.0.1",
    0,
    {},
    [&](const HttpRequest&, const HttpServer::Reply& aReply) {
      fixture.store.SetFault(fixture.server, {});
      aReply({ kHttpGatewayTimeout, {}, {} });
    },
    fixture.counters);
  fixture.forwarder.SetPeers({ "127.0.0.1:" + std::to_string(other->Port()) });
  fixture.store.SetFault(fixture.server, { .silent = true });
  fixture.RunFor(1000 * kMillisecond);
  CHECK(fixture.Call("POST", JobPath(), ShortJobBody()).status == kHttpOk);
  CHECK(fixture.counters.Get("requests_forwarded_total", "not_served") == 1);
  CHECK(fixture.store.CountRows("jobs") == 1);
  CHECK(fixture.counters.Get("requests_refused_total", "no_room") == 0);
}

// Guards against a refusal while it is not known whether the job is stored.
TEST_CASE("JobApi SubmitsAJobWhenItIsNotKnownWhetherItIsStored")
{
  JobApiFixture fixture;
  PublishLongWait(fixture.api);
  fixture.store.SetFault(fixture.server, { .lostReads = 1.0 });
  CHECK(fixture.Call("POST", JobPath(), ShortJobBody()).status == kHttpOk);
  CHECK(fixture.store.CountRows("jobs") == 1);
  CHECK(fixture.counters.Get("requests_answered_total", "stored") == 1);
}

// Guards against a time to return that belongs to the backlog when the store refuses the job.
TEST_CASE("JobApi TellsTheTimeOfAStoreOutageWhenTheStoreRefusesBesideABacklog")
{
  JobApiFixture fixture;
  PublishLongWait(fixture.api);
  fixture.store.SetFault(fixture.server, { .busy = true });
  const HttpResponse answer = fixture.Call("POST", JobPath(), ShortJobBody());
  CHECK(answer.status == kHttpUnavailable);
  CHECK(FindHeader(answer.headers, "Retry-After") == "1");
  CHECK(fixture.counters.Get("requests_refused_total", "store_refuses") == 1);
}

// Guards against a response after the caller's timeout.
TEST_CASE("JobApi AnswersWithinTheTimeoutOfTheCaller")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .silent = true });
  const Instant requestedAt = BootClock::now();
  CHECK(fixture.Call("POST", JobPath(), JobBody(), "1200").status == kHttpGatewayTimeout);
  CHECK(BootClock::now() - requestedAt < 1300 * kMillisecond);
}

// Guards against telling a caller that a job never runs although an earlier attempt to submit it
// may have been stored. Callers repeat a submission under its identifier after 504.
TEST_CASE("JobApi DoesNotRefuseARepeatedJobWhileTheStoreIsSilent")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .lost = 1.0 });
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpGatewayTimeout);
  CHECK(fixture.store.CountRows("jobs") == 1);
  fixture.store.SetFault(fixture.server, { .silent = true });
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpGatewayTimeout);
}

// Guards against keeping callers waiting until their timeout for a count that the store refuses.
TEST_CASE("JobApi RefusesACountAtOnceWhenTheStoreRefuses")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .busy = true });
  const Instant requestedAt = BootClock::now();
  const HttpResponse answer = fixture.Call("GET", "/q/");
  CHECK(answer.status == kHttpUnavailable);
  CHECK(FindHeader(answer.headers, "Retry-After") == "1");
  CHECK(BootClock::now() - requestedAt < 700 * kMillisecond);
}

TEST_CASE("JobApi AnswersACountWithinTheTimeoutOfTheCaller")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .silent = true });
  const Instant requestedAt = BootClock::now();
  CHECK(fixture.Call("GET", "/q/", "", "1000").status != kHttpOk);
  CHECK(BootClock::now() - requestedAt < 1100 * kMillisecond);
}

// Guards against callers that lose a second or more, or all their retries, because the store turns
// their entry away while it serves others.
TEST_CASE("JobApi PassesRequestsOnWhenTheStoreTurnsThisEntryAway")
{
  JobApiFixture fixture;
  OtherEntry other(fixture);
  fixture.store.SetFault(fixture.server, { .busy = true });
  const Instant requestedAt = BootClock::now();
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  CHECK(fixture.store.CountRows("jobs") == 1);
  CHECK(fixture.Call("GET", JobPath()).body == platformwire::EncodeState(jobs::JobState::Queued));
  CHECK(fixture.GetPending() == platformwire::EncodePending(1));
  CHECK(fixture.Call("DELETE", JobPath()).status == kHttpOk);
  CHECK(fixture.Call("GET", JobPath("00000000000000b2")).status == kHttpGone);
  CHECK(BootClock::now() - requestedAt < 700 * kMillisecond);
}

// Guards against refusing a job that was stored by the entry to which it was passed on.
TEST_CASE("JobApi DoesNotRefuseAJobThatAnotherEntryMayHaveStored")
{
  JobApiFixture fixture;
  OtherEntry other(fixture);
  fixture.store.SetFault(fixture.server, { .busy = true });
  fixture.store.SetFault(other.storeServer, { .lost = 1.0 });
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpGatewayTimeout);
  CHECK(fixture.store.CountRows("jobs") == 1);
}

// Guards against a refusal that comes late, and against requests that go around between entries.
TEST_CASE("JobApi RefusesAtOnceWhenTheStoreServesNoEntry")
{
  JobApiFixture fixture;
  OtherEntry other(fixture);
  fixture.store.SetFault(fixture.server, { .busy = true });
  fixture.store.SetFault(other.storeServer, { .busy = true });
  const Instant requestedAt = BootClock::now();
  CHECK(fixture.Call("POST", JobPath(), JobBody()).status == kHttpUnavailable);
  CHECK(BootClock::now() - requestedAt < 700 * kMillisecond);
  CHECK(other.counters.Get("requests_forwarded_total", "not_served") == 0);
}

// Guards against an answer that says that a job does not exist, although only its row is malformed.
TEST_CASE("JobApi DoesNotDenyAJobWhoseRowIsMalformed")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", std::string("/q/") + kJobId, JobBody()).status == kHttpOk);
  fixture.store.onAnswer = [](std::string aBody) {
    const std::size_t value = aBody.find(R"("value":")");
    return value == std::string::npos ? aBody : aBody.insert(value + 9, "*");
  };
  const HttpResponse read = fixture.Call("GET", std::string("/q/") + kJobId);
  CHECK(read.status != kHttpGone);
  CHECK(read.status != kHttpOk);
}

// Guards against requests that end without a response because the process ends before their
// deadline.
TEST_CASE("JobApi RespondsInTimeWhenItsProcessEndsBeforeTheDeadline")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .silent = true });
  std::vector<int> statuses;
  const auto call = [&](const std::string& aMethod, const std::string& aBody) {
    fixture.api.Handle(
      { aMethod, JobPath(), { { "Host", "h" } }, aBody },
      JobApi::Sender::Caller,
      [&](const HttpResponse& aResponse) { statuses.push_back(aResponse.status); });
  };
  call("POST", JobBody());
  fixture.RunFor(300 * kMillisecond);
  const Instant end = BootClock::now() + 1000 * kMillisecond;
  fixture.api.RespondBy(end);
  call("GET", "");
  call("DELETE", "");
  // The process stops by a timer of the same loop, before which the responses have to be written.
  fixture.RunUntilTimerAt(end - 100 * kMillisecond);
  REQUIRE(statuses.size() == 3);
  // The store may carry out the submission; the others have changed nothing.
  CHECK(std::count(statuses.begin(), statuses.end(), kHttpGatewayTimeout) == 1);
  CHECK(std::count(statuses.begin(), statuses.end(), kHttpUnavailable) == 2);
}

// Guards against time-outs of calls to the store that add up past the end of the process because
// turns of the loop are late.
TEST_CASE("JobApi CallsTheStoreNoMoreWhenALateTurnHasUsedTheTime")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .silent = true });
  std::optional<int> status;
  fixture.api.Handle({ "POST", JobPath(), { { "Host", "h" } }, JobBody() },
                     JobApi::Sender::Caller,
                     [&](const HttpResponse& aResponse) { status = aResponse.status; });
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.counters.Get("request_retries_total", "timeout") == 1; }));
  REQUIRE(!status.has_value());
  fixture.api.RespondBy(BootClock::now() + 500 * kMillisecond);
  std::this_thread::sleep_for(300 * kMillisecond);
  fixture.context.poll();
  CHECK(status == kHttpGatewayTimeout);
}

// Guards against requests that end without a response because they arrive when there is no time
// left for a call to the store.
TEST_CASE("JobApi RefusesAtOnceWhenItsProcessIsAboutToEnd")
{
  JobApiFixture fixture;
  fixture.store.SetFault(fixture.server, { .silent = true });
  fixture.api.RespondBy(BootClock::now() + 200 * kMillisecond);
  for (const char* method : { "POST", "GET", "DELETE" }) {
    INFO(method);
    std::optional<int> status;
    fixture.api.Handle(
      { method, JobPath(), { { "Host", "h" } }, method == std::string("POST") ? JobBody() : "" },
      JobApi::Sender::Caller,
      [&](const HttpResponse& aResponse) { status = aResponse.status; });
    CHECK(status == kHttpUnavailable);
    fixture.RunFor(150 * kMillisecond);
  }
}

// Guards against a count that goes on page by page after its caller has stopped waiting.
TEST_CASE("JobApi EndsACountOfManyPagesWithinTheTimeoutOfTheCaller")
{
  JobApiFixture fixture;
  REQUIRE(fixture.Call("POST", JobPath(), JobBody()).status == kHttpOk);
  fixture.store.SetFault(fixture.server, { .delay = 20 * kMillisecond });
  std::string page;
  fixture.store.onAnswer = [&](const std::string& aBody) {
    if (page.empty() && aBody.find(R"("value":)") != std::string::npos) {
      page = absl::StrReplaceAll(aBody, { { R"("has_more":false)", R"("has_more":true)" } });
    }
    return aBody.find("has_more") == std::string::npos || page.empty() ? aBody : page;
  };
  std::optional<int> status;
  const Instant end = BootClock::now() + 1000 * kMillisecond;
  fixture.api.Handle(
    { "GET", "/q/", { { "Host", "h" }, { platformwire::kTimeoutHeader, "1000" } }, "" },
    JobApi::Sender::Caller,
    [&](const HttpResponse& aResponse) { status = aResponse.status; });
  fixture.RunUntilTimerAt(end);
  CHECK(!page.empty());
  CHECK(status == kHttpUnavailable);
  // Ends the reads.
  fixture.store.onAnswer = nullptr;
  fixture.RunFor(100 * kMillisecond);
}
