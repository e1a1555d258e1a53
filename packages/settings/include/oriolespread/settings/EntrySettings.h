// Settings of the binary `oriolespread`, read from a TOML file; examples/entry.toml documents each.
//
//   const absl::StatusOr<EntrySettings> settings = EntrySettings::Load("entry.toml");
//   if (!settings.ok()) { std::cerr << settings.status().message(); }
//
// Reading is strict: an unknown key, a wrong type, unit or range, and settings that contradict each
// other are findings, and all of them are reported together.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/auth/TokenTable.h"
#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"
#include "oriolespread/settings/CommonSettings.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread {

// [entry]
struct EntryProcessSettings
{
  EntryId id;
  DataCentreId dataCentre;
  SocketAddress httpAddress;
  SocketAddress linkAddress;
  // What peers are told to connect to. The listener's address by default; port 0 stands for the
  // port that the listener was given.
  SocketAddress advertisedHttpAddress;
  SocketAddress advertisedLinkAddress;
  // Each connection holds one thread while it is served.
  std::uint32_t httpThreads = 64;
  Duration drainTime = std::chrono::seconds(30);
};

enum class PlatformKind
{
  // Table and object store live in this process and end with it; for development and
  // demonstrations.
  Embedded,
  Http,
};

// [platform]
struct PlatformSettings
{
  PlatformKind kind = PlatformKind::Http;
  // Set with kind Http only.
  SocketAddress tableAddress;
  SocketAddress objectAddress;
  Duration timeout = std::chrono::seconds(2);
};

// [limits]
struct EntryLimits
{
  HttpLimits http;
  // Requests waiting for one organisation and class.
  std::uint32_t queueLength = 1'000;
  // Requests waiting in all queues together.
  std::uint32_t totalQueueLength = 20'000;
  // Items waiting between two threads.
  std::uint32_t ringLength = 8'192;
};

// [shards]
struct ShardSettings
{
  std::uint32_t count = 8;
  Duration ownershipLease = std::chrono::seconds(3);
  Duration renewalInterval = std::chrono::seconds(1);
  Duration horizon = std::chrono::seconds(600);
  Duration taskLease = std::chrono::seconds(10);
  Duration journalInterval = std::chrono::milliseconds(100);
};

// [requests]
struct RequestSettings
{
  Duration latencyCriticalDeadline = std::chrono::seconds(1);
  Duration batchDeadline = std::chrono::seconds(10);
  // Retries as a fraction of an organisation's successes, and how many it may have beyond that.
  double retryBudget = 0.1;
  std::uint32_t retryReserve = 10;
  // Hedges as a fraction of requests, and the latency quantile after which a hedge is sent.
  double hedgeBudget = 0.02;
  double hedgeQuantile = 0.95;
};

struct EntrySettings
{
  EntryProcessSettings entry;
  PlatformSettings platform;
  LinkSettings link;
  // From [[organisation]] and [operator]; no digest occurs twice.
  std::vector<TokenGrant> tokens;
  EntryLimits limits;
  ShardSettings shards;
  RequestSettings requests;
  LogSettings log;
  // One-way delay to each other data centre.
  std::map<DataCentreId, Duration> linkDelays;

  // Reads a file. Returns InvalidArgument with one line for each finding, or NotFound when the file
  // cannot be read.
  static absl::StatusOr<EntrySettings> Load(const std::string& aPath);
  // As Load, for text that was read from `aSource`. A relative key_file is looked up beside it.
  static absl::StatusOr<EntrySettings> Parse(std::string_view aText, const std::string& aSource);
  // As Parse, with the findings as values. Returns nothing when there is any finding.
  static std::optional<EntrySettings> Parse(std::string_view aText,
                                            const std::string& aSource,
                                            Findings& aFindings);
};

} // namespace oriolespread
