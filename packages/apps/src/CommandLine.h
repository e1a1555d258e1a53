// What the command lines of both programs share.
#pragma once

#include <cxxopts.hpp>

#include <functional>
#include <optional>
#include <string>

namespace oriolespread::apps {

// Exit codes of all commands.
constexpr int kExitOk = 0;
// The command was understood and did not succeed, for example because a ticket was refused.
constexpr int kExitFailure = 1;
// The command line or the settings are wrong; nothing was started.
constexpr int kExitUsage = 2;
// The entry could not be reached, or whether the command took effect is not known.
constexpr int kExitUnavailable = 3;

// Blocks SIGTERM and SIGINT in this thread and in those it starts later.
void BlockStopSignals();
// Returns when SIGTERM or SIGINT arrives.
void WaitForStopSignal();

// Parses the options of one command, with --help and --version added. Returns nothing when the
// program has to exit with `aExitCode`, after printing the help, the version or what is wrong.
std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& aOptions,
                                                 int aCount,
                                                 char** aArguments,
                                                 int& aExitCode);

// Reads a whole file, "-" for standard input.
std::optional<std::string> ReadText(const std::string& aPath);

} // namespace oriolespread::apps
