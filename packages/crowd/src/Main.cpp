// Opens a crowd of clients to one process of the system, waits until the memory of the process has
// stopped growing, and checks that it lives within its bounds and answers an ordinary request.
#include "CrowdCase.h"
#include "Process.h"

#include "oriolespread/cluster/ClusterConfig.h"
#include "oriolespread/http/HttpClient.h"
#include "oriolespread/platformwire/DaemonSettings.h"
#include "oriolespread/platformwire/StoreClient.h"
#include "oriolespread/platformwire_testing/StandInStore.h"
#include "oriolespread/platformwire_testing/TestMessages.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace oriolespread::crowd {

namespace {

constexpr const char* kIp = "127.246.1.1";
constexpr const char* kStoreIp = "127.246.3.1";
constexpr std::uint16_t kFrontPort = 8161;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kLinkPort = 7720;
// The memory counts as settled when it has not grown for this time. The longest waits only end a
// test that hangs.
constexpr Duration kSettleTime = std::chrono::seconds(2);
constexpr Duration kLongestCrowd = std::chrono::seconds(90);
constexpr Duration kLongestAnswer = std::chrono::seconds(30);

std::string EncodeCrowdConfig()
{
  cluster::ClusterConfig config;
  config.version = 1;
  config.services["s"] = {};
  cluster::QueueConfig& queue = config.queues.emplace_back();
  queue.host = "h.example";
  queue.pathPrefix = "/q/";
  queue.timeoutMs = 3000;
  queue.policy.queue = "q";
  queue.policy.service = "s";
  queue.policy.maxAttempts = 3;
  queue.policy.stretch = 2.0;
  queue.policy.targetLatencyMs = 500;
  auto value = nlohmann::json::parse(platformwire_testing::EncodeConfig(config));
  value["limits"] = { { "max_body_bytes", kMaxBodyBytes },
                      { "header_timeout_ms", kHeaderTimeoutMs } };
  return value.dump();
}

class CrowdRun
{
public:
  CrowdRun(const std::string& aPrograms, std::string aDirectory, CrowdCase aCase);

  // Returns whether all checks hold, and prints what was measured.
  bool Run();

private:
  std::string WriteSettings() const;
  std::vector<std::string> Command(const std::string& aPrograms) const;
  void RunFor(Duration aTime);
  // Sends one ordinary request until it is answered with the status that its handler gives.
  bool IsAnswered();
  void WaitUntilSettled(const Crowd& aCrowd);
  // Returns the peak resident memory in KiB; 0 if the process has ended.
  std::int64_t PeakKib() const;
  std::size_t OpenDescriptors() const;

  std::string directory;
  CrowdCase checked;
  asio::io_context context;
  Counters counters;
  platformwire_testing::StandInStore store;
  asio::ip::tcp::endpoint server;
  soak::Process process;
};

CrowdRun::CrowdRun(const std::string& aPrograms, std::string aDirectory, CrowdCase aCase)
  : directory(std::move(aDirectory))
  , checked(std::move(aCase))
  , store(this->context, 1)
  , server(asio::ip::make_address(kIp), this->checked.toAgent ? kControlPort : kFrontPort)
  , process(this->Command(aPrograms), this->WriteSettings(), this->directory + "/process.log")
{
  this->store.Serve(kStoreIp, kStorePort);
  this->store.Put(std::string(platformwire::kOperatorTable),
                  std::string(platformwire::kConfigKey),
                  EncodeCrowdConfig());
}

std::vector<std::string> CrowdRun::Command(const std::string& aPrograms) const
{
  const std::string program =
    aPrograms + (this->checked.toAgent ? "/oriolespread-agent" : "/oriolespread");
  const std::string argument = this->checked.toAgent ? "--cluster" : "serve-cluster";
  if (this->checked.systemDescriptors == 0) {
    return { program, argument };
  }
  return { "/bin/sh",
           "-c",
           "ulimit -n " + std::to_string(this->checked.systemDescriptors) + "; exec \"$0\" \"$1\"",
           program,
           argument };
}

std::string CrowdRun::WriteSettings() const
{
  platformwire::DaemonSettings settings;
  settings.machine = "crowd-1";
  settings.ip = kIp;
  settings.dataCentre = "z1";
  settings.internalPort = kLinkPort;
  settings.front = { kIp, kFrontPort };
  settings.ready = { kIp, kReadyPort };
  settings.control = { kIp, kControlPort };
  settings.workerAddress = std::string(kIp) + ":8165";
  settings.workerService = "s";
  settings.storeAddress = ToString(SocketAddress{ kStoreIp, kStorePort });
  settings.maxWorkerLease = std::chrono::seconds(6);
  settings.stopGrace = std::chrono::seconds(6);
  settings.keepEnded = std::chrono::seconds(120);
  settings.drainTime = std::chrono::seconds(2);
  std::filesystem::create_directories(this->directory);
  const std::string path = this->directory + "/settings.toml";
  std::ofstream out(path);
  out << platformwire_testing::EncodeSettings(settings) << "[limits]\n";
  if (this->checked.memoryMb > 0) {
    out << "memory_mb = " << this->checked.memoryMb << "\n";
  }
  if (this->checked.maxDescriptors > 0) {
    out << "max_fds = " << this->checked.maxDescriptors << "\n";
  }
  return path;
}

void CrowdRun::RunFor(Duration aTime)
{
  this->context.restart();
  this->context.run_for(aTime);
}

bool CrowdRun::IsAnswered()
{
  const int expected = this->checked.toAgent ? kHttpNotFound : kHttpOk;
  const Instant latest = BootClock::now() + kLongestAnswer;
  while (BootClock::now() < latest) {
    auto client = HttpClient::Create(this->context,
                                     ToString(SocketAddress{ kIp, this->server.port() }),
                                     { .connections = 1 },
                                     this->counters);
    bool answered = false;
    bool ended = false;
    (*client)->Call({ "GET", "/q/", { { "Host", "h.example" } }, {} },
                    std::chrono::seconds(5),
                    [&](const HttpResult& aResult) {
                      answered = aResult.IsAnswer(expected);
                      ended = true;
                    });
    while (!ended) {
      this->RunFor(std::chrono::milliseconds(20));
    }
    if (answered) {
      return true;
    }
    this->RunFor(std::chrono::milliseconds(200));
  }
  return false;
}

void CrowdRun::WaitUntilSettled(const Crowd& aCrowd)
{
  const Instant latest = BootClock::now() + kLongestCrowd;
  std::int64_t peak = 0;
  std::size_t progress = 0;
  Instant settledSince = BootClock::now();
  while (BootClock::now() < latest && BootClock::now() - settledSince < kSettleTime) {
    this->RunFor(std::chrono::milliseconds(100));
    const std::int64_t present = this->PeakKib();
    const std::size_t done = aCrowd.Sent() + aCrowd.Failed();
    if (present != peak || done != progress) {
      peak = present;
      progress = done;
      settledSince = BootClock::now();
    }
  }
}

std::int64_t CrowdRun::PeakKib() const
{
  std::ifstream status("/proc/" + std::to_string(this->process.Id()) + "/status");
  std::string word;
  std::int64_t value = 0;
  while (status >> word) {
    if (word == "VmHWM:" && status >> value) {
      return value;
    }
  }
  return 0;
}

std::size_t CrowdRun::OpenDescriptors() const
{
  std::error_code ignored;
  const std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(this->process.Id()) + "/fd", ignored);
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

bool CrowdRun::Run()
{
  this->process.Start();
  if (!this->IsAnswered()) {
    std::cout << "not answered before the crowd\n";
    return false;
  }
  const std::int64_t before = this->PeakKib();
  auto crowd = std::make_unique<Crowd>(this->context, this->server, this->checked.load);
  this->WaitUntilSettled(*crowd);
  const bool lived = this->process.IsRunning();
  const std::int64_t peak = this->PeakKib();
  const std::size_t descriptors = this->OpenDescriptors();
  std::cout << "crowd: " << crowd->Sent() << " sent all, " << crowd->Failed()
            << " ended before\nlives: " << lived << "\npeak KiB: " << before << " before, " << peak
            << " with the crowd, bound " << this->checked.maxPeakMb * 1024
            << "\nopen descriptors: " << descriptors << ", bound "
            << this->checked.maxOpenDescriptors << "\n";
  if (this->checked.crowdLeaves) {
    crowd.reset();
  }
  const bool answered = lived && this->IsAnswered();
  std::cout << "ordinary request answered: " << answered << "\n";
  return lived && answered && peak <= std::int64_t{ this->checked.maxPeakMb } * 1024 &&
         (this->checked.maxOpenDescriptors == 0 ||
          descriptors <= static_cast<std::size_t>(this->checked.maxOpenDescriptors));
}

} // namespace

} // namespace oriolespread::crowd

int main(int argc, char** argv)
{
  cxxopts::Options options("oriolespread-crowd", "Opens a crowd of clients to a process.");
  options.add_options()("programs", "folder of the programs", cxxopts::value<std::string>())(
    "case", "name of the crowd", cxxopts::value<std::string>())("help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    const auto name = parsed["case"].as<std::string>();
    auto found = oriolespread::crowd::FindCrowdCase(name);
    if (!found.has_value()) {
      std::cerr << "oriolespread-crowd: no case " << name << "\n";
      return 2;
    }
    const auto directory =
      std::filesystem::temp_directory_path() / ("oriolespread-crowd-" + std::to_string(::getpid()));
    const bool kept = oriolespread::crowd::CrowdRun(
                        parsed["programs"].as<std::string>(), directory.string(), *std::move(found))
                        .Run();
    if (kept) {
      std::filesystem::remove_all(directory);
    } else {
      std::cout << "log: " << directory.string() << "\n";
    }
    std::cout << (kept ? "passed" : "FAILED") << "\n";
    return kept ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "oriolespread-crowd: " << error.what() << "\n";
    return 2;
  }
}
