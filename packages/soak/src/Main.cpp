// The soak's program: one run a seed, one line a run, and the faults and logs of a run that failed.

#include "Soak.h"
#include "StopSoak.h"

#include <cxxopts.hpp>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace {

using namespace oriolespread;
using namespace oriolespread::soak;

constexpr int kNetworks = 200;

// Lines of each kind that are printed of a run.
constexpr std::size_t kMaxPrinted = 40;

void Print(const char* aKind, const std::vector<std::string>& aLines)
{
  for (std::size_t index = 0; index < std::min(aLines.size(), kMaxPrinted); ++index) {
    std::cout << "  " << aKind << " " << aLines[index] << "\n";
  }
  if (aLines.size() > kMaxPrinted) {
    std::cout << "  " << aKind << " and " << aLines.size() - kMaxPrinted << " more\n";
  }
}

bool RunStops(const cxxopts::ParseResult& aOptions, std::uint64_t aSeed)
{
  StopSoakOptions options;
  options.programs = aOptions["programs"].as<std::string>();
  options.seed = aSeed;
  options.length = std::chrono::seconds(aOptions["seconds"].as<int>());
  options.entries = aOptions["entries"].as<std::size_t>();
  options.groups = aOptions["groups"].as<std::size_t>();
  options.workers = aOptions["workers"].as<std::size_t>();
  options.callers = aOptions["callers"].as<std::size_t>();
  const auto plan = ParseStopPlan(aOptions["plan"].as<std::string>());
  const auto slowStore = ParseSlowStore(aOptions["slow-store"].as<std::string>());
  if (!plan.has_value() || !slowStore.has_value()) {
    throw std::runtime_error("no such plan or kind of slow store");
  }
  options.plan = *plan;
  options.slowStore = *slowStore;
  options.secondSignal = aOptions.count("second-signal") > 0;
  options.longTimeouts = aOptions.count("long-timeouts") > 0;
  options.repeatCancels = aOptions.count("repeat-cancels") > 0;
  options.balanced = aOptions.count("balanced") > 0;
  options.network = 20 + static_cast<int>(::getpid() % kNetworks);
  options.directory = aOptions["directory"].as<std::string>() + "/stops-" +
                      std::to_string(::getpid()) + "-" + std::to_string(aSeed);
  StopSoak soak(options);
  const std::vector<std::string> broken = soak.Run();
  std::cout << "stops seed " << aSeed << ": " << broken.size() << " promises broken; "
            << soak.Figures() << std::endl;
  Print("finding", soak.Findings());
  if (broken.empty()) {
    std::filesystem::remove_all(options.directory);
    return true;
  }
  Print("event ", soak.Events());
  Print("BROKEN", broken);
  std::cout << "  logs in " << options.directory << std::endl;
  return false;
}

bool RunSeed(const cxxopts::ParseResult& aOptions, std::uint64_t aSeed)
{
  SoakOptions options;
  options.programs = aOptions["programs"].as<std::string>();
  options.seed = aSeed;
  options.length = std::chrono::seconds(aOptions["seconds"].as<int>());
  options.entries = aOptions["entries"].as<std::size_t>();
  options.workers = aOptions["workers"].as<std::size_t>();
  options.calm = aOptions.count("calm") > 0;
  options.refusals = aOptions.count("refusals") > 0;
  options.giveUps = aOptions.count("give-ups") > 0;
  options.mix = aOptions.count("mix") > 0;
  options.rate = aOptions["rate"].as<double>();
  options.keepEnded = std::chrono::seconds(aOptions["keep-ended"].as<int>());
  if (aOptions.count("quota") > 0) {
    options.entryQuotas = aOptions["quota"].as<std::vector<double>>();
  }
  options.agentQuota = aOptions["agent-quota"].as<double>();
  options.storeDelay = std::chrono::milliseconds(aOptions["store-delay"].as<int>());
  options.linkDelay = std::chrono::milliseconds(aOptions["link-delay"].as<int>());
  options.lostAnswers = aOptions["lose-answers"].as<double>();
  const auto end = ParseSoakEnd(aOptions["end"].as<std::string>());
  if (!end.has_value()) {
    throw std::runtime_error("no such end");
  }
  if (!options.mix && (*end != SoakEnd::None || options.lostAnswers > 0)) {
    throw std::runtime_error("--end and --lose-answers need --mix");
  }
  options.end = *end;
  options.logStore = aOptions.count("log-store") > 0;
  options.killLeader = aOptions.count("kill-leader") > 0;
  options.maxWorkerLease = std::chrono::seconds(aOptions["max-worker-lease"].as<int>());
  options.crashKillsLeader = aOptions.count("crash-kills-leader") > 0;
  options.pairs = aOptions.count("pairs") > 0;
  options.workerCrashes = options.crashKillsLeader || aOptions.count("worker-crashes") > 0;
  options.network = 20 + static_cast<int>(::getpid() % kNetworks);
  options.directory = aOptions["directory"].as<std::string>() + "/" + std::to_string(::getpid()) +
                      "-" + std::to_string(aSeed);
  Soak soak(options);
  const std::vector<std::string> broken = soak.Run();
  std::cout << "seed " << aSeed << ": " << soak.Jobs() << " jobs, " << soak.Starts() << " starts, "
            << soak.Faults().size() << " faults, " << broken.size() << " promises broken"
            << (options.mix ? " (" + soak.MixSummary() + ")" : "") << std::endl;
  if (broken.empty()) {
    std::filesystem::remove_all(options.directory);
    return true;
  }
  for (const std::string& fault : soak.Faults()) {
    std::cout << "  fault  " << fault << "\n";
  }
  for (const std::string& promise : broken) {
    std::cout << "  BROKEN " << promise << "\n";
  }
  std::cout << "  logs in " << options.directory << std::endl;
  return false;
}

} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options(
    "oriolespread-soak",
    "Runs the real programs against stand-ins under faults that a seed chooses.\n"
    "Exit codes: 0 all promises kept, 1 one was broken, 2 wrong command line.");
  options.add_options()("programs", "folder of the programs", cxxopts::value<std::string>())(
    "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "count", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seconds", "time with faults in each run", cxxopts::value<int>()->default_value("10"))(
    "entries", "entries", cxxopts::value<std::size_t>()->default_value("3"))(
    "workers", "workers", cxxopts::value<std::size_t>()->default_value("5"))(
    "directory",
    "settings and logs",
    cxxopts::value<std::string>()->default_value("/tmp/oriolespread-soak"))(
    "calm", "no faults but those named by other options")(
    "refusals", "workers refuse connections for a while and run on")(
    "stops", "planned work instead of faults, with callers on plain connections")(
    "plan",
    "with --stops, who gets SIGTERM: used (the entry of all callers), entries, groups, leader, "
    "agents, none, mixed",
    cxxopts::value<std::string>()->default_value("entries"))(
    "callers", "with --stops, callers", cxxopts::value<std::size_t>()->default_value("60"))(
    "groups", "with --stops, groups of entries", cxxopts::value<std::size_t>()->default_value("3"))(
    "slow-store",
    "with --stops, whose store calls are slow during a stop: none, stopping, entries",
    cxxopts::value<std::string>()->default_value("none"))("second-signal",
                                                          "with --stops, a second SIGTERM")(
    "long-timeouts", "with --stops, half of the requests have a time-out of 10 s")(
    "repeat-cancels", "with --stops, cancellations without an answer are sent again")(
    "balanced", "with --stops, callers leave a stopping entry after 2 s")(
    "give-ups",
    "callers cancel jobs before they are accepted, and processes are stopped as planned")(
    "mix", "jobs of a mixed load: short, long and lasting ones, on workers of 64 cores")(
    "rate",
    "jobs a second of the mixed load; 0 for what the workers can carry",
    cxxopts::value<double>()->default_value("0"))("keep-ended",
                                                  "seconds for which ended jobs are kept",
                                                  cxxopts::value<int>()->default_value("120"))(
    "quota",
    "shares of a core for entries in turn, such as 0.5,0.12: a process is stopped for the rest of "
    "each 100 ms once it has used its share",
    cxxopts::value<std::vector<double>>())("agent-quota",
                                           "share of a core for each agent; 0 for no limit",
                                           cxxopts::value<double>()->default_value("0"))(
    "store-delay",
    "milliseconds by which each answer of the store is late",
    cxxopts::value<int>()->default_value("0"))(
    "link-delay",
    "milliseconds by which bytes on connections to entries are late, one way",
    cxxopts::value<int>()->default_value("0"))(
    "lose-answers",
    "with --mix, share of transactions of the store without an answer in phases of faults",
    cxxopts::value<double>()->default_value("0"))(
    "log-store", "writes all transactions of the store to store.log beside the logs")(
    "kill-leader", "the leading entry is killed once, after a third of the load")(
    "worker-crashes",
    "half of the workers restart under their ids, and their agents are cut off soon after, each "
    "14 s; some runs are long")(
    "crash-kills-leader", "as --worker-crashes, and the leading entry is killed after each crash")(
    "pairs", "faults in pairs, the second 0.2 to 4 s after the first; some runs are long")(
    "max-worker-lease",
    "seconds of the longest lease that workers accept",
    cxxopts::value<int>()->default_value("6"))(
    "end",
    "with --mix, what happens to all processes at the end of the load: none, kill, power",
    cxxopts::value<std::string>()->default_value("none"))("help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    bool kept = true;
    const auto first = parsed["seed"].as<std::uint64_t>();
    for (std::uint64_t seed = first; seed < first + parsed["count"].as<std::uint64_t>(); ++seed) {
      kept = (parsed.count("stops") > 0 ? RunStops(parsed, seed) : RunSeed(parsed, seed)) && kept;
    }
    return kept ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "oriolespread-soak: " << error.what() << "\n";
    return 2;
  }
}
