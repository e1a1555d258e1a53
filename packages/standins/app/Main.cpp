// Stand-ins for the platform, a worker or an upstream, as one process each. Prints one JSON line
// with the address it listens on and runs until SIGTERM or SIGINT.

#include "oriolespread/standins/StandInPlatform.h"
#include "oriolespread/standins/StandInUpstream.h"
#include "oriolespread/standins/StandInWorker.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace oriolespread;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr const char* kAnyPort = "127.0.0.1:0";

// Announces the address and waits for a signal that ends the process.
void PrintAndWait(const std::string& aKind, const SocketAddress& aAddress)
{
  const nlohmann::json line = { { "event", "listening" },
                                { "kind", aKind },
                                { "http", ToString(aAddress) } };
  std::cout << line.dump() << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

void BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

template<typename StandIn>
int RunStandIn(const std::string& aKind, StandIn& aStandIn, const SocketAddress& aAddress)
{
  if (const absl::Status status = aStandIn.Start(aAddress); !status.ok()) {
    std::cerr << status << "\n";
    return kExitFailure;
  }
  PrintAndWait(aKind, aStandIn.Address());
  aStandIn.Stop();
  return 0;
}

int RunUpstream(const cxxopts::ParseResult& aOptions, const SocketAddress& aAddress)
{
  const auto agent = SocketAddress::Parse(aOptions["agent"].as<std::string>());
  if (!agent.has_value()) {
    std::cerr << "--agent is no IP address with port\n";
    return kExitUsage;
  }
  StandInUpstream upstream({ UpstreamId{ aOptions["id"].as<std::string>() },
                             OrganisationId{ aOptions["organisation"].as<std::string>() },
                             ServiceName{ aOptions["service"].as<std::string>() },
                             aOptions["slots"].as<std::uint32_t>(),
                             aOptions["connections"].as<std::uint32_t>(),
                             *agent });
  return RunStandIn("upstream", upstream, aAddress);
}

int Run(const cxxopts::ParseResult& aOptions)
{
  const auto address = SocketAddress::Parse(aOptions["listen"].as<std::string>());
  if (!address.has_value()) {
    std::cerr << "--listen is no IP address with port\n";
    return kExitUsage;
  }
  const auto kind = aOptions["kind"].as<std::string>();
  if (kind == "platform") {
    StandInPlatform platform;
    return RunStandIn(kind, platform, *address);
  }
  if (kind == "worker") {
    StandInWorker worker({ aOptions["milli-cores"].as<std::int64_t>(),
                           aOptions["memory-mib"].as<std::int64_t>(),
                           aOptions["accelerators"].as<std::int64_t>() });
    return RunStandIn(kind, worker, *address);
  }
  if (kind == "upstream") {
    return RunUpstream(aOptions, *address);
  }
  std::cerr << "oriolespread-standins: kind is '" << kind
            << "'; expected platform, worker or upstream\n";
  return kExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("oriolespread-standins",
                           "Stand-ins for the platform, a worker or an upstream.");
  options.add_options()("kind", "platform, worker or upstream", cxxopts::value<std::string>())(
    "listen", "address to listen on", cxxopts::value<std::string>()->default_value(kAnyPort))(
    "milli-cores", "worker", cxxopts::value<std::int64_t>()->default_value("32000"))(
    "memory-mib", "worker", cxxopts::value<std::int64_t>()->default_value("128000"))(
    "accelerators", "worker", cxxopts::value<std::int64_t>()->default_value("0"))(
    "agent", "upstream: agent's local address", cxxopts::value<std::string>())(
    "id", "upstream", cxxopts::value<std::string>()->default_value("upstream-1"))(
    "organisation", "upstream", cxxopts::value<std::string>()->default_value("acme"))(
    "service", "upstream", cxxopts::value<std::string>()->default_value("lookup"))(
    "slots", "upstream", cxxopts::value<std::uint32_t>()->default_value("8"))(
    "connections", "upstream", cxxopts::value<std::uint32_t>()->default_value("64"))(
    "h,help", "print this help");
  options.parse_positional({ "kind" });
  BlockSignals();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("kind") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : kExitUsage;
    }
    return Run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "oriolespread-standins: " << error.what() << "\n";
    return kExitUsage;
  }
}
