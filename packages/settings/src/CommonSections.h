// Reads the sections that both binaries have.
#pragma once

#include "SettingsReader.h"

#include "oriolespread/settings/CommonSettings.h"

#include <functional>
#include <optional>

namespace oriolespread::internal {

constexpr Range<Duration> kTimeoutRange{ std::chrono::milliseconds(1), std::chrono::minutes(1) };
constexpr Range<Duration> kDrainRange{ std::chrono::seconds(0), std::chrono::minutes(60) };
constexpr Range<std::uint32_t> kLengthRange{ 1, 1'000'000 };

// Reads [link]: exactly one of key and key_file.
LinkSettings ReadLink(SettingsReader& aRoot, const std::string& aSource);
LogSettings ReadLog(SettingsReader& aRoot);
// Reads header, body and line of an open [limits] section.
HttpLimits ReadHttpLimits(SettingsReader& aLimits);

// Parses a document and has `aRead` read its root; keys that it did not read are findings.
// Returns whether there is no finding.
bool ReadDocument(std::string_view aText,
                  const std::string& aSource,
                  Findings& aFindings,
                  const std::function<void(SettingsReader&)>& aRead);

} // namespace oriolespread::internal
