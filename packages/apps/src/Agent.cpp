// The agent's program: one process beside each upstream or worker.

#include "CommandLine.h"

#include "oriolespread/daemon/ClusterAgent.h"
#include "oriolespread/service/AgentServer.h"
#include "oriolespread/service/Log.h"

#include <iostream>

namespace {

using namespace oriolespread;

int RunInCluster(bool aCheckOnly)
{
  auto settings = platformwire::LoadDaemonSettings();
  if (!settings.ok()) {
    std::cerr << settings.status().message();
    return apps::kExitUsage;
  }
  if (aCheckOnly) {
    std::cout << "settings are valid\n";
    return apps::kExitOk;
  }
  InitLog(LogLevel::Info);
  const absl::Status status = daemon::RunClusterAgent(*std::move(settings));
  if (!status.ok()) {
    Log(LogLevel::Error, "start_failed", { { "reason", std::string(status.message()) } });
  }
  ShutdownLog();
  return status.ok() ? apps::kExitOk : apps::kExitFailure;
}

int Run(const cxxopts::ParseResult& aOptions)
{
  if (aOptions.count("cluster") > 0) {
    return RunInCluster(aOptions.count("check") > 0);
  }
  if (aOptions.count("config") == 0) {
    std::cerr << "oriolespread-agent: --config is needed\n";
    return apps::kExitUsage;
  }
  auto settings = AgentSettings::Load(aOptions["config"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.status().message();
    return apps::kExitUsage;
  }
  if (aOptions.count("check") > 0) {
    std::cout << "settings are valid\n";
    return apps::kExitOk;
  }
  apps::BlockStopSignals();
  InitLog(settings->log.level);
  auto agent = AgentServer::Create(*std::move(settings));
  if (!agent.ok()) {
    Log(LogLevel::Error, "start_failed", { { "reason", std::string(agent.status().message()) } });
    ShutdownLog();
    return apps::kExitFailure;
  }
  (*agent)->Start();
  apps::WaitForStopSignal();
  const bool complete = (*agent)->Shutdown();
  ShutdownLog();
  return complete ? apps::kExitOk : apps::kExitFailure;
}

} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("oriolespread-agent",
                           "Runs beside a worker or upstream and connects it with the entries.\n"
                           "Exit codes: 0 done, 1 failed, 2 wrong command line or settings.");
  options.add_options()("config", "settings file (TOML)", cxxopts::value<std::string>())(
    "cluster", "run on the platform that starts it")(
    "check", "check the settings, report every finding and stop");
  int exitCode = 0;
  const auto parsed = oriolespread::apps::ParseOptions(options, argc, argv, exitCode);
  return parsed.has_value() ? Run(*parsed) : exitCode;
}
