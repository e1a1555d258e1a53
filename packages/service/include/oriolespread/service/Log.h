// Structured log of a process, one JSON object a line:
//
//   InitLog(LogLevel::Info);
//   Log(LogLevel::Info, "link_up", {{"agent", "a-1"}});
//
// prints {"time":"2026-01-01T00:00:00.000Z","level":"info","event":"link_up","agent":"a-1"}.
#pragma once

#include "oriolespread/settings/CommonSettings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace oriolespread {

// Starts the log thread, which writes to standard output. Lines beyond its bounded queue replace
// the oldest ones. Lines logged before this call go to standard output directly.
void InitLog(LogLevel aLevel);
// Writes what is queued and ends the log thread.
void ShutdownLog();

// Writes one line. Field values are escaped; text that is not UTF-8 is replaced. Thread-safe. Never
// pass tokens, keys or bodies.
void Log(LogLevel aLevel,
         std::string_view aEvent,
         const nlohmann::ordered_json& aFields = nlohmann::ordered_json::object());

// Returns the line that Log writes for the given time text.
std::string FormatLogLine(LogLevel aLevel,
                          std::string_view aEvent,
                          std::string_view aTime,
                          const nlohmann::ordered_json& aFields);

} // namespace oriolespread
