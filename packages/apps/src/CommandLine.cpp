#include "CommandLine.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace oriolespread::apps {

namespace {

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& aOptions,
                                                 int aCount,
                                                 char** aArguments,
                                                 int& aExitCode)
{
  aOptions.add_options()("h,help", "print this help")("version", "print the version");
  aExitCode = kExitOk;
  try {
    auto parsed = aOptions.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << aOptions.help();
      return std::nullopt;
    }
    if (parsed.count("version") > 0) {
      std::cout << "oriolespread " << ORIOLESPREAD_VERSION << "\n";
      return std::nullopt;
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << aOptions.program() << ": unexpected argument '" << parsed.unmatched().front()
                << "'\n";
      aExitCode = kExitUsage;
      return std::nullopt;
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << aOptions.program() << ": " << error.what() << "\n";
    aExitCode = kExitUsage;
    return std::nullopt;
  }
}

std::optional<std::string> ReadText(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace oriolespread::apps
