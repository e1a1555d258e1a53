#include "TestSite.h"

#include <nlohmann/json.hpp>

using namespace oriolespread;
using namespace oriolespread::test;

namespace {

const char* const kJob = R"({"job": "nightly", "program": "report", "tasks": 6,
  "arguments": "{\"run_ms\": 400}", "resources": {"cores": 1, "memory_mib": 100}})";

nlohmann::json ShowJob(TestSite& aSite, std::size_t aEntry)
{
  const auto result = aSite.Send(aEntry, "GET", "/v1/jobs/nightly", "acme-token");
  return result && result->status == 200 ? nlohmann::json::parse(result->body) : nlohmann::json();
}

bool IsFinished(TestSite& aSite, std::size_t aEntry)
{
  const nlohmann::json job = ShowJob(aSite, aEntry);
  return job.is_object() && job.value("finished", false);
}

// Attempts that all workers together have started.
std::size_t StartsOf(TestSite& aSite)
{
  std::size_t starts = 0;
  for (TestAgent& agent : aSite.agents) {
    starts += agent.worker->Starts();
  }
  return starts;
}

std::size_t OwnerOf(TestSite& aSite)
{
  for (std::size_t index = 0; index < aSite.entries.size(); ++index) {
    const ControlStatus status = aSite.entries[index]->Status();
    if (!status.shards.empty() && status.shards[0].role == OwnerRole::Owning) {
      return index;
    }
  }
  return aSite.entries.size();
}

} // namespace

TEST_CASE("Site CompletesAJobOnceAndShowsItAtEveryEntry")
{
  TestSite site;
  site.AddEntry();
  site.AddEntry();
  site.AddAgent();
  site.AddAgent();
  site.Configure();
  const auto submitted = site.Send(0, "POST", "/v1/jobs", "acme-token", kJob);
  REQUIRE(submitted);
  CHECK(submitted->status == 202);
  // Guards against a second copy of a job that is submitted again after a lost answer.
  CHECK(site.Send(1, "POST", "/v1/jobs", "acme-token", kJob)->status == 409);
  REQUIRE(WaitUntil([&] { return IsFinished(site, 0) && IsFinished(site, 1); }));
  const nlohmann::json job = ShowJob(site, 0);
  CHECK(job["tasks"].value("completed", 0) == 6);
  CHECK(StartsOf(site) == 6);
}

// Guards against tasks that are lost, doubled or moved when the entry that owns them dies.
TEST_CASE("Site GoesOnWithRunningTasksAfterTheOwnerDied")
{
  TestSite site;
  site.AddEntry();
  site.AddEntry();
  TestAgent& agent = site.AddAgent();
  site.Configure();
  std::string job = kJob;
  job.replace(job.find("400"), 3, "6000");
  REQUIRE(site.Send(0, "POST", "/v1/jobs", "acme-token", job)->status == 202);
  REQUIRE(WaitUntil([&] { return agent.worker->List().size() == 6; }));
  const std::size_t owner = OwnerOf(site);
  REQUIRE(owner < site.entries.size());
  site.entries[owner]->Abort();
  const std::size_t other = 1 - owner;
  REQUIRE(WaitUntil([&] { return IsFinished(site, other); }));
  const nlohmann::json shown = ShowJob(site, other);
  CHECK(shown["tasks"].value("completed", 0) == 6);
  CHECK(StartsOf(site) == 6);
}

// Guards against a ticket that some process never follows, and against one accepted twice.
TEST_CASE("Site BringsATicketIntoForceEverywhereOnce")
{
  TestSite site;
  site.AddEntry();
  site.AddEntry();
  site.AddAgent();
  site.Configure();
  const char* ticket =
    R"({"id": "second", "based_on": 1, "author": "test", "changes": {"organisation/new": {"weight": 2}}})";
  site.platform.Faults().loseAnswers = 1;
  const auto first = site.Send(0, "POST", "/v1/tickets", kOperatorToken, ticket);
  REQUIRE(first);
  const auto again = site.Send(1, "POST", "/v1/tickets", kOperatorToken, ticket);
  REQUIRE(again);
  CHECK(again->status == 200);
  CHECK(nlohmann::json::parse(again->body)["number"] == 2);
  CHECK(WaitUntil([&] {
    return site.entries[0]->Status().ticket.Value() == 2 &&
           site.entries[1]->Status().ticket.Value() == 2;
  }));
  httplib::Client agent("127.0.0.1", site.agents[0].server->HttpPort());
  CHECK(WaitUntil([&] {
    const auto status = agent.Get("/v1/status");
    return status && nlohmann::json::parse(status->body)["ticket"] == 2;
  }));
  const auto conflict = site.Send(
    0,
    "POST",
    "/v1/tickets",
    kOperatorToken,
    R"({"id": "third", "based_on": 1, "author": "test", "changes": {"organisation/new": {}}})");
  REQUIRE(conflict);
  CHECK(conflict->status == 409);
  CHECK(nlohmann::json::parse(conflict->body)["conflicts"][0]["key"] == "organisation/new");
}
