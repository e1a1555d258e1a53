#include "oriolespread/bench/BenchCase.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

constexpr int kExitBoundMissed = 1;
constexpr int kExitUsage = 2;

int Run(const cxxopts::ParseResult& aOptions)
{
  const auto filter = aOptions["filter"].as<std::string>();
  bool allHeld = true;
  for (const oriolespread::BenchCase& benchCase : oriolespread::AllBenchCases()) {
    if (benchCase.name.find(filter) == std::string::npos) {
      continue;
    }
    if (aOptions["list"].as<bool>()) {
      std::cout << benchCase.name << "\n";
      continue;
    }
    oriolespread::BenchContext context(benchCase.name, aOptions["seed"].as<std::uint64_t>());
    benchCase.run(context);
    allHeld = allHeld && context.AllHeld();
  }
  return allHeld ? 0 : kExitBoundMissed;
}

} // namespace

int main(int argc, char** argv)
{
  cxxopts::Options options("oriolespread-bench",
                           "Runs measurements and prints one JSON line for each figure. Exits with "
                           "1 when a bound was missed.");
  options.add_options()("list", "print the names of the cases and stop")(
    "filter",
    "run only cases whose name contains this text",
    cxxopts::value<std::string>()->default_value(""))(
    "seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "h,help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "oriolespread-bench: " << error.what() << "\n";
    return kExitUsage;
  }
}
