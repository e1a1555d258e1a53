#include "oriolespread/settings/EntrySettings.h"

#include "CommonSections.h"
#include "absl/strings/str_cat.h"

namespace oriolespread {

namespace {

using namespace internal;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Choice<PlatformKind> kPlatformKinds[] = { { "embedded", PlatformKind::Embedded },
                                                    { "http", PlatformKind::Http } };

// A peer cannot connect to a wildcard, so one must be told what to connect to instead.
void ReadAdvertised(SettingsReader& aEntry,
                    const char* aKey,
                    const char* aListenerKey,
                    const SocketAddress& aListener,
                    SocketAddress& aAdvertised)
{
  aAdvertised = aListener;
  const bool given = aEntry.Has(aKey);
  const bool valid = aEntry.ReadAddress(aKey, aAdvertised, Presence::Optional);
  if (aAdvertised.IsWildcard() && (valid || !given)) {
    aEntry.Complain(aKey,
                    given ? "is a wildcard"
                          : absl::StrCat("is missing while ", aListenerKey, " is a wildcard"),
                    "an address that peers can connect to");
  }
}

EntryProcessSettings ReadEntry(SettingsReader& aRoot)
{
  EntryProcessSettings entry;
  SettingsReader reader = aRoot.Section("entry", Presence::Required);
  reader.ReadName("id", entry.id, Presence::Required);
  reader.ReadName("data_centre", entry.dataCentre, Presence::Required);
  const bool http = reader.ReadAddress("http_address", entry.httpAddress, Presence::Required);
  const bool link = reader.ReadAddress("link_address", entry.linkAddress, Presence::Required);
  if (http && link && entry.httpAddress.ClashesWith(entry.linkAddress)) {
    reader.Complain("link_address", "clashes with http_address", "two different listeners");
  }
  ReadAdvertised(reader,
                 "advertised_http_address",
                 "http_address",
                 entry.httpAddress,
                 entry.advertisedHttpAddress);
  ReadAdvertised(reader,
                 "advertised_link_address",
                 "link_address",
                 entry.linkAddress,
                 entry.advertisedLinkAddress);
  reader.ReadInteger("http_threads", entry.httpThreads, { 1, 4'096 });
  reader.ReadDuration("drain_time", entry.drainTime, kDrainRange);
  reader.Finish();
  return entry;
}

void ReadPlatformAddress(SettingsReader& aReader,
                         const char* aKey,
                         PlatformKind aKind,
                         SocketAddress& aTarget)
{
  const bool http = aKind == PlatformKind::Http;
  const bool valid =
    aReader.ReadAddress(aKey, aTarget, http ? Presence::Required : Presence::Optional);
  if (!http && aReader.Has(aKey)) {
    aReader.Complain(aKey, "is set while kind is \"embedded\"", "no address, or kind \"http\"");
  }
  if (http && valid && (aTarget.port == 0 || aTarget.IsWildcard())) {
    aReader.Complain(aKey, "is " + ToString(aTarget), "an address that can be connected to");
  }
}

PlatformSettings ReadPlatform(SettingsReader& aRoot)
{
  PlatformSettings platform;
  SettingsReader reader = aRoot.Section("platform", Presence::Required);
  reader.ReadChoice("kind", platform.kind, kPlatformKinds);
  ReadPlatformAddress(reader, "table_address", platform.kind, platform.tableAddress);
  ReadPlatformAddress(reader, "object_address", platform.kind, platform.objectAddress);
  reader.ReadDuration("timeout", platform.timeout, kTimeoutRange);
  reader.Finish();
  return platform;
}

// Collects the tokens of organisations and operators. A text that is not a digest may be a plain
// token, so it must not appear in any finding.
class TokenReader
{
public:
  TokenReader(std::vector<TokenGrant>& aTokens, Findings& aFindings)
    : tokens(&aTokens)
    , findings(&aFindings)
  {
  }

  void Read(SettingsReader& aReader, const Principal& aPrincipal)
  {
    for (const auto& [text, place] : aReader.ReadTexts("token_digests", Presence::Required)) {
      const auto digest = DigestFromHex(text);
      if (!digest.has_value()) {
        this->findings->Add(
          place, "is not a digest", "64 lower-case hexadecimal digits of a SHA-256 digest");
        continue;
      }
      const auto [first, inserted] = this->places.emplace(*digest, place);
      if (!inserted) {
        this->findings->Add(
          place,
          absl::StrCat("is the digest of ", first->second.path, " in line ", first->second.line),
          "a token of its own");
        continue;
      }
      this->tokens->push_back({ *digest, aPrincipal });
    }
  }

private:
  std::vector<TokenGrant>* tokens;
  Findings* findings;
  std::map<Sha256Digest, Place> places;
};

std::vector<TokenGrant> ReadTokens(SettingsReader& aRoot, Findings& aFindings)
{
  std::vector<TokenGrant> tokens;
  TokenReader tokenReader(tokens, aFindings);
  std::map<OrganisationId, std::uint32_t> lines;
  for (SettingsReader& reader : aRoot.Sections("organisation")) {
    OrganisationId name;
    reader.ReadName("name", name, Presence::Required);
    const auto [first, inserted] = lines.emplace(name, reader.PlaceOf("name").line);
    if (!inserted && !name.Value().empty()) {
      reader.Complain("name",
                      absl::StrCat("is \"", name.Value(), "\" again, as in line ", first->second),
                      "one [[organisation]] for each name");
    }
    tokenReader.Read(reader, { Role::Organisation, name });
    reader.Finish();
  }
  SettingsReader operators = aRoot.Section("operator");
  if (aRoot.Has("operator")) {
    tokenReader.Read(operators, { Role::Operator, {} });
  }
  operators.Finish();
  return tokens;
}

EntryLimits ReadLimits(SettingsReader& aRoot)
{
  EntryLimits limits;
  SettingsReader reader = aRoot.Section("limits");
  limits.http = ReadHttpLimits(reader);
  reader.ReadInteger("queue_length", limits.queueLength, kLengthRange);
  reader.ReadInteger("total_queue_length", limits.totalQueueLength, kLengthRange);
  reader.ReadInteger("ring_length", limits.ringLength, kLengthRange);
  if (limits.queueLength > limits.totalQueueLength) {
    reader.Complain(
      "queue_length", "is larger than total_queue_length", "at most total_queue_length");
  }
  reader.Finish();
  return limits;
}

ShardSettings ReadShards(SettingsReader& aRoot)
{
  ShardSettings shards;
  SettingsReader reader = aRoot.Section("shards");
  reader.ReadInteger("count", shards.count, { 1, 1'024 });
  reader.ReadDuration("ownership_lease", shards.ownershipLease, { milliseconds(300), minutes(10) });
  reader.ReadDuration("renewal_interval", shards.renewalInterval, { milliseconds(50), minutes(3) });
  reader.ReadDuration("horizon", shards.horizon, { seconds(1), std::chrono::hours(24) });
  reader.ReadDuration("task_lease", shards.taskLease, { seconds(1), minutes(10) });
  reader.ReadDuration("journal_interval", shards.journalInterval, { milliseconds(10), seconds(5) });
  // Two renewals may then be lost before the lease lapses.
  if (3 * shards.renewalInterval > shards.ownershipLease) {
    reader.Complain("renewal_interval",
                    "is longer than a third of ownership_lease",
                    "at most a third of ownership_lease");
  }
  if (shards.ownershipLease > shards.horizon) {
    reader.Complain("ownership_lease", "is longer than horizon", "at most horizon");
  }
  if (shards.taskLease > shards.horizon) {
    reader.Complain("task_lease", "is longer than horizon", "at most horizon");
  }
  if (shards.journalInterval > shards.ownershipLease) {
    reader.Complain(
      "journal_interval", "is longer than ownership_lease", "at most ownership_lease");
  }
  reader.Finish();
  return shards;
}

RequestSettings ReadRequests(SettingsReader& aRoot)
{
  RequestSettings requests;
  SettingsReader reader = aRoot.Section("requests");
  reader.ReadDuration("latency_critical_deadline", requests.latencyCriticalDeadline, kTimeoutRange);
  reader.ReadDuration("batch_deadline", requests.batchDeadline, { milliseconds(1), minutes(60) });
  reader.ReadNumber("retry_budget", requests.retryBudget, { 0.0, 1.0 });
  reader.ReadInteger("retry_reserve", requests.retryReserve, { 0, 10'000 });
  reader.ReadNumber("hedge_budget", requests.hedgeBudget, { 0.0, 1.0 });
  reader.ReadNumber("hedge_quantile", requests.hedgeQuantile, { 0.5, 0.999 });
  reader.Finish();
  return requests;
}

std::map<DataCentreId, Duration> ReadLinkDelays(SettingsReader& aRoot,
                                                const DataCentreId& aOwnDataCentre)
{
  std::map<DataCentreId, Duration> delays;
  SettingsReader reader = aRoot.Section("link_delays");
  for (const std::string& name : reader.Keys()) {
    Duration delay{};
    reader.ReadDuration(name, delay, { Duration::zero(), seconds(10) });
    if (!IsValidName(name)) {
      reader.Complain(name, "is not the name of a data centre", "a valid name");
    }
    if (name == aOwnDataCentre.Value() && delay != Duration::zero()) {
      reader.Complain(name, "is the entry's own data centre", "no delay, or \"0 ms\"");
    }
    delays.emplace(DataCentreId{ name }, delay);
  }
  reader.Finish();
  return delays;
}

} // namespace

absl::StatusOr<EntrySettings> EntrySettings::Load(const std::string& aPath)
{
  const auto text = ReadFile(aPath, kMaxDocumentBytes);
  if (!text.ok()) {
    return text.status();
  }
  return EntrySettings::Parse(*text, aPath);
}

absl::StatusOr<EntrySettings> EntrySettings::Parse(std::string_view aText,
                                                   const std::string& aSource)
{
  Findings findings;
  auto settings = EntrySettings::Parse(aText, aSource, findings);
  if (!settings.has_value()) {
    return findings.ToStatus();
  }
  return *std::move(settings);
}

std::optional<EntrySettings> EntrySettings::Parse(std::string_view aText,
                                                  const std::string& aSource,
                                                  Findings& aFindings)
{
  EntrySettings settings;
  const auto read = [&](SettingsReader& aRoot) {
    settings.entry = ReadEntry(aRoot);
    settings.platform = ReadPlatform(aRoot);
    settings.link = ReadLink(aRoot, aSource);
    settings.tokens = ReadTokens(aRoot, aFindings);
    settings.limits = ReadLimits(aRoot);
    settings.shards = ReadShards(aRoot);
    settings.requests = ReadRequests(aRoot);
    settings.log = ReadLog(aRoot);
    settings.linkDelays = ReadLinkDelays(aRoot, settings.entry.dataCentre);
  };
  if (!ReadDocument(aText, aSource, aFindings, read)) {
    return std::nullopt;
  }
  return settings;
}

} // namespace oriolespread
