#include "Commands.h"

#include "CommandLine.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace oriolespread::apps {

namespace {

using nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr const char* kTokenVariable = "ORIOLESPREAD_TOKEN";
constexpr int kTimeoutSeconds = 15;

void AddClientOptions(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "entry", "address of an entry", cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))(
    "token-file",
    "file with the bearer token; the environment variable ORIOLESPREAD_TOKEN by default",
    cxxopts::value<std::string>())("json", "print the entry's answer as JSON");
}

std::string ReadToken(const cxxopts::ParseResult& aOptions)
{
  if (aOptions.count("token-file") > 0) {
    std::string token = ReadText(aOptions["token-file"].as<std::string>()).value_or("");
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
      token.pop_back();
    }
    return token;
  }
  const char* token = std::getenv(kTokenVariable);
  return token == nullptr ? "" : token;
}

// One call of an entry's interface.
class EntryCall
{
public:
  explicit EntryCall(const cxxopts::ParseResult& aOptions)
    : client("http://" + aOptions["entry"].as<std::string>())
    , asJson(aOptions.count("json") > 0)
  {
    this->client.set_read_timeout(kTimeoutSeconds);
    this->client.set_default_headers({ { "Authorization", "Bearer " + ReadToken(aOptions) } });
  }

  // Sends a request, prints its answer with `aPrint` and returns the exit code.
  template<typename Print>
  int Send(const std::string& aMethod,
           const std::string& aPath,
           const std::string& aBody,
           Print aPrint)
  {
    httplib::Request request;
    request.method = aMethod;
    request.path = aPath;
    request.body = aBody;
    if (!aBody.empty()) {
      request.set_header("Content-Type", kJson);
    }
    const httplib::Result result = this->client.send(request);
    if (!result) {
      std::cerr << "oriolespread: entry cannot be reached: " << httplib::to_string(result.error())
                << "\n";
      return kExitUnavailable;
    }
    const json answer = json::parse(result->body, nullptr, false);
    if (this->asJson || answer.is_discarded()) {
      std::cout << result->body << "\n";
    } else if (result->status < 300) {
      aPrint(answer);
    } else {
      PrintFailure(result->status, answer);
    }
    if (result->status < 300) {
      return kExitOk;
    }
    return result->status >= 500 ? kExitUnavailable : kExitFailure;
  }

private:
  static void PrintFailure(int aStatus, const json& aAnswer)
  {
    std::cerr << "refused with status " << aStatus << ": " << aAnswer.value("reason", "")
              << aAnswer.value("result", "") << "\n";
    for (const json& finding : aAnswer.value("findings", json::array())) {
      std::cerr << "  " << finding.value("place", "") << ": " << finding.value("problem", "");
      if (!finding.value("expected", "").empty()) {
        std::cerr << "; expected " << finding.value("expected", "");
      }
      std::cerr << "\n";
    }
    for (const json& conflict : aAnswer.value("conflicts", json::array())) {
      std::cerr << "  " << conflict.value("key", "") << " was set by ticket "
                << conflict.value("number", 0) << "\n";
    }
  }

  httplib::Client client;
  bool asJson;
};

void PrintJob(const json& aAnswer)
{
  std::cout << "job " << aAnswer.value("job", "");
  if (!aAnswer.contains("finished")) {
    std::cout << ": recorded\n";
    return;
  }
  std::cout << ": " << (aAnswer.value("finished", false) ? "finished" : "in progress");
  for (const auto& [state, count] : aAnswer["tasks"].items()) {
    std::cout << ", " << count << " " << state;
  }
  std::cout << "\n";
  for (const json& reason : aAnswer.value("unplaceable", json::array())) {
    std::cout << "  cannot be placed: " << reason.get<std::string>() << "\n";
  }
}

void PrintTickets(const json& aAnswer)
{
  for (const json& ticket : aAnswer["tickets"]) {
    std::cout << ticket["number"] << " " << ticket.value("id", "") << " by "
              << ticket.value("author", "") << "\n";
    for (const auto& [key, value] : ticket["changes"].items()) {
      std::cout << "  " << key << " = " << value.dump() << "\n";
    }
  }
}

void PrintState(const json& aAnswer)
{
  for (const json& state : aAnswer["states"]) {
    std::cout << state.value("key", "") << " (ticket " << state["number"]
              << ") = " << state["value"].dump() << "\n";
  }
}

int MissingSubcommand(const char* aUsage)
{
  std::cerr << "usage: oriolespread " << aUsage << "\n";
  return kExitUsage;
}

int SubmitFile(const cxxopts::ParseResult& aOptions,
               const std::string& aPath,
               void (*aPrint)(const json&))
{
  if (aOptions.count("file") == 0) {
    std::cerr << "oriolespread: --file is needed\n";
    return kExitUsage;
  }
  const auto text = ReadText(aOptions["file"].as<std::string>());
  if (!text.has_value()) {
    std::cerr << "oriolespread: cannot read " << aOptions["file"].as<std::string>() << "\n";
    return kExitUsage;
  }
  return EntryCall(aOptions).Send("POST", aPath, *text, aPrint);
}

} // namespace

int RunTicket(int aCount, char** aArguments)
{
  const std::string subcommand = aCount > 1 ? aArguments[1] : "";
  cxxopts::Options options("oriolespread ticket " + subcommand, "Change tickets.");
  AddClientOptions(options);
  options.add_options()(
    "file", "submit: the ticket as JSON, - for standard input", cxxopts::value<std::string>())(
    "number", "show: state at this ticket", cxxopts::value<std::uint64_t>())(
    "after", "log: tickets after this one", cxxopts::value<std::uint64_t>()->default_value("0"))(
    "limit", "log: how many", cxxopts::value<std::uint64_t>()->default_value("100"));
  int exitCode = 0;
  const auto parsed = ParseOptions(
    options, aCount - (aCount > 1 ? 1 : 0), aArguments + (aCount > 1 ? 1 : 0), exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  if (subcommand == "submit") {
    return SubmitFile(*parsed, "/v1/tickets", [](const json& aAnswer) {
      std::cout << "ticket " << aAnswer.value("ticket", "") << " accepted as number "
                << aAnswer["number"] << "\n";
    });
  }
  if (subcommand == "log") {
    const std::string path =
      "/v1/tickets?after=" + std::to_string((*parsed)["after"].as<std::uint64_t>()) +
      "&limit=" + std::to_string((*parsed)["limit"].as<std::uint64_t>());
    return EntryCall(*parsed).Send("GET", path, "", PrintTickets);
  }
  if (subcommand == "show") {
    std::string path = "/v1/state";
    if (parsed->count("number") > 0) {
      path += "?number=" + std::to_string((*parsed)["number"].as<std::uint64_t>());
    }
    return EntryCall(*parsed).Send("GET", path, "", PrintState);
  }
  return MissingSubcommand("ticket submit|show|log [options]");
}

int RunJob(int aCount, char** aArguments)
{
  const std::string subcommand = aCount > 1 ? aArguments[1] : "";
  cxxopts::Options options("oriolespread job " + subcommand, "Jobs of an organisation.");
  AddClientOptions(options);
  options.add_options()(
    "file", "submit: the job as JSON, - for standard input", cxxopts::value<std::string>())(
    "job", "show and cancel: name of the job", cxxopts::value<std::string>())(
    "tasks",
    "cancel: comma-separated task numbers, all by default",
    cxxopts::value<std::string>()->default_value(""));
  int exitCode = 0;
  const auto parsed = ParseOptions(
    options, aCount - (aCount > 1 ? 1 : 0), aArguments + (aCount > 1 ? 1 : 0), exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  if (subcommand == "submit") {
    return SubmitFile(*parsed, "/v1/jobs", PrintJob);
  }
  if ((subcommand == "show" || subcommand == "cancel") && parsed->count("job") == 0) {
    std::cerr << "oriolespread: --job is needed\n";
    return kExitUsage;
  }
  if (subcommand == "show") {
    const std::string path = "/v1/jobs/" + (*parsed)["job"].as<std::string>();
    return EntryCall(*parsed).Send("GET", path, "", PrintJob);
  }
  if (subcommand == "cancel") {
    std::string path = "/v1/jobs/" + (*parsed)["job"].as<std::string>();
    const auto tasks = (*parsed)["tasks"].as<std::string>();
    if (!tasks.empty()) {
      path += "?tasks=" + tasks;
    }
    return EntryCall(*parsed).Send("DELETE", path, "", PrintJob);
  }
  return MissingSubcommand("job submit|show|cancel [options]");
}

int RunStatus(int aCount, char** aArguments)
{
  cxxopts::Options options("oriolespread status", "State of one entry.");
  AddClientOptions(options);
  int exitCode = 0;
  const auto parsed = ParseOptions(options, aCount, aArguments, exitCode);
  if (!parsed.has_value()) {
    return exitCode;
  }
  return EntryCall(*parsed).Send("GET", "/v1/status", "", [](const json& aAnswer) {
    for (const auto& [name, value] : aAnswer.items()) {
      if (name != "shards") {
        std::cout << name << ": " << value.dump() << "\n";
      }
    }
    for (const json& shard : aAnswer["shards"]) {
      std::cout << "shard " << shard["shard"] << ": " << shard.value("role", "") << ", owner "
                << shard.value("owner", "") << ", epoch " << shard["epoch"] << "\n";
    }
  });
}

} // namespace oriolespread::apps
