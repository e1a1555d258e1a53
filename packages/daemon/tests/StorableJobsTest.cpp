// What an entry accepts, a leader reads: names and values at their limits, from the submission to
// the rows.
#include "JobApi.h"
#include "MultiRangeReader.h"
#include "StoreFixture.h"

#include "oriolespread/jobs/JobScheduler.h"
#include "oriolespread/platformwire/CallerMessages.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

std::string IdOfJob(std::size_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

std::string Repeat(const std::string& aText, std::size_t aCount)
{
  std::string repeated;
  for (std::size_t index = 0; index < aCount; ++index) {
    repeated += aText;
  }
  return repeated;
}

struct StorableJobsFixture : StoreFixture
{
  RequestForwarder forwarder{ this->context, this->counters };
  JobApi api{ this->context, *this->client, this->config, this->forwarder, this->counters };
  Counters leaderCounters;
  std::uint64_t version = 0;

  StorableJobsFixture() { this->config.Start(); }

  // Writes a configuration with these queues. The path of each is its index.
  void PutQueues(const std::vector<std::string>& aNames)
  {
    cluster::ClusterConfig written;
    written.version = ++this->version;
    for (const std::string& name : aNames) {
      cluster::QueueConfig& queue = written.queues.emplace_back();
      queue.host = "h";
      queue.pathPrefix = "/" + std::to_string(written.queues.size() - 1) + "/";
      queue.timeoutMs = 2000;
      queue.policy.queue = name;
      queue.policy.service = "s";
    }
    this->StoreFixture::PutConfig(platformwire_testing::EncodeConfig(written));
    REQUIRE(this->RunUntil([&] {
      return this->config.Config().has_value() && this->config.Config()->version == this->version;
    }));
  }

  HttpResponse Call(const std::string& aMethod, const std::string& aPath, std::string aBody = "")
  {
    std::optional<HttpResponse> answer;
    this->api.Handle({ aMethod, aPath, { { "Host", "h" } }, std::move(aBody) },
                     JobApi::Sender::Caller,
                     [&](HttpResponse aResponse) { answer = std::move(aResponse); });
    REQUIRE(this->RunUntil([&] { return answer.has_value(); }));
    return *answer;
  }

  int Submit(std::size_t aQueue, const std::string& aId, const jobs::JobSpec& aSpec)
  {
    return this
      ->Call(
        "POST", "/" + std::to_string(aQueue) + "/" + aId, platformwire_testing::EncodeJob(aSpec))
      .status;
  }

  std::string Pending(std::size_t aQueue)
  {
    return this->Call("GET", "/" + std::to_string(aQueue) + "/").body;
  }

  // Returns the number of jobs that a new leader knows.
  std::size_t CountJobsOfLeader()
  {
    jobs::JobScheduler leader({}, this->leaderCounters, [](auto, const auto&) {});
    const jobs::Now now{ BootClock::now(), 1 };
    bool isRead = false;
    MultiRangeReader::Read(
      this->context,
      *this->client,
      JobTableRanges(jobs::kJobsTable, "", ""),
      [] { return std::chrono::seconds(2); },
      [](const std::string&) { return true; },
      [&](const MultiRangeResult& aResult) {
        for (const auto& rows : aResult.rows) {
          for (const cluster::StoredRow& row : rows) {
            leader.LoadJob(row.row.key, row.value, now);
          }
        }
        isRead = true;
      });
    REQUIRE(this->RunUntil([&] { return isRead; }));
    leader.FinishLoading(Epoch{ 1 }, now.instant, now);
    return leader.Jobs().size();
  }
};

jobs::JobSpec OneTask()
{
  jobs::JobSpec spec;
  spec.payload = "x";
  spec.steps.emplace_back().count = 1;
  return spec;
}

} // namespace

// Guards against a job that is accepted, and that each leader ignores because of its queue's name.
TEST_CASE("JobApi StoresAJobThatLeadersReadWhateverTheNameOfItsQueue")
{
  std::set<std::string> names = { "a", ".", "a.b", "a/b", "/", "=", " ", "%20", "a~", "\x01" };
  names.insert(std::string("a\0b", 3));
  for (const std::string letter : { "x", "\u0436", "\u20ac", "\U0001F426" }) {
    for (const std::size_t bytes :
         { 158, 166, 167, 175, 176, 180, 183, 184, 199, 200, 300, 4000 }) {
      names.insert(Repeat(letter, bytes / letter.size()));
    }
  }
  StorableJobsFixture fixture;
  std::size_t accepted = 0;
  for (const std::string& name : names) {
    INFO("bytes: " << name.size() << ", begins with: " << name.substr(0, 8));
    fixture.PutQueues({ name });
    const std::string id = IdOfJob(++accepted);
    REQUIRE(fixture.Submit(0, id, OneTask()) == kHttpOk);
    const HttpResponse state = fixture.Call("GET", "/0/" + id);
    CHECK(state.status == kHttpOk);
    CHECK(state.body == platformwire::EncodeState(jobs::JobState::Queued));
    CHECK(fixture.Pending(0) == platformwire::EncodePending(1));
  }
  CHECK(fixture.CountJobsOfLeader() == accepted);
  CHECK(fixture.leaderCounters.Get("rows_unreadable_total", "jobs") == 0);
}

// Guards against a queue that counts the jobs of another one.
TEST_CASE("JobApi CountsThePendingJobsOfTheQueueAloneWhenItsNameBeginsAnother")
{
  const std::string longName = Repeat("\u0436", 90);
  const std::vector<std::string> names = { "a", "a/b", "a/b/c", longName, longName + "/b" };
  StorableJobsFixture fixture;
  fixture.PutQueues(names);
  for (std::size_t queue = 0; queue < names.size(); ++queue) {
    REQUIRE(fixture.Submit(queue, IdOfJob(queue), OneTask()) == kHttpOk);
  }
  for (std::size_t queue = 0; queue < names.size(); ++queue) {
    INFO(names[queue]);
    CHECK(fixture.Pending(queue) == platformwire::EncodePending(1));
  }
}

// Guards against a job whose state the store would never take.
TEST_CASE("JobApi RefusesAJobAtOnceWhenTheNameOfItsQueueDoesNotFitIntoARow")
{
  StorableJobsFixture fixture;
  fixture.PutQueues({ Repeat(" ", 17'000) });
  CHECK(fixture.Submit(0, IdOfJob(1), OneTask()) == kHttpBadRequest);
  CHECK(fixture.CountJobsOfLeader() == 0);
}

// Guards against any check that leaders make and entries do not.
TEST_CASE("JobApi StoresOnlyJobsThatLeadersRead")
{
  std::mt19937 random(72);
  const auto oneOf = [&](const auto& aValues) { return aValues[random() % aValues.size()]; };
  const std::vector<std::string> texts = {
    "", "a", "\u0436", std::string("\0", 1), "\"\\", "/", "."
  };
  const std::vector<std::int64_t> amounts = { 0, 1, 999, jobs::kMaxAmount };
  const std::vector<std::int64_t> durations = { 0, 1, 1000, jobs::kMaxDurationMs };
  const std::vector<std::uint32_t> counts = { 1, 2, 41, 10'000 };
  const std::vector<std::uint32_t> repeats = { 0, 1, 7, 100'000 };
  StorableJobsFixture fixture;
  fixture.PutQueues({ "q" });
  std::size_t accepted = 0;
  constexpr std::size_t kJobs = 300;
  for (std::size_t number = 0; number < kJobs; ++number) {
    jobs::JobSpec spec;
    spec.payload = Repeat(oneOf(texts), random() % 1000);
    const std::size_t steps = random() % 20 == 0 ? 100 : 1 + random() % 3;
    for (std::size_t index = 0; index < steps; ++index) {
      jobs::StepSpec& step = spec.steps.emplace_back();
      step.count = oneOf(counts);
      step.demand = { oneOf(amounts), oneOf(amounts), oneOf(amounts) };
      step.estimateMs = oneOf(durations);
      if (index > 0) {
        step.after = { static_cast<std::uint32_t>(random() % index) };
      }
      step.requiredLabel = Repeat(oneOf(texts), random() % 300);
      step.preferredRack = Repeat(oneOf(texts), random() % 300);
      step.image = Repeat(oneOf(texts), random() % 300);
      step.maxPerWorker = static_cast<std::uint32_t>(random());
      step.latencyTargetMs = oneOf(durations);
      step.maxUnavailable = static_cast<std::uint32_t>(random());
    }
    spec.repeats = oneOf(repeats);
    spec.initialDelayMs = random() % 2 == 0 ? 0 : jobs::kMaxUnixMs;
    spec.intervalMs = oneOf(durations);
    accepted += fixture.Submit(0, IdOfJob(number), spec) == kHttpOk ? 1 : 0;
  }
  INFO("accepted: " << accepted);
  CHECK(accepted > kJobs / 10);
  CHECK(fixture.CountJobsOfLeader() == accepted);
  CHECK(fixture.leaderCounters.Get("rows_unreadable_total", "jobs") == 0);
}
