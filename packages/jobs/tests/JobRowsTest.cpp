#include "oriolespread/jobs/JobRows.h"

#include "oriolespread/jobs/JobSpec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

using namespace oriolespread::jobs;

namespace {

StepSpec MakeStep(std::int64_t aEstimateMs, std::vector<std::uint32_t> aAfter)
{
  StepSpec step;
  step.count = 3;
  step.estimateMs = aEstimateMs;
  step.after = std::move(aAfter);
  step.image = "i";
  return step;
}

} // namespace

TEST_CASE("JobRows ParsesATaskNameThatItFormatted")
{
  TaskName name;
  REQUIRE(TaskName::Parse("5c0e7a21d94b36f8.2.1.17", name));
  CHECK(name.job == "5c0e7a21d94b36f8");
  CHECK(name.occurrence == 2);
  CHECK(name.step == 1);
  CHECK(name.index == 17);
  CHECK(ToString(name) == "5c0e7a21d94b36f8.2.1.17");
  CHECK_FALSE(TaskName::Parse("a.b.c", name));
  CHECK_FALSE(TaskName::Parse("j.0.0.x", name));
  CHECK_FALSE(TaskName::Parse("", name));
}

TEST_CASE("JobRecord DecodesWhatWasEncodedAndRejectsOtherBytes")
{
  JobRecord record;
  record.id = "j";
  record.spec.steps.push_back(MakeStep(10, {}));
  JobRecord read;
  REQUIRE(DecodeJobRecord(EncodeJobRecord(record), read));
  CHECK(read.spec.steps.at(0).count == 3);
  CHECK(read.spec.steps.at(0).image == "i");
  CHECK_FALSE(DecodeJobRecord("no record", read));
}

// Guards against a stack overflow of each leader in turn by one stored row: MessagePack that nests
// 200,000 levels deep overflowed a stack of 8 MiB, and 48,000 levels sufficed in a debug build.
TEST_CASE("JobRecord RejectsDeepNesting")
{
  constexpr std::size_t kDepth = 1'000'000;
  JobRecord read;
  CHECK_FALSE(DecodeJobRecord(std::string(kDepth, '\x91'), read));
  CHECK_FALSE(DecodeJobRecord(std::string(kDepth, '\x91') + "\xc0", read));
  std::string maps;
  while (maps.size() < 3 * kDepth) {
    maps += "\x81\xa1\x61";
  }
  CHECK_FALSE(DecodeJobRecord(maps + "\xc0", read));
}

// Guards against the library's conversion of a floating-point number to an integer, which is
// undefined if the integer cannot hold it.
TEST_CASE("JobRecord RejectsFloatingPointNumbersInFieldsOfIntegers")
{
  JobRecord record;
  record.id = "j";
  record.policy.stretch = 1.5;
  record.spec.steps.push_back(MakeStep(10, {}));
  JobRecord read;
  REQUIRE(DecodeJobRecord(EncodeJobRecord(record), read));
  CHECK(read.policy.stretch == 1.5);
  for (const double number : { -1.0, 1e300, std::nan("") }) {
    INFO(number);
    auto row = nlohmann::json::from_msgpack(EncodeJobRecord(record));
    row["spec"]["steps"][0]["count"] = number;
    std::string bytes;
    nlohmann::json::to_msgpack(row, bytes);
    CHECK_FALSE(DecodeJobRecord(bytes, read));
  }
}

// Guards against a row in the table of jobs that ends each leader or stops it for good. Without
// steps, or with a step that waits for one that does not exist, the leader read past the end of a
// list. Texts that are not UTF-8, and names that are too long for a row's key, made every later
// transaction fail.
TEST_CASE("JobRecord RejectsAJobThatALeaderCannotKeep")
{
  JobRecord valid;
  valid.id = "j";
  valid.policy.queue = "q";
  valid.spec.steps = { MakeStep(10, {}), MakeStep(10, { 0 }) };
  const auto isRejected = [&](const std::function<void(JobRecord&)>& aChange) {
    JobRecord record = valid;
    aChange(record);
    JobRecord read;
    return !DecodeJobRecord(EncodeJobRecord(record), read);
  };
  CHECK_FALSE(isRejected([](JobRecord&) {}));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps.clear(); }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps[1].after = { 1 }; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps[1].after = { 4'000'000'000 }; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps[0].count = 0; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps[0].count = 4'000'000'000; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.repeats = 4'000'000'000; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.steps[0].demand.milliCores = -1; }));
  CHECK(isRejected([](JobRecord& aJob) {
    aJob.spec.steps[0].demand.memoryMiB = std::numeric_limits<std::int64_t>::max();
  }));
  CHECK(isRejected([](JobRecord& aJob) {
    aJob.spec.steps[0].estimateMs = std::numeric_limits<std::int64_t>::max();
  }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.intervalMs = -1; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.policy.queue = "\xff"; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.spec.payload = "\xff"; }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.id = std::string(kMaxJobKeyBytes + 1, 'j'); }));
  // The row of the job's state has the name and the address of its queue.
  CHECK(isRejected([](JobRecord& aJob) { aJob.policy.queue = std::string(49'150, 'q'); }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.policy.queue = std::string(16'384, ' '); }));
  CHECK(isRejected([](JobRecord& aJob) { aJob.policy.address = std::string(49'150, 'a'); }));
  CHECK_FALSE(isRejected([](JobRecord& aJob) { aJob.policy.queue = std::string(49'000, 'q'); }));
}

TEST_CASE("JobSpec FindsTheCriticalPathOverSeveralBranches")
{
  JobSpec spec;
  spec.steps.push_back(MakeStep(100, {}));
  spec.steps.push_back(MakeStep(500, { 0 }));
  spec.steps.push_back(MakeStep(50, { 0 }));
  spec.steps.push_back(MakeStep(10, { 1, 2 }));
  CHECK(CriticalPathMs(spec) == 610);
  CHECK(CriticalPathFromMs(spec, 2, DeclaredDurationsMs(spec)) == 60);
}

// Guards against rows of earlier versions, or of other writers, whose time is taken for valid.
TEST_CASE("JobRows ReadsTheTimeOfACancellation")
{
  CHECK(DecodeCancellation(EncodeCancellation(1'796'000'000'000)) == 1'796'000'000'000);
  for (const char* value :
       { "", "x", "-1", "0", "1.5", "99999999999999999999", "999999999999999" }) {
    INFO(value);
    CHECK_FALSE(DecodeCancellation(value).has_value());
  }
}

// Guards against entries of different builds that look for a job in different parts.
TEST_CASE("JobRows GivesAJobTheSamePartInEveryBuild")
{
  CHECK(JobPartOf("00000000000000a1") == "j7");
  CHECK(JobRow("00000000000000a1").part == CancelRow("00000000000000a1").part);
  CHECK(JobRow("00000000000000a1").part == WaitingRow("q", "00000000000000a1").part);
  CHECK(StateRow("00000000000000a1").part == LeaderRow().part);
}

// Guards against rows that the store does not take, and against counting them for another queue.
TEST_CASE("WaitingRow HasAKeyThatTheStoreTakesWhateverTheNameOfTheQueue")
{
  const std::string shortKey = "00000000000000a1";
  const std::string longKey = ServiceJobKey(shortKey, "service");
  for (const std::string& job : { shortKey, longKey }) {
    for (std::size_t bytes = 0; bytes <= 300; ++bytes) {
      INFO("job: " << job << ", bytes of the name: " << bytes);
      const std::string queue(bytes, 'x');
      const RowChange written = MakeWaitingRow(queue, job);
      CHECK(written.row == WaitingRow(queue, job));
      CHECK(written.row.key.size() <= kMaxKeyBytes);
      const auto prefixes = WaitingKeyPrefixes(queue);
      CHECK(std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& aPrefix) {
        return written.row.key == aPrefix + job;
      }));
      CHECK(IsWaitingRowOf(queue, written.row.key, written.value));
      CHECK_FALSE(IsWaitingRowOf(queue + "x", written.row.key, written.value));
      CHECK_FALSE(IsWaitingRowOf(queue + "/", written.row.key, written.value));
    }
  }
}

// Guards against rows of earlier versions that nobody finds or removes.
TEST_CASE("WaitingRow HasTheKeyOfEarlierVersionsWhenTheStoreTakesIt")
{
  const std::string queue(183, 'x');
  const RowChange written = MakeWaitingRow(queue, "00000000000000a1");
  CHECK(written.row.key == queue + "/00000000000000a1");
  CHECK(written.value.empty());
}
