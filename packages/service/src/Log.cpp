#include "oriolespread/service/Log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <ctime>

namespace oriolespread {

namespace {

constexpr std::size_t kQueueLines = 8192;

const char* LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "invalid";
}

spdlog::level::level_enum SpdlogLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string UtcNow()
{
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     parts.tm_year + 1900,
                     parts.tm_mon + 1,
                     parts.tm_mday,
                     parts.tm_hour,
                     parts.tm_min,
                     parts.tm_sec,
                     milliseconds);
}

} // namespace

void InitLog(LogLevel aLevel)
{
  spdlog::init_thread_pool(kQueueLines, 1);
  auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("oriolespread");
  logger->set_pattern("%v");
  logger->set_level(SpdlogLevel(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void ShutdownLog()
{
  spdlog::shutdown();
}

void Log(LogLevel aLevel, std::string_view aEvent, const nlohmann::ordered_json& aFields)
{
  const auto logger = spdlog::default_logger();
  const spdlog::level::level_enum level = SpdlogLevel(aLevel);
  if (logger == nullptr || !logger->should_log(level)) {
    return;
  }
  const std::string line = FormatLogLine(aLevel, aEvent, UtcNow(), aFields);
  logger->log(level, spdlog::string_view_t(line.data(), line.size()));
}

std::string FormatLogLine(LogLevel aLevel,
                          std::string_view aEvent,
                          std::string_view aTime,
                          const nlohmann::ordered_json& aFields)
{
  nlohmann::ordered_json line;
  line["time"] = aTime;
  line["level"] = LevelName(aLevel);
  line["event"] = aEvent;
  for (const auto& [key, value] : aFields.items()) {
    line[key] = value;
  }
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace oriolespread
