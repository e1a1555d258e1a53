#include "JobApi.h"

#include "StoreFixture.h"

#include "oriolespread/platformwire/CallerMessages.h"

#include <catch2/catch.hpp>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr const char* kJob = "00000000000000a1";

std::string Body()
{
  jobs::JobSpec spec;
  spec.payload = "x";
  spec.steps.emplace_back().count = 1;
  return platformwire_testing::EncodeJob(spec);
}

struct Api : StoreFixture
{
  JobApi api{ this->context, *this->client, this->config, this->counters };

  explicit Api(bool aConfigured = true)
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
      [&](HttpResponse aResponse) {
        answer = std::move(aResponse);
        ++answers;
      });
    this->RunUntil([&] { return answer.has_value(); });
    INFO(aMethod << " " << aPath);
    REQUIRE(answers == 1);
    return *answer;
  }

  std::string Pending() { return this->Call("GET", "/q/").body; }
};

std::string Path(const std::string& aId = kJob)
{
  return "/q/" + aId;
}

} // namespace

TEST_CASE("JobApi StoresAJobOnceAndShowsItAsQueued")
{
  Api api;
  CHECK(api.Call("POST", Path(), Body()).status == kHttpOk);
  CHECK(api.Call("POST", Path(), Body()).status == kHttpOk);
  CHECK(api.store.CountRows("jobs") == 1);
  CHECK(api.Call("GET", Path()).body == platformwire::EncodeState(jobs::JobState::Queued));
  CHECK(api.Pending() == platformwire::EncodePending(1));
}

// Guards against submissions that wait for one another, and for the leader, in one part of a slow
// store.
TEST_CASE("JobApi SpreadsJobsOverTheStoreAndCountsThemAll")
{
  Api api;
  for (int job = 0; job < 40; ++job) {
    const std::string id = "00000000000000" + std::to_string(10 + job);
    REQUIRE(api.Call("POST", Path(id), Body()).status == kHttpOk);
  }
  CHECK(api.store.PartsOf("jobs").size() == jobs::kJobPartCount);
  CHECK(api.store.PartsOf("jobs") == api.store.PartsOf("waiting"));
  CHECK(api.Pending() == platformwire::EncodePending(40));
}

TEST_CASE("JobApi AnswersGoneOnlyAfterTheStoreSaidSo")
{
  Api api;
  CHECK(api.Call("GET", Path()).status == kHttpGone);
  CHECK(api.Call("DELETE", Path()).status == kHttpGone);
  api.store.SetFault(api.server, { .silent = true });
  const Instant asked = BootClock::now();
  const int status = api.Call("GET", Path()).status;
  CHECK((status == kHttpGatewayTimeout || status == kHttpUnavailable));
  CHECK(BootClock::now() - asked < 1600 * kMs);
}

TEST_CASE("JobApi KeepsACancellationWithTheJob")
{
  Api api;
  REQUIRE(api.Call("POST", Path(), Body()).status == kHttpOk);
  CHECK(api.Call("DELETE", Path()).status == kHttpOk);
  CHECK(api.Call("DELETE", Path()).status == kHttpOk);
  CHECK(api.Call("GET", Path()).body == platformwire::EncodeState(jobs::JobState::Cancelled));
  CHECK(api.store.PartsOf("jobs").size() == 1);
}

// Guards against a refusal, which promises that the job has not run, of a job that was stored.
TEST_CASE("JobApi DoesNotRefuseAJobThatMayBeStored")
{
  Api api;
  api.store.SetFault(api.server, { .lost = 1.0 });
  const HttpResponse answer = api.Call("POST", Path(), Body());
  CHECK(answer.status != kHttpUnavailable);
  CHECK(answer.status != kHttpTooManyRequests);
}

// Guards against callers that wait in vain, and against a refusal without a time to come back.
TEST_CASE("JobApi RefusesAtOnceWithRetryAfterWhenTheStoreRefuses")
{
  Api api;
  api.store.SetFault(api.server, { .busy = true });
  const Instant asked = BootClock::now();
  const HttpResponse answer = api.Call("POST", Path(), Body());
  CHECK(answer.status == kHttpUnavailable);
  CHECK(FindHeader(answer.headers, "Retry-After") == "1");
  CHECK(BootClock::now() - asked < 700 * kMs);
  CHECK(api.counters.Get("requests_refused_total", "store_refuses") == 1);
}

// Guards against 404 for a queue of which the process does not know yet.
TEST_CASE("JobApi AnswersUnavailableWithoutAConfiguration")
{
  Api api(false);
  CHECK(api.Call("POST", Path(), Body()).status == kHttpUnavailable);
}

TEST_CASE("JobApi AnswersNotFoundForAnUnknownQueueAndBadRequestForAnUnreadableJob")
{
  Api api;
  CHECK(api.Call("POST", "/other/00000000000000a1", Body()).status == kHttpNotFound);
  CHECK(api.Call("POST", Path("not-an-id"), Body()).status == kHttpNotFound);
  CHECK(api.Call("POST", Path(), "{").status == kHttpBadRequest);
  CHECK(api.store.CountRows("jobs") == 0);
}

// Guards against a wait beyond the caller's own time.
TEST_CASE("JobApi AnswersWithinTheTimeThatTheCallerWaits")
{
  Api api;
  api.store.SetFault(api.server, { .silent = true });
  const Instant asked = BootClock::now();
  CHECK(api.Call("POST", Path(), Body(), "1200").status == kHttpGatewayTimeout);
  CHECK(BootClock::now() - asked < 1300 * kMs);
}

// Guards against callers that wait until their time is over for a count that the store refuses.
TEST_CASE("JobApi RefusesToCountAtOnceWhenTheStoreRefuses")
{
  Api api;
  api.store.SetFault(api.server, { .busy = true });
  const Instant asked = BootClock::now();
  const HttpResponse answer = api.Call("GET", "/q/");
  CHECK(answer.status == kHttpUnavailable);
  CHECK(FindHeader(answer.headers, "Retry-After") == "1");
  CHECK(BootClock::now() - asked < 700 * kMs);
}

TEST_CASE("JobApi AnswersACountWithinTheTimeThatTheCallerWaits")
{
  Api api;
  api.store.SetFault(api.server, { .silent = true });
  const Instant asked = BootClock::now();
  CHECK(api.Call("GET", "/q/", "", "1000").status != kHttpOk);
  CHECK(BootClock::now() - asked < 1100 * kMs);
}
