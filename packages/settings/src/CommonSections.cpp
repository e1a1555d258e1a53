#include "CommonSections.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <filesystem>

namespace oriolespread::internal {

namespace {

// 32 bytes of text carry enough randomness for an HMAC key; the upper bound catches a wrong file.
constexpr std::size_t kMinKeyBytes = 32;
constexpr std::size_t kMaxKeyBytes = 1024;

constexpr Choice<LogLevel> kLogLevels[] = { { "debug", LogLevel::Debug },
                                            { "info", LogLevel::Info },
                                            { "warning", LogLevel::Warning },
                                            { "error", LogLevel::Error } };

constexpr std::uint64_t kKiB = std::uint64_t{ 1 } << 10U;
constexpr std::uint64_t kMiB = std::uint64_t{ 1 } << 20U;

std::string ResolveBeside(const std::string& aSource, const std::string& aPath)
{
  return (std::filesystem::path(aSource).parent_path() / aPath).string();
}

void TrimLineEnd(std::string& aText)
{
  while (!aText.empty() && (aText.back() == '\n' || aText.back() == '\r')) {
    aText.pop_back();
  }
}

// The key itself must not appear in any finding.
void CheckKey(SettingsReader& aLink, std::string_view aWhere, const std::string& aKey)
{
  const bool printable =
    std::all_of(aKey.begin(), aKey.end(), [](char aChar) { return aChar > ' ' && aChar <= '~'; });
  if (!printable || aKey.size() < kMinKeyBytes || aKey.size() > kMaxKeyBytes) {
    aLink.Complain(
      aWhere,
      absl::StrCat(
        "holds a key of ", aKey.size(), " bytes", printable ? "" : ", not all printable"),
      absl::StrCat(kMinKeyBytes, " to ", kMaxKeyBytes, " printable characters without spaces"));
  }
}

std::string ReadKeyFile(SettingsReader& aLink, const std::string& aPath)
{
  auto content = ReadFile(aPath, kMaxKeyBytes + 2);
  if (!content.ok()) {
    aLink.Complain(
      "key_file", std::string(content.status().message()), "a file that holds the key");
    return {};
  }
  TrimLineEnd(*content);
  CheckKey(aLink, "key_file", *content);
  return *std::move(content);
}

} // namespace

LinkSettings ReadLink(SettingsReader& aRoot, const std::string& aSource)
{
  LinkSettings settings;
  SettingsReader link = aRoot.Section("link", Presence::Required);
  std::string file;
  link.ReadText("key", settings.key, Presence::Optional);
  link.ReadText("key_file", file, Presence::Optional);
  if (link.Has("key") == link.Has("key_file")) {
    link.Complain("key",
                  link.Has("key") ? "stands beside key_file" : "is missing",
                  "exactly one of key and key_file");
  } else if (!file.empty()) {
    settings.key = ReadKeyFile(link, ResolveBeside(aSource, file));
  } else {
    CheckKey(link, link.Has("key") ? "key" : "key_file", settings.key);
  }
  link.Finish();
  return settings;
}

LogSettings ReadLog(SettingsReader& aRoot)
{
  LogSettings settings;
  SettingsReader log = aRoot.Section("log");
  log.ReadChoice("level", settings.level, kLogLevels);
  log.Finish();
  return settings;
}

HttpLimits ReadHttpLimits(SettingsReader& aLimits)
{
  HttpLimits limits;
  aLimits.ReadSize("header", limits.headerBytes, { kKiB, kMiB });
  aLimits.ReadSize("body", limits.bodyBytes, { kKiB, 64 * kMiB });
  aLimits.ReadSize("line", limits.lineBytes, { 256, kMiB });
  if (limits.lineBytes > limits.headerBytes) {
    aLimits.Complain("line", "is larger than header", "at most the size of all header lines");
  }
  return limits;
}

bool ReadDocument(std::string_view aText,
                  const std::string& aSource,
                  Findings& aFindings,
                  const std::function<void(SettingsReader&)>& aRead)
{
  const std::size_t before = aFindings.size();
  const auto table = ParseToml(aText, aSource, aFindings);
  if (table.has_value()) {
    SettingsReader root(*table, { 1, 1 }, "", aSource, aFindings);
    aRead(root);
    root.Finish();
  }
  return aFindings.size() == before;
}

} // namespace oriolespread::internal
