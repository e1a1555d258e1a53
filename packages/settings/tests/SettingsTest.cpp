#include "Units.h"

#include "oriolespread/settings/AgentSettings.h"
#include "oriolespread/settings/EntrySettings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oriolespread;

namespace {

constexpr const char* kSmallEntry = R"([entry]
id = "e-1"
data_centre = "dc-1"
http_address = "127.0.0.1:8080"
link_address = "[::1]:0"
[platform]
kind = "embedded"
[link]
key = "0123456789abcdef0123456789abcdef"
)";

constexpr const char* kSmallAgent = R"([agent]
id = "a-1"
worker = "w-1"
data_centre = "dc-1"
rack = "r-1"
local_http_address = "127.0.0.1:0"
[capacity]
cores = 1.5
memory = "1 GiB"
[entries]
bootstrap = ["127.0.0.1:1"]
[link]
key = "0123456789abcdef0123456789abcdef"
)";

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

// Returns the line, column, path and problem of each finding.
template<typename Settings>
std::vector<std::string> FindingsOf(const std::string& aText)
{
  Findings findings;
  const bool accepted = Settings::Parse(aText, "s.toml", findings).has_value();
  CHECK(accepted == findings.empty());
  std::vector<std::string> lines;
  for (const Finding& finding : findings.All()) {
    const Place& place = finding.place;
    CHECK_FALSE(finding.expected.empty());
    lines.push_back(std::to_string(place.line) + ":" + std::to_string(place.column) + " " +
                    place.path + " " + finding.problem);
  }
  return lines;
}

void CheckOneFinding(const std::vector<std::string>& aFindings, const std::string& aStart)
{
  INFO("expected one finding that starts with: " << aStart);
  REQUIRE(aFindings.size() == 1);
  CHECK_THAT(aFindings.front(), Catch::StartsWith(aStart));
}

} // namespace

// Guards against documented examples that the programs refuse.
TEST_CASE("EntrySettings LoadsTheExampleWithoutAFinding")
{
  const auto settings = EntrySettings::Load("examples/entry.toml");
  INFO(settings.status());
  REQUIRE(settings.ok());
  CHECK(settings->entry.id == EntryId{ "entry-1" });
  CHECK(settings->shards.ownershipLease == std::chrono::seconds(3));
  CHECK(settings->limits.http.bodyBytes == 8U * 1024 * 1024);
  CHECK(settings->linkDelays.at(DataCentreId{ "dc-2" }) == std::chrono::microseconds(3'500));
  const auto tokens = TokenTable::Create(settings->tokens);
  REQUIRE(tokens.ok());
  const auto caller = tokens->Find("example-acme-token");
  REQUIRE(caller.has_value());
  CHECK(caller->organisation == OrganisationId{ "acme" });
  CHECK(tokens->Find("example-operator-token")->role == Role::Operator);
}

TEST_CASE("AgentSettings LoadsTheExampleWithoutAFinding")
{
  const auto settings = AgentSettings::Load("examples/agent.toml");
  INFO(settings.status());
  REQUIRE(settings.ok());
  CHECK(settings->capacity == Resources{ 31'500, 120 * 1024, 0 });
  CHECK(settings->entries.bootstrap.size() == 2);
  CHECK(ToString(settings->worker.address) == "127.0.0.1:8082");
}

// Guards against examples that document a value as the default which is not the default.
TEST_CASE("EntrySettings HasTheDefaultsThatTheExampleShows")
{
  const auto example = EntrySettings::Load("examples/entry.toml");
  const auto small = EntrySettings::Parse(kSmallEntry, "s.toml");
  REQUIRE((example.ok() && small.ok()));
  CHECK(example->entry.httpThreads == small->entry.httpThreads);
  CHECK(example->entry.drainTime == small->entry.drainTime);
  CHECK(example->limits.queueLength == small->limits.queueLength);
  CHECK(example->shards.count == small->shards.count);
  CHECK(example->requests.hedgeQuantile == small->requests.hedgeQuantile);
  CHECK(small->entry.advertisedLinkAddress == small->entry.linkAddress);
  CHECK(AgentSettings::Parse(kSmallAgent, "s.toml").ok());
}

// Guards against reporting one finding at a time, or one without its place.
TEST_CASE("EntrySettings ReportsAllFindingsWithTheirPlaces")
{
  std::string text = Replaced(kSmallEntry, "id = \"e-1\"", "id = 7\ncolour = true");
  text = Replaced(text, "127.0.0.1:8080", "localhost:8080");
  text += "[shards]\ncount = 2000\nhorizon = \"ten\"\n[logs]\n";
  const std::vector<std::string> expected = {
    "2:6 entry.id is an integer",          "5:16 entry.http_address is \"localhost:8080\"",
    "3:1 entry.colour is not a known key", "12:9 shards.count is 2000",
    "13:11 shards.horizon is \"ten\"",     "14:2 logs is not a known key",
  };
  CHECK(FindingsOf<EntrySettings>(text) == expected);
  const auto status = EntrySettings::Parse(text, "s.toml").status();
  CHECK_THAT(std::string(status.message()),
             Catch::Contains("s.toml:2:6: entry.id: is an integer; expected 1 to 128 characters"));
}

// Guards against settings that are right one by one but cannot work together.
TEST_CASE("EntrySettings ReportsContradictions")
{
  const auto with = [](const std::string& aFrom, const std::string& aTo) {
    return FindingsOf<EntrySettings>(Replaced(kSmallEntry, aFrom, aTo));
  };
  const auto plus = [](const std::string& aMore) {
    return FindingsOf<EntrySettings>(std::string(kSmallEntry) + aMore);
  };
  CheckOneFinding(with("[::1]:0", "0.0.0.0:8080\"\nadvertised_link_address = \"10.0.0.1:8080"),
                  "5:16 entry.link_address clashes with http_address");
  CheckOneFinding(with("[::1]:0", "0.0.0.0:81"), "1:1 entry.advertised_link_address is missing");
  CheckOneFinding(with("\"embedded\"", "\"embedded\"\ntable_address = \"127.0.0.1:1\""),
                  "8:17 platform.table_address is set");
  CheckOneFinding(with("key =", "key_file = \"k\"\nkey ="), "10:7 link.key stands beside key_file");
  CheckOneFinding(with("0123456789", ""), "9:7 link.key holds a key of 22 bytes");
  CheckOneFinding(plus("[shards]\nrenewal_interval = \"1001 ms\""),
                  "11:20 shards.renewal_interval is longer than a third");
  CheckOneFinding(plus("[shards]\nhorizon = \"5 s\""), "10:1 shards.task_lease is longer");
  CheckOneFinding(plus("[limits]\nqueue_length = 30000"), "11:16 limits.queue_length is larger");
  CheckOneFinding(plus("[link_delays]\ndc-1 = \"3 ms\""),
                  "11:8 link_delays.dc-1 is the entry's own");
  CHECK(with("\"embedded\"", "\"http\"").size() == 2);
}

// Guards against plain tokens in reports, and against one token for two organisations.
TEST_CASE("EntrySettings ReportsWrongTokenDigestsWithoutShowingThem")
{
  const std::string digest = Sha256Hex("t");
  const std::string text = std::string(kSmallEntry) + "[[organisation]]\nname = \"a\"\n" +
                           "token_digests = [\"" + digest + "\", \"plain-token\"]\n" +
                           "[[organisation]]\nname = \"a\"\ntoken_digests = [\"" + digest + "\"]\n";
  const std::vector<std::string> expected = {
    "12:86 organisation[0].token_digests[1] is not a digest",
    "14:8 organisation[1].name is \"a\" again, as in line 11",
    "15:18 organisation[1].token_digests[0] is the digest of organisation[0].token_digests[0] in "
    "line 12",
  };
  CHECK(FindingsOf<EntrySettings>(text) == expected);
}

TEST_CASE("AgentSettings ReportsContradictions")
{
  const auto with = [](const std::string& aFrom, const std::string& aTo) {
    return FindingsOf<AgentSettings>(Replaced(kSmallAgent, aFrom, aTo));
  };
  CheckOneFinding(with("[\"127.0.0.1:1\"]", "[]"), "11:13 entries.bootstrap names no entry");
  CheckOneFinding(with("\"127.0.0.1:1\"", "\"127.0.0.1:1\", \"127.0.0.1:1\""),
                  "11:29 entries.bootstrap[1] is \"127.0.0.1:1\" again");
  CheckOneFinding(with("\"127.0.0.1:1\"", "\"127.0.0.1:0\""), "11:14 entries.bootstrap[0] is");
  CheckOneFinding(with("cores = 1.5", "cores = nan"), "8:9 capacity.cores is nan");
  CheckOneFinding(with("[link]", "[worker]\nkind = \"http\"\n[link]"),
                  "12:1 worker.address is missing");
  CheckOneFinding(with("[link]", "[reports]\nload_interval = \"1 s\"\n[link]"),
                  "13:17 reports.load_interval is \"1 s\"");
}

// Guards against units that are read as another unit and against silent overflow.
TEST_CASE("Units AcceptOnlyWholeNumbersWithAKnownUnit")
{
  using internal::ParseDuration;
  CHECK(ParseDuration("200 ms") == Duration(std::chrono::milliseconds(200)));
  CHECK(ParseDuration("2min") == Duration(std::chrono::minutes(2)));
  CHECK(internal::ParseSize("8 MiB") == 8U * 1024 * 1024);
  for (const char* text :
       { "", "5", "ms", "-1 s", "1.5 s", "1  s", "1 S", "1 s ", "9999999999 h" }) {
    INFO("'" << text << "'");
    CHECK_FALSE(ParseDuration(text).has_value());
    CHECK_FALSE(internal::ParseSize(text).has_value());
  }
  for (const char* text :
       { "a:1", "1.2.3:1", "1.2.3.4", "1.2.3.4:65536", "1.2.3.4:", "::1:1", "[::1]" }) {
    INFO("'" << text << "'");
    CHECK_FALSE(SocketAddress::Parse(text).has_value());
  }
}
