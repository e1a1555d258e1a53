#include "oriolespread/tasks/JobSpec.h"

#include "oriolespread/platform/MemoryTable.h"
#include "oriolespread/tasks/JobInbox.h"
#include "oriolespread/tasks/ShardRows.h"

#include <catch2/catch.hpp>

using namespace oriolespread;

namespace {

constexpr const char* kCompleteSpec = R"({"job": "j1", "program": "sort",
  "tasks": 3, "resources": {"cores": 0.5, "memory_mib": 64}})";

} // namespace

// Guards against a parser that reports only the first error of a submission.
TEST_CASE("ParseJobSpec ReportsAllFindingsAtOnce")
{
  Findings findings;
  const auto spec =
    ParseJobSpec(R"({"job": "a/b", "organisation": "x", "program": 7, "tasks": 0, "class": "gold",
    "resources": {"cores": -1, "colour": "red"}, "extra": 1})",
                 "body",
                 findings);
  CHECK_FALSE(spec.has_value());
  const std::string report = findings.Report();
  INFO(report);
  for (const char* part : { "job: is not a valid name",
                            "organisation: is not a known key",
                            "program: is a number",
                            "tasks: is 0; expected an integer from 1 to 100000",
                            "class: is 'gold'",
                            "resources.cores: is -1",
                            "resources.memory_mib: is missing",
                            "resources.colour: is not a known key",
                            "extra: is not a known key" }) {
    CHECK(report.find(part) != std::string::npos);
  }
  CHECK(findings.size() == 9);
}

// Guards against accepting malformed text, and numbers beyond the range of a signed integer.
TEST_CASE("ParseJobSpec RejectsHugeNumbersAndMalformedText")
{
  for (const char* text : { "", "[]", "{", "nonsense" }) {
    Findings findings;
    CHECK_FALSE(ParseJobSpec(text, "body", findings).has_value());
    CHECK(findings.size() == 1);
  }
  std::string huge = kCompleteSpec;
  huge.replace(huge.find(": 3"), 3, ": 18446744073709551615");
  Findings findings;
  CHECK_FALSE(ParseJobSpec(huge, "body", findings).has_value());
  CHECK(findings.size() == 1);
}

// Guards against a field that is lost when a specification is written to the inbox and read back.
TEST_CASE("JobInbox PreservesAllFieldsOfTheSpec")
{
  Findings findings;
  const auto spec = ParseJobSpec(kCompleteSpec, "body", findings);
  INFO(findings.Report());
  REQUIRE(spec.has_value());
  const Transaction submit = MakeSubmitTransaction(TransactionId{ "t" }, ShardId{ 3 }, *spec);
  const auto item = ParseInboxItem(*submit.writes[0].value);
  REQUIRE(item.has_value());
  CHECK(nlohmann::json(std::get<JobSpec>(*item)) == nlohmann::json(*spec));
  CHECK(std::get<JobSpec>(*item).kind == "sort");
  CHECK(ParseJobRow(*submit.writes[1].value) == ShardId{ 3 });
  CHECK_FALSE(ParseInboxItem({ { "cancel", 1 } }).has_value());
}

// Guards against a repeated submission that creates the job again, in the same or another shard.
TEST_CASE("MakeSubmit ConflictsWhenTheJobWasSubmittedBefore")
{
  Findings findings;
  const auto spec = ParseJobSpec(kCompleteSpec, "body", findings);
  MemoryTable table;
  const Transaction first = MakeSubmitTransaction(TransactionId{ "t1" }, ShardId{ 0 }, *spec);
  REQUIRE(table.Commit(first).status == CommitStatus::Committed);
  table.Commit({ TransactionId{ "take" }, {}, { { first.writes[0].key, std::nullopt } } });
  for (const std::uint32_t shard : { 0U, 1U }) {
    const TransactionId id{ "repeat" + std::to_string(shard) };
    const CommitOutcome repeat = table.Commit(MakeSubmitTransaction(id, ShardId{ shard }, *spec));
    CHECK(repeat.status == CommitStatus::Conflict);
    CHECK(repeat.conflictKey == JobKey(JobId{ "j1" }));
  }
}
