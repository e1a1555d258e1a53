// The entry's program and the commands of operators and callers.

#include "CommandLine.h"
#include "Commands.h"

#include "oriolespread/daemon/ClusterEntry.h"
#include "oriolespread/service/EntryServer.h"
#include "oriolespread/service/Log.h"

#include <iostream>
#include <string>

namespace {

using namespace oriolespread;

constexpr const char* kUsage =
  "oriolespread: scheduler for latency-critical services and batch jobs\n"
  "\n"
  "Usage: oriolespread COMMAND [options]\n"
  "\n"
  "  serve          run an entry\n"
  "  serve-cluster  run an entry on the platform that starts it\n"
  "  check-config   check a settings file and report every finding\n"
  "  ticket submit  submit a change ticket\n"
  "  ticket show    show the configuration in force, or at a ticket\n"
  "  ticket log     show accepted tickets\n"
  "  job submit     submit a job\n"
  "  job show       show the state of a job\n"
  "  job cancel     cancel a job or some of its tasks\n"
  "  status         show the state of an entry\n"
  "\n"
  "Every command has --help and --version.\n"
  "Exit codes: 0 done, 1 refused or failed, 2 wrong command line or settings,\n"
  "3 the entry cannot be reached or the outcome is not known.\n";

int Serve(int aCount, char** aArguments)
{
  cxxopts::Options options("oriolespread serve", "Runs an entry until SIGTERM or SIGINT.");
  options.add_options()("config", "settings file (TOML)", cxxopts::value<std::string>());
  int exitCode = 0;
  const auto parsed = apps::ParseOptions(options, aCount, aArguments, exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  if (parsed->count("config") == 0) {
    std::cerr << "oriolespread serve: --config is needed\n";
    return apps::kExitUsage;
  }
  auto settings = EntrySettings::Load((*parsed)["config"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.status().message();
    return apps::kExitUsage;
  }
  apps::BlockStopSignals();
  InitLog(settings->log.level);
  auto entry = EntryServer::Create(*std::move(settings));
  if (!entry.ok()) {
    Log(LogLevel::Error, "start_failed", { { "reason", std::string(entry.status().message()) } });
    ShutdownLog();
    return apps::kExitFailure;
  }
  (*entry)->Start();
  apps::WaitForStopSignal();
  const bool complete = (*entry)->Shutdown();
  ShutdownLog();
  return complete ? apps::kExitOk : apps::kExitFailure;
}

int ServeCluster(int aCount, char** aArguments)
{
  cxxopts::Options options("oriolespread serve-cluster",
                           "Runs an entry on the platform until SIGTERM or SIGINT.");
  options.add_options()("check", "check the settings, report every finding and stop");
  int exitCode = 0;
  const auto parsed = apps::ParseOptions(options, aCount, aArguments, exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  auto settings = platformwire::LoadDaemonSettings();
  if (!settings.ok()) {
    std::cerr << settings.status().message();
    return apps::kExitUsage;
  }
  if (parsed->count("check") > 0) {
    std::cout << "settings are valid\n";
    return apps::kExitOk;
  }
  InitLog(LogLevel::Info);
  const absl::Status status = daemon::RunClusterEntry(*std::move(settings));
  if (!status.ok()) {
    Log(LogLevel::Error, "start_failed", { { "reason", std::string(status.message()) } });
  }
  ShutdownLog();
  return status.ok() ? apps::kExitOk : apps::kExitFailure;
}

int CheckConfig(int aCount, char** aArguments)
{
  cxxopts::Options options("oriolespread check-config",
                           "Checks a settings file of an entry and reports every finding.");
  options.add_options()("file", "settings file (TOML)", cxxopts::value<std::string>());
  options.parse_positional({ "file" });
  options.positional_help("FILE");
  int exitCode = 0;
  const auto parsed = apps::ParseOptions(options, aCount, aArguments, exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  if (parsed->count("file") == 0) {
    std::cerr << "usage: oriolespread check-config FILE\n";
    return apps::kExitUsage;
  }
  const auto settings = EntrySettings::Load((*parsed)["file"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.status().message();
    return apps::kExitUsage;
  }
  std::cout << "settings are valid\n";
  return apps::kExitOk;
}

} // namespace

int main(int argc, char** argv)
{
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "--version") {
    std::cout << "oriolespread " << ORIOLESPREAD_VERSION << "\n";
    return apps::kExitOk;
  }
  if (command == "serve") {
    return Serve(argc - 1, argv + 1);
  }
  if (command == "serve-cluster") {
    return ServeCluster(argc - 1, argv + 1);
  }
  if (command == "check-config") {
    return CheckConfig(argc - 1, argv + 1);
  }
  if (command == "ticket") {
    return apps::RunTicket(argc - 1, argv + 1);
  }
  if (command == "job") {
    return apps::RunJob(argc - 1, argv + 1);
  }
  if (command == "status") {
    return apps::RunStatus(argc - 1, argv + 1);
  }
  const bool help = command == "--help" || command == "-h" || command == "help";
  (help ? std::cout : std::cerr) << kUsage;
  return help ? apps::kExitOk : apps::kExitUsage;
}
