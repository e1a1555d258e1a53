// Clients of different queues choose the same identifier for their jobs.
#include "JobApi.h"
#include "StoreFixture.h"

#include "oriolespread/platformwire/CallerMessages.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
const std::string kId = "00000000000000a1";

std::string JobBody(const std::string& aPayload)
{
  jobs::JobSpec spec;
  spec.payload = aPayload;
  spec.steps.emplace_back().count = 1;
  return platformwire_testing::EncodeJob(spec);
}

// Queues "q1" and "q3" of service "s1", and "q2" of service "s2", each at the path of its name.
struct TwoServicesFixture : StoreFixture
{
  RequestForwarder forwarder{ this->context, this->counters };
  JobApi api{ this->context, *this->client, this->config, this->forwarder, this->counters };
  std::uint64_t version = 0;
  cluster::ClusterConfig written;

  TwoServicesFixture()
  {
    this->AddQueue("q1", "/q1/", "s1");
    this->AddQueue("q2", "/q2/", "s2");
    this->AddQueue("q3", "/q3/", "s1");
    this->WriteConfig();
    this->config.Start();
    REQUIRE(this->RunUntil([&] { return this->config.Config().has_value(); }));
  }

  void AddQueue(const std::string& aName, const std::string& aPrefix, const std::string& aService)
  {
    cluster::QueueConfig& queue = this->written.queues.emplace_back();
    queue.host = "h";
    queue.pathPrefix = aPrefix;
    queue.timeoutMs = 2000;
    queue.policy.queue = aName;
    queue.policy.service = aService;
  }

  void WriteConfig()
  {
    this->written.version = ++this->version;
    this->PutConfig(platformwire_testing::EncodeConfig(this->written));
  }

  // Writes the configuration and waits until it is in force.
  void ApplyConfig()
  {
    this->WriteConfig();
    REQUIRE(this->RunUntil([&] { return this->config.Config()->version == this->version; }));
  }

  HttpResponse Call(const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody = "",
                    const std::string& aTimeoutMs = "1500")
  {
    std::optional<HttpResponse> answer;
    this->api.Handle(
      { aMethod, aPath, { { "Host", "h" }, { platformwire::kTimeoutHeader, aTimeoutMs } }, aBody },
      JobApi::Sender::Caller,
      [&](HttpResponse aResponse) { answer = std::move(aResponse); });
    REQUIRE(this->RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  std::string StateAt(const std::string& aPath) { return this->Call("GET", aPath).body; }

  // Returns the jobs and cancellations in the store.
  std::vector<cluster::StoredRow> ReadRows()
  {
    std::optional<std::vector<cluster::StoredRow>> rows;
    this->client->Read(StoredJobs::Range(kId),
                       1000 * kMillisecond,
                       [&](const cluster::ReadResult& aResult) { rows = aResult.rows; });
    REQUIRE(this->RunUntil([&] { return rows.has_value(); }));
    return *rows;
  }

  std::set<std::string> StoredPayloads()
  {
    std::set<std::string> payloads;
    for (const cluster::StoredRow& row : this->ReadRows()) {
      jobs::JobRecord record;
      if (jobs::DecodeJobRecord(row.value, record)) {
        CHECK(record.id == row.row.key);
        payloads.insert(record.policy.queue + " " + record.spec.payload);
      }
    }
    return payloads;
  }

  void Store(const jobs::RowKey& aRow, const std::string& aValue)
  {
    bool stored = false;
    cluster::StoreTransaction transaction;
    transaction.changes.push_back({ aRow, aValue, false });
    this->client->Commit(
      transaction, 1000 * kMillisecond, [&](const cluster::CommitResult&) { stored = true; });
    REQUIRE(this->RunUntil([&] { return stored; }));
  }

  // Stores the record as versions before 2026-12-07 did.
  void StoreEarlierRecord(const std::string& aQueue, const std::string& aService)
  {
    jobs::JobRecord record;
    record.id = kId;
    record.policy.queue = aQueue;
    record.policy.service = aService;
    record.spec.payload = "x";
    record.spec.steps.emplace_back().count = 1;
    nlohmann::json json = record;
    json["policy"].erase("address");
    std::string bytes;
    nlohmann::json::to_msgpack(json, bytes);
    this->Store(jobs::JobRow(kId), bytes);
  }
};

const std::string kQueued = platformwire::EncodeState(jobs::JobState::Queued);
const std::string kCancelled = platformwire::EncodeState(jobs::JobState::Cancelled);
const std::string kCompleted = platformwire::EncodeState(jobs::JobState::Completed);

} // namespace

// Guards against a job that is accepted and never stored, as another queue's job has its row.
TEST_CASE("JobApi StoresTheJobsOfTwoQueuesWhenTheirIdentifiersAreEqual")
{
  TwoServicesFixture fixture;
  for (int attempt = 0; attempt < 2; ++attempt) {
    CHECK(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
    CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  }
  CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q1 one", "q2 two" });
  CHECK(fixture.store.CountRows("waiting") == 2);
  CHECK(fixture.Call("GET", "/q1/").body == platformwire::EncodePending(1));
  CHECK(fixture.Call("GET", "/q2/").body == platformwire::EncodePending(1));
}

// Guards against a state or a cancellation of another queue's job.
TEST_CASE("JobApi ShowsAndCancelsNoJobOfAnotherQueue")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  CHECK(fixture.Call("GET", "/q2/" + kId).status == kHttpGone);
  CHECK(fixture.Call("GET", "/q3/" + kId).status == kHttpGone);
  CHECK(fixture.Call("DELETE", "/q2/" + kId).status == kHttpGone);
  CHECK(fixture.Call("DELETE", "/q3/" + kId).status == kHttpGone);
  CHECK(fixture.StateAt("/q1/" + kId) == kQueued);
  REQUIRE(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  // Its own cancellation was accepted before.
  CHECK(fixture.StateAt("/q2/" + kId) == kCancelled);
  CHECK(fixture.Call("DELETE", "/q1/" + kId).status == kHttpOk);
  CHECK(fixture.StateAt("/q1/" + kId) == kCancelled);
}

// Guards against a cancellation of an unknown job that hits the later job of another queue.
TEST_CASE("JobApi KeepsTheLaterJobOfAnotherQueueWhenAnUnknownJobWasCancelled")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("DELETE", "/q2/" + kId).status == kHttpGone);
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  CHECK(fixture.StateAt("/q1/" + kId) == kQueued);
}

// Guards against a job that is shown as completed since another queue's job is, also when the entry
// remembers that state.
TEST_CASE("JobApi ShowsTheStateOfTheQueuesOwnJobWhenAnotherQueuesHasEnded")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  REQUIRE(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  fixture.Store(jobs::StateRow(kId),
                jobs::EncodeJobState({ jobs::JobState::Completed, 1000, "q1", "h/q1/" }));
  CHECK(fixture.StateAt("/q1/" + kId) == kCompleted);
  CHECK(fixture.StateAt("/q2/" + kId) == kQueued);
  fixture.Store(jobs::StateRow(jobs::ServiceJobKey(kId, "s2")),
                jobs::EncodeJobState({ jobs::JobState::Running, 0, "q2", "h/q2/" }));
  CHECK(fixture.StateAt("/q1/" + kId) == kCompleted);
  CHECK(fixture.StateAt("/q2/" + kId) == platformwire::EncodeState(jobs::JobState::Running));
}

// Guards against two jobs whose tasks the workers of one service can not tell apart, and against a
// refusal that is not true.
TEST_CASE("JobApi RefusesAJobAtOnceWhenAnotherQueueOfItsServiceHasTheIdentifier")
{
  TwoServicesFixture fixture;
  const bool isFirst = GENERATE(true, false);
  if (!isFirst) {
    REQUIRE(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  }
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  const Instant requestedAt = BootClock::now();
  const HttpResponse refusal = fixture.Call("POST", "/q3/" + kId, JobBody("three"));
  INFO("first " << isFirst);
  CHECK(refusal.status == kHttpUnavailable);
  CHECK(FindHeader(refusal.headers, "Retry-After") == "1");
  CHECK(refusal.body.empty());
  CHECK(BootClock::now() - requestedAt < 500 * kMillisecond);
  CHECK(fixture.StoredPayloads().count("q3 three") == 0);
  CHECK(fixture.Call("GET", "/q3/" + kId).status == kHttpGone);
}

// Guards against a second job of one request that is repeated after its answer was lost, while
// another queue's job has the identifier as its key.
TEST_CASE("JobApi StoresAJobOnceBesideAnotherQueuesWhenItsAnswerIsLost")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  fixture.store.SetFault(fixture.server, { .lost = 1.0 });
  CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpGatewayTimeout);
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q1 one", "q2 two" });
  CHECK(fixture.ReadRows().size() == 2);
}

// Guards against a second job when the first one's row that had the identifier as its key is gone.
TEST_CASE("JobApi FindsTheQueuesJobWhenTheOtherQueuesIsRemoved")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  REQUIRE(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  bool removed = false;
  cluster::StoreTransaction removal;
  removal.changes.push_back({ jobs::JobRow(kId), {}, true });
  fixture.client->Commit(
    removal, 1000 * kMillisecond, [&](const cluster::CommitResult&) { removed = true; });
  REQUIRE(fixture.RunUntil([&] { return removed; }));
  CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q2 two" });
  CHECK(fixture.Call("DELETE", "/q2/" + kId).status == kHttpOk);
  CHECK(fixture.StateAt("/q2/" + kId) == kCancelled);
  CHECK(fixture.Call("GET", "/q1/" + kId).status == kHttpGone);
}

// Guards against jobs that are lost to their callers, or shown to others, when a queue is renamed,
// moved, or removed and added again.
TEST_CASE("JobApi FindsAJobWhenItsQueueIsRenamedMovedOrAddedAgain")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  auto& queue = fixture.written.queues[0];
  SECTION("renamed")
  {
    queue.policy.queue = "new";
    fixture.ApplyConfig();
    CHECK(fixture.StateAt("/q1/" + kId) == kQueued);
    CHECK(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
    CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q1 one" });
    CHECK(fixture.Call("DELETE", "/q1/" + kId).status == kHttpOk);
    CHECK(fixture.StateAt("/q1/" + kId) == kCancelled);
  }
  SECTION("moved, and its prefix given to another")
  {
    queue.pathPrefix = "/moved/";
    fixture.AddQueue("other", "/q1/", "s3");
    fixture.ApplyConfig();
    CHECK(fixture.StateAt("/moved/" + kId) == kQueued);
    CHECK(fixture.Call("GET", "/q1/" + kId).status == kHttpGone);
    CHECK(fixture.Call("DELETE", "/q1/" + kId).status == kHttpGone);
    CHECK(fixture.StateAt("/moved/" + kId) == kQueued);
    CHECK(fixture.Call("DELETE", "/moved/" + kId).status == kHttpOk);
    CHECK(fixture.StateAt("/moved/" + kId) == kCancelled);
  }
  SECTION("removed and added again")
  {
    const cluster::QueueConfig removed = queue;
    fixture.written.queues.erase(fixture.written.queues.begin());
    fixture.ApplyConfig();
    CHECK(fixture.Call("GET", "/q1/" + kId).status == kHttpNotFound);
    fixture.written.queues.push_back(removed);
    fixture.ApplyConfig();
    CHECK(fixture.StateAt("/q1/" + kId) == kQueued);
    CHECK(fixture.Call("DELETE", "/q1/" + kId).status == kHttpOk);
  }
}

// Guards against a second job of a request that is repeated after its queue's service has changed.
TEST_CASE("JobApi FindsAJobBesideAnotherQueuesWhenTheServiceOfItsQueueHasChanged")
{
  TwoServicesFixture fixture;
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  REQUIRE(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  fixture.written.queues[1].policy.service = "s9";
  fixture.ApplyConfig();
  CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  CHECK(fixture.ReadRows().size() == 2);
  CHECK(fixture.Call("DELETE", "/q2/" + kId).status == kHttpOk);
  CHECK(fixture.StateAt("/q2/" + kId) == kCancelled);
}

// Guards against a submission that is refused, or stored twice, because its read is behind.
TEST_CASE("JobApi StoresAJobBesideAnotherQueuesWhenItsReadsAreBehind")
{
  TwoServicesFixture fixture;
  fixture.store.FreezeReads();
  REQUIRE(fixture.Call("POST", "/q1/" + kId, JobBody("one")).status == kHttpOk);
  const int status = fixture.Call("POST", "/q2/" + kId, JobBody("two")).status;
  CHECK(status == kHttpUnavailable);
  fixture.store.ThawReads();
  CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q1 one" });
  CHECK(fixture.Call("POST", "/q2/" + kId, JobBody("two")).status == kHttpOk);
  CHECK(fixture.StoredPayloads() == std::set<std::string>{ "q1 one", "q2 two" });
}

// Guards against jobs of an earlier version that are lost or stored again by an update.
TEST_CASE("JobApi KnowsTheJobsThatAnEarlierVersionHasStored")
{
  TwoServicesFixture fixture;
  fixture.StoreEarlierRecord("q1", "s1");
  CHECK(fixture.StateAt("/q1/" + kId) == kQueued);
  CHECK(fixture.Call("POST", "/q1/" + kId, JobBody("x")).status == kHttpOk);
  CHECK(fixture.ReadRows().size() == 1);
  CHECK(fixture.Call("GET", "/q2/" + kId).status == kHttpGone);
  fixture.Store(jobs::StateRow(kId), "completed 1000 q1");
  CHECK(fixture.StateAt("/q1/" + kId) == kCompleted);
  CHECK(fixture.Call("GET", "/q2/" + kId).status == kHttpGone);
  // Its cancellation has the key that an earlier version knows.
  CHECK(fixture.Call("DELETE", "/q1/" + kId).status == kHttpOk);
  CHECK(fixture.ReadRows().back().row == jobs::CancelRow(kId));
}
