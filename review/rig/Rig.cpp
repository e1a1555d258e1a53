#include "Rig.h"

#include <fcntl.h>
#include <httplib.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>

namespace review {

using nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

namespace {

constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kControlPort = 8166;
constexpr int kWorkerPort = 8165;
constexpr int kStorePort = 8169;
constexpr int kLinkPort = 7720;
constexpr const char* kHost = "desk.example";
// The platform's figures of the deployment, from its site file.
constexpr std::size_t kRowBytes = 65536;
constexpr std::size_t kTransactionBytes = 1'000'000;
constexpr std::size_t kTransactionEntries = 100;
constexpr std::size_t kListedRows = 500;
constexpr std::size_t kListedEnds = 500;
constexpr int kTransactionMs = 3;
constexpr int kHeartbeatMs = 1000;
constexpr int kMaxHoldMs = 10000;
constexpr int kGangTimeoutMs = 3000;
constexpr int kServerThreads = 192;

const std::string kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& aBytes)
{
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : aBytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kBase64[(bits >> static_cast<unsigned>(count)) & 63U];
    }
  }
  if (count > 0) {
    text += kBase64[(bits << static_cast<unsigned>(6 - count)) & 63U];
  }
  while (text.size() % 4 != 0) {
    text += '=';
  }
  return text;
}

std::string DecodeBase64(const std::string& aText)
{
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : aText) {
    const std::size_t value = kBase64.find(c);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return bytes;
}

// The processes that this program has started, for EndAll. At most this many run at once.
constexpr std::size_t kMaxPrograms = 64;
std::array<std::atomic<pid_t>, kMaxPrograms> gPrograms;
// A case runs for 120 s at most.
constexpr unsigned kMaxSeconds = 118;

// Ends all programs when this process is told to end or takes too long.
void EndAll(int /*aSignal*/)
{
  for (const auto& program : gPrograms) {
    if (const pid_t pid = program.load(); pid > 0) {
      ::kill(pid, SIGKILL);
    }
  }
  ::_exit(kCouldNotRun);
}

// Replaces one identifier in gPrograms; 0 stands for none.
void ReplaceProgram(pid_t aOld, pid_t aNew)
{
  for (auto& program : gPrograms) {
    pid_t expected = aOld;
    if (program.compare_exchange_strong(expected, aNew)) {
      return;
    }
  }
}

std::unique_ptr<httplib::Server> MakeServer()
{
  auto server = std::make_unique<httplib::Server>();
  server->new_task_queue = [] { return new httplib::ThreadPool(kServerThreads); };
  server->set_tcp_nodelay(true);
  // Without SO_REUSEPORT, which the library sets, so that an address in use is noticed.
  server->set_socket_options([](socket_t aSocket) {
    const int yes = 1;
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  });
  server->set_keep_alive_max_count(1'000'000);
  server->set_keep_alive_timeout(30);
  server->set_payload_max_length(std::size_t{ 64 } << 20U);
  return server;
}

void Reply(httplib::Response& aResponse, int aStatus, const json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

std::string Parameter(const httplib::Request& aRequest, const char* aName)
{
  return aRequest.has_param(aName) ? aRequest.get_param_value(aName) : std::string();
}

} // namespace

bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Store

Store::Store(Rig& aRig)
  : rig(aRig)
{
}

void Store::SetBusy(bool aBusy)
{
  {
    const Lock lock(this->rig.mutex);
    this->busy = aBusy;
  }
  this->rig.changed.notify_all();
  this->rig.Note(aBusy ? "store: answers 503" : "store: serves again");
}

void Store::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  {
    const Lock lock(this->rig.mutex);
    this->rows[{ aTable, "", aKey }] = { aValue, ++this->version, false };
  }
  this->rig.changed.notify_all();
}

json Store::RowJson(const Key& aKey, const Row& aRow) const
{
  json row{ { "table", std::get<0>(aKey) },
            { "part", std::get<1>(aKey) },
            { "key", std::get<2>(aKey) },
            { "value", EncodeBase64(aRow.value) },
            { "ver", aRow.version } };
  if (aRow.removed) {
    row["removed"] = true;
  }
  return row;
}

int Store::Transact(const std::string& aBody, json& aAnswer)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return 400;
  }
  const auto keyOf = [](const json& aRow) {
    return Key{ aRow.at("table"), aRow.at("part"), aRow.at("key") };
  };
  std::size_t entries = 0;
  std::set<std::string> parts;
  for (const char* list : { "expected_rev", "writes", "remove" }) {
    for (const json& row : body.at(list)) {
      ++entries;
      parts.insert(row.at("part"));
    }
  }
  std::size_t longest = 0;
  for (const json& write : body.at("writes")) {
    longest = std::max(longest, DecodeBase64(write.at("value")).size());
  }
  if (entries > kTransactionEntries || parts.size() > 1 || aBody.size() > kTransactionBytes ||
      longest > kRowBytes) {
    this->rig.Note("store: refuses a transaction with 400: " + std::to_string(entries) +
                   " entries, " + std::to_string(aBody.size()) + " bytes, longest row " +
                   std::to_string(longest) + " bytes");
    return 400;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kTransactionMs));
  const Lock lock(this->rig.mutex);
  bool holds = true;
  json current = json::array();
  for (const json& condition : body.at("expected_rev")) {
    const auto row = this->rows.find(keyOf(condition));
    const bool exists = row != this->rows.end() && !row->second.removed;
    holds = holds && (exists ? row->second.version : 0) == condition.at("ver");
    if (exists) {
      current.push_back(this->RowJson(row->first, row->second));
    }
  }
  if (!holds) {
    aAnswer = { { "rows", current }, { "ver", this->version }, { "now_ms", this->rig.NowMs() } };
    return 412;
  }
  ++this->version;
  for (const json& write : body.at("writes")) {
    this->rows[keyOf(write)] = { DecodeBase64(write.at("value")), this->version, false };
  }
  for (const json& remove : body.at("remove")) {
    this->rows[keyOf(remove)] = { {}, this->version, true };
  }
  aAnswer = { { "ver", this->version }, { "now_ms", this->rig.NowMs() } };
  return 200;
}

bool Store::Listen(const std::string& aIp, int aPort)
{
  this->server = MakeServer();
  const auto isBusy = [this] {
    const Lock lock(this->rig.mutex);
    return this->busy;
  };
  this->server->Post(
    "/oriolespread/rows-tx",
    [this, isBusy](const httplib::Request& aRequest, httplib::Response& aResponse) {
      json answer = json::object();
      const int status = isBusy() ? 503 : this->Transact(aRequest.body, answer);
      this->rig.changed.notify_all();
      Reply(aResponse, status, answer);
    });
  this->server->Get(
    "/oriolespread/rows-get",
    [this, isBusy](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (isBusy()) {
        Reply(aResponse, 503, json::object());
        return;
      }
      const std::string table = Parameter(aRequest, "table");
      const std::string part = Parameter(aRequest, "part");
      const std::string target = Parameter(aRequest, "target");
      const std::string limitText = Parameter(aRequest, "limit");
      const std::size_t limit =
        limitText.empty() ? kListedRows : std::min<std::size_t>(std::stoul(limitText), kListedRows);
      const Lock lock(this->rig.mutex);
      json found = json::array();
      bool more = false;
      std::size_t bytes = 0;
      for (auto it = this->rows.lower_bound({ table, part, Parameter(aRequest, "from") });
           it != this->rows.end() && std::get<0>(it->first) == table &&
           std::get<1>(it->first) == part && (target.empty() || std::get<2>(it->first) < target);
           ++it) {
        if (it->second.removed) {
          continue;
        }
        bytes += it->second.value.size();
        if (found.size() >= limit || (!found.empty() && bytes > kTransactionBytes / 2)) {
          more = true;
          break;
        }
        found.push_back(this->RowJson(it->first, it->second));
      }
      Reply(aResponse,
            200,
            { { "rows", found },
              { "has_more", more },
              { "ver", this->version },
              { "now_ms", this->rig.NowMs() } });
    });
  this->server->Get(
    "/oriolespread/rows-feed",
    [this, isBusy](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (isBusy()) {
        Reply(aResponse, 503, json::object());
        return;
      }
      const std::string table = Parameter(aRequest, "table");
      const std::uint64_t after = std::stoull(Parameter(aRequest, "after"));
      const std::int64_t until = this->rig.NowMs() + std::stoll(Parameter(aRequest, "wait_ms"));
      Lock lock(this->rig.mutex);
      std::vector<std::pair<std::uint64_t, json>> found;
      while (true) {
        for (auto it = this->rows.lower_bound({ table, "", "" });
             it != this->rows.end() && std::get<0>(it->first) == table;
             ++it) {
          if (it->second.version > after) {
            found.emplace_back(it->second.version, this->RowJson(it->first, it->second));
          }
        }
        const std::int64_t left = until - this->rig.NowMs();
        if (!found.empty() || left <= 0 || this->rig.stopping || this->busy) {
          break;
        }
        this->rig.changed.wait_for(lock, std::chrono::milliseconds(left));
      }
      if (this->busy) {
        Reply(aResponse, 503, json::object());
        return;
      }
      std::stable_sort(found.begin(), found.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
      json rowsOut = json::array();
      for (auto& [rowVersion, row] : found) {
        rowsOut.push_back(std::move(row));
      }
      Reply(aResponse,
            200,
            { { "rows", rowsOut }, { "ver", this->version }, { "now_ms", this->rig.NowMs() } });
    });
  if (!this->server->bind_to_port(aIp, aPort)) {
    return false;
  }
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  return true;
}

void Store::Stop()
{
  this->server->stop();
  this->thread.join();
}

// ---- Worker

Worker::Worker(Rig& aRig, WorkerOptions aOptions)
  : rig(aRig)
  , options(std::move(aOptions))
{
}

std::int64_t Worker::Clock() const
{
  return this->rig.NowMs() - this->startedAt + 1000;
}

void Worker::Crash()
{
  {
    const Lock lock(this->rig.mutex);
    this->crashed = true;
    this->running.clear();
  }
  this->rig.changed.notify_all();
  this->rig.Note("worker " + this->options.id + ": crashed for good, silent");
}

std::size_t Worker::UnacknowledgedEnds() const
{
  const Lock lock(this->rig.mutex);
  return this->ends.size();
}

void Worker::Finish(const std::string& aTask, const std::string& aHow)
{
  const std::uint64_t number = this->running.at(aTask).number;
  const std::string gang = this->running.at(aTask).gang;
  this->running.erase(aTask);
  this->highestEnded[aTask] = std::max(this->highestEnded[aTask], number);
  this->ends[++this->lastEnd] = { aTask, number, aHow, false };
  RunRecord& run = this->rig.runs[aTask][number];
  run.endedAt = this->rig.NowMs();
  run.how = aHow;
  this->rig.record << run.endedAt << " worker " << this->options.id << ": " << aTask << " run "
                   << number << " ended " << aHow << "\n";
  if (!gang.empty() && aHow != "done" && aHow != "broken") {
    for (const auto& worker : this->rig.workers) {
      worker->BreakGang(gang);
    }
  }
}

void Worker::BreakGang(const std::string& aGang)
{
  std::vector<std::string> members;
  for (const auto& [task, run] : this->running) {
    if (run.gang == aGang && run.worksFrom > 0) {
      members.push_back(task);
    }
  }
  for (const std::string& task : members) {
    this->Finish(task, "broken");
  }
}

void Worker::Advance()
{
  const std::int64_t now = this->rig.NowMs();
  const bool lapsed = this->Clock() > this->deadline;
  std::vector<std::pair<std::string, std::string>> finished;
  for (const auto& [task, run] : this->running) {
    if (lapsed) {
      finished.emplace_back(task, "lapsed");
    } else if (run.worksFrom > 0 && now >= run.worksFrom + run.durationMs) {
      finished.emplace_back(task, "done");
    } else if (run.worksFrom == 0 && now >= run.startedAt + kGangTimeoutMs) {
      finished.emplace_back(task, "alone");
    }
  }
  for (const auto& [task, how] : finished) {
    // Another member of its gang may have ended it meanwhile.
    if (this->running.contains(task)) {
      this->Finish(task, how);
    }
  }
  if (lapsed) {
    for (auto& [number, end] : this->ends) {
      end.lapsed = true;
    }
  }
}

json Worker::Lists()
{
  json listedRuns = json::array();
  const std::int64_t now = this->rig.NowMs();
  for (const auto& [task, run] : this->running) {
    const std::int64_t percent =
      run.worksFrom == 0 ? 0
                         : 100 * (now - run.worksFrom) / std::max<std::int64_t>(run.durationMs, 1);
    listedRuns.push_back(
      json::array({ task, run.number, "", std::min<std::int64_t>(percent, 99), run.milliCores }));
  }
  json listedEnds = json::array();
  for (const auto& [number, end] : this->ends) {
    if (listedEnds.size() >= kListedEnds) {
      break;
    }
    listedEnds.push_back(json::array({ number, end.task, end.run, end.how, "" }));
  }
  return { { "running", listedRuns }, { "ended", listedEnds } };
}

int Worker::Start(const json& aBody, json& aAnswer)
{
  const std::string task = aBody.at("task");
  const std::uint64_t number = aBody.at("run");
  const auto existing = this->running.find(task);
  if (existing != this->running.end() && existing->second.number == number) {
    return 200;
  }
  const auto refuse = [&](const char* aReason) {
    aAnswer["reason"] = aReason;
    return 409;
  };
  if (number <= this->highestEnded[task]) {
    return refuse("old");
  }
  if (aBody.at("deadline_ms").get<std::int64_t>() <= this->Clock()) {
    return refuse("late");
  }
  const TaskShape shape = this->rig.shapes[task.substr(0, task.find('.'))];
  std::int64_t usedCores = shape.milliCores;
  std::int64_t usedMemory = shape.memoryMiB;
  for (const auto& [name, run] : this->running) {
    usedCores += run.milliCores;
    usedMemory += run.memoryMiB;
  }
  if (existing != this->running.end() || usedCores > this->options.milliCores ||
      usedMemory > this->options.memoryMiB) {
    return refuse("room");
  }
  const std::int64_t now = this->rig.NowMs();
  const std::size_t index = std::stoul(task.substr(task.rfind('.') + 1));
  const double offset = static_cast<double>(index * 37 % 101) / 50.0 - 1.0;
  const auto duration = static_cast<std::int64_t>(static_cast<double>(shape.durationMs) *
                                                  (1.0 + shape.spread * offset));
  Run& started = this->running[task];
  started = { number, now, now, duration, shape.milliCores, shape.memoryMiB, {} };
  if (shape.gangMembers > 0) {
    started.gang = task.substr(0, task.rfind('.')) + "#" + std::to_string(number);
    started.worksFrom = 0;
    this->BeginGang(started.gang, shape.gangMembers);
  }
  RunRecord& run = this->rig.runs[task][number];
  run.worker = this->options.id;
  run.startedAt = now;
  this->rig.record << now << " worker " << this->options.id << ": " << task << " run " << number
                   << " started\n";
  return 200;
}

void Worker::BeginGang(const std::string& aGang, std::size_t aMembers)
{
  std::vector<Run*> present;
  for (const auto& worker : this->rig.workers) {
    for (auto& [task, run] : worker->running) {
      if (run.gang == aGang) {
        present.push_back(&run);
      }
    }
  }
  if (present.size() < aMembers) {
    return;
  }
  // They work and end together.
  for (Run* run : present) {
    run->worksFrom = this->rig.NowMs();
    run->durationMs = present.front()->durationMs;
  }
}

int Worker::Apply(const std::string& aPath, const json& aBody, json& aAnswer)
{
  this->Advance();
  const std::uint64_t token = aBody.value("fencing_token", std::uint64_t{ 0 });
  if (token < this->fence) {
    aAnswer["reason"] = "fence";
    return 409;
  }
  this->fence = token;
  if (aBody.contains("deadline_ms")) {
    const std::int64_t asked = aBody.at("deadline_ms");
    this->deadline = std::max(this->deadline, std::min(asked, this->Clock() + kMaxHoldMs));
  }
  if (aPath == "/oriolespread/hold") {
    const std::uint64_t lastSeen = aBody.value("last_seen", std::uint64_t{ 0 });
    while (!this->ends.empty() && this->ends.begin()->first <= lastSeen) {
      const End& end = this->ends.begin()->second;
      if (!end.lapsed) {
        this->rig.runs[end.task][end.run].acknowledgedAt = this->rig.NowMs();
        this->rig.record << this->rig.NowMs() << " worker " << this->options.id << ": end of "
                         << end.task << " run " << end.run << " taken note of\n";
      }
      this->ends.erase(this->ends.begin());
    }
    return 200;
  }
  if (aPath == "/oriolespread/run-stop") {
    const std::string task = aBody.at("task");
    const std::uint64_t number = aBody.at("run");
    const auto existing = this->running.find(task);
    if (existing != this->running.end() && existing->second.number <= number) {
      this->Finish(task, "stopped");
    }
    this->highestEnded[task] = std::max(this->highestEnded[task], number);
    return 200;
  }
  return aPath == "/oriolespread/run-start" ? this->Start(aBody, aAnswer) : 200;
}

void Worker::Listen(int aPort)
{
  this->startedAt = this->rig.NowMs();
  this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  this->server = MakeServer();
  const auto handle = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    const json body = json::parse(aRequest.body, nullptr, false);
    Lock lock(this->rig.mutex);
    // A silent worker holds the call; the caller gives up first.
    while (this->crashed && !this->rig.stopping) {
      this->rig.changed.wait_for(lock, std::chrono::seconds(1));
    }
    json answer = json::object();
    int status = 400;
    const std::string expected = aRequest.get_header_value("X-Oriolespread-Expected-Instance");
    if (!expected.empty() && expected != this->options.id) {
      status = 421;
    } else if (body.is_object()) {
      status = this->Apply(aRequest.path, body, answer);
    }
    if (status == 200 && aRequest.path == "/oriolespread/hold") {
      const std::int64_t until = this->rig.NowMs() + body.value("wait_ms", std::int64_t{ 0 });
      while (this->ends.empty() && this->rig.NowMs() < until && !this->rig.stopping) {
        this->rig.changed.wait_for(lock, std::chrono::milliseconds(10));
        this->Advance();
      }
      answer = this->Lists();
    }
    answer["clock_ms"] = this->Clock();
    answer["born"] = this->born;
    Reply(aResponse, status, answer);
  };
  for (const char* path : { "/oriolespread/hold",
                            "/oriolespread/run-start",
                            "/oriolespread/run-stop",
                            "/oriolespread/pace" }) {
    this->server->Post(path, handle);
  }
  if (!this->server->bind_to_port(this->options.ip, aPort)) {
    throw std::runtime_error("cannot listen at " + this->options.ip);
  }
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  this->beats = std::thread([this] { this->Beat(); });
}

void Worker::Beat()
{
  std::int64_t next = 0;
  while (true) {
    json body;
    {
      Lock lock(this->rig.mutex);
      this->rig.changed.wait_for(lock, std::chrono::milliseconds(10));
      if (this->rig.stopping) {
        return;
      }
      if (this->crashed) {
        continue;
      }
      this->Advance();
      if (this->rig.NowMs() < next) {
        continue;
      }
      next = this->rig.NowMs() + kHeartbeatMs;
      body = { { "service", this->options.service },
               { "address", this->options.ip + ":" + std::to_string(kWorkerPort) },
               { "zone", "z" },
               { "version", "v1" },
               { "slots", 8 },
               { "state", "ready" },
               { "cold_remaining_ms", 0 },
               { "capacity",
                 { { "cpu", this->options.milliCores },
                   { "mem_mb", this->options.memoryMiB },
                   { "gpu", 0 } } },
               { "labels", this->options.labels },
               { "clock_ms", this->Clock() },
               { "born", this->born },
               { "seq", ++this->sequence } };
    }
    httplib::Client client(this->options.agent);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    client.Put("/oriolespread/instances/" + this->options.id, body.dump(), "application/json");
  }
}

void Worker::Stop()
{
  this->server->stop();
  this->thread.join();
  this->beats.join();
}

// ---- Program

Program::~Program()
{
  this->Stop();
}

void Program::Start()
{
  std::vector<char*> arguments;
  for (std::string& word : this->command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::string path = "PATH=/usr/bin:/bin";
  char* environment[] = { this->settings.data(), path.data(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = ::posix_spawn(
    &this->pid, this->command.front().c_str(), &actions, nullptr, arguments.data(), environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->pid = 0;
    throw std::runtime_error("cannot start " + this->command.front());
  }
  ReplaceProgram(0, this->pid);
}

void Program::Signal(int aSignal) const
{
  if (this->pid > 0) {
    ::kill(this->pid, aSignal);
  }
}

bool Program::IsRunning()
{
  if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    ReplaceProgram(this->pid, 0);
    this->pid = 0;
  }
  return this->pid > 0;
}

void Program::Stop()
{
  if (this->IsRunning()) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    ReplaceProgram(this->pid, 0);
    this->pid = 0;
  }
}

// ---- Rig

Rig::Rig(const std::string& aFolder, int aEntries, std::vector<WorkerOptions> aWorkers)
  : record(aFolder + "/record.txt")
  , zero(std::chrono::steady_clock::now())
{
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->directory = pattern;
  for (const int signal : { SIGTERM, SIGINT, SIGALRM }) {
    std::signal(signal, EndAll);
  }
  ::alarm(kMaxSeconds);
  this->Note(HasTrouble() ? "with the disruption" : "without the disruption");
  this->store.reset(new Store(*this));
  // Takes the first network of loopback addresses that no other case uses.
  constexpr int kNetworks = 200;
  const int first = static_cast<int>(::getpid() % kNetworks);
  bool listens = false;
  for (int attempt = 0; attempt < kNetworks && !listens; ++attempt) {
    this->network = 20 + (first + attempt) % kNetworks;
    listens = this->store->Listen(this->Ip(3, 0), kStorePort);
  }
  if (!listens) {
    throw std::runtime_error("no free network of loopback addresses");
  }
  this->WriteConfig();
  for (int index = 0; index < aEntries; ++index) {
    const std::string name = "edge-cr-san-jose-" + std::to_string(index + 1);
    const std::string ip = this->Ip(1, index);
    std::ostringstream settings;
    settings << this->CommonSettings(name, ip, "edge") << "[listen_addrs]\nfront = \"" << ip << ":"
             << kFrontPort << "\"\nready = \"" << ip << ":" << kReadyPort << "\"\n";
    this->entries.push_back(this->MakeProgram(
      name, "target/packages/apps/oriolespread", "serve-cluster", settings.str()));
  }
  int index = 0;
  for (WorkerOptions& options : aWorkers) {
    const std::string name = "side-cr-san-jose-" + std::to_string(index + 1);
    options.ip = this->Ip(2, index);
    options.agent = "http://" + options.ip + ":" + std::to_string(kControlPort);
    std::ostringstream settings;
    settings << "app = \"" << options.ip << ":" << kWorkerPort << "\"\nservice = \""
             << options.service << "\"\n"
             << this->CommonSettings(name, options.ip, "side") << "[listen_addrs]\ncontrol = \""
             << options.ip << ":" << kControlPort << "\"\n";
    this->agents.push_back(this->MakeProgram(
      name, "target/packages/apps/oriolespread-agent", "--cluster", settings.str()));
    this->workers.emplace_back(new Worker(*this, std::move(options)));
    ++index;
  }
}

Rig::~Rig()
{
  for (auto& program : this->entries) {
    program->Stop();
  }
  for (auto& program : this->agents) {
    program->Stop();
  }
  {
    const Lock lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  for (auto& worker : this->workers) {
    if (worker->server != nullptr) {
      worker->Stop();
    }
  }
  this->store->Stop();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
  }
}

std::string Rig::Ip(int aKind, int aIndex) const
{
  return "127." + std::to_string(this->network) + "." + std::to_string(aKind) + "." +
         std::to_string(aIndex + 1);
}

std::string Rig::CommonSettings(const std::string& aName,
                                const std::string& aIp,
                                const std::string& aClass) const
{
  std::ostringstream out;
  out << "node_name = \"" << aName << "\"\nrole = \"" << (aClass == "edge" ? "entry" : "agent")
      << "\"\nmachine_class = \"" << aClass << "\"\nserves = [\"" << aClass << "\"]\nip = \"" << aIp
      << "\"\nzone = \"z\"\nregion = \"r\"\nport_range = [" << kLinkPort << "," << kLinkPort + 15
      << "]\nseeds = []\nbootstrap = true\nheartbeat_ms = " << kHeartbeatMs
      << "\norders = \"rpc\"\n[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\n"
         "grace_s = 6\nconfig_apply_ms = 2000\nmax_hold_ms = "
      << kMaxHoldMs
      << "\nstop_grace_ms = 200\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\n"
         "status_s = 120\nlease_ms = 3000\n[platform]\naddress = \""
      << this->Ip(3, 0) << ":" << kStorePort
      << "\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\ntxn_ms = " << kTransactionMs
      << ".0\nrow_bytes = " << kRowBytes << "\nacross = true\nhistory_s = 20\n";
  return out.str();
}

std::unique_ptr<Program> Rig::MakeProgram(const std::string& aName,
                                          const std::string& aProgram,
                                          const std::string& aArgument,
                                          const std::string& aSettings)
{
  const std::string path = this->directory + "/" + aName + ".toml";
  std::ofstream(path) << aSettings;
  auto program = std::make_unique<Program>();
  program->command = { aProgram, aArgument };
  program->settings = "ORIOLESPREAD_SETTINGS=" + path;
  program->log = this->directory + "/" + aName + ".log";
  return program;
}

void Rig::WriteConfig()
{
  json routes = json::array();
  for (const char* name : { "rounds", "quotes" }) {
    routes.push_back({ { "name", name },
                       { "host", kHost },
                       { "path_prefix", std::string("/") + name + "/" },
                       { "timeout_ms", 3000 },
                       { "service", "desk" },
                       { "priority", 0 },
                       { "max_attempts", 3 },
                       { "stretch", 2.0 },
                       { "target_latency_ms", 500 } });
  }
  const json config{ { "version", 1 },
                     { "routes", routes },
                     { "services", { { { "name", "desk" }, { "admission_check", true } } } },
                     { "limits", json::object() } };
  this->store->Put("op", "config", config.dump());
}

std::int64_t Rig::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->zero)
    .count();
}

void Rig::SleepMs(std::int64_t aMs) const
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void Rig::Note(const std::string& aText)
{
  const Lock lock(this->mutex);
  this->record << this->NowMs() << " " << aText << std::endl;
}

bool Rig::StartAll()
{
  for (auto& worker : this->workers) {
    worker->Listen(kWorkerPort);
  }
  for (auto& program : this->entries) {
    program->Start();
  }
  for (auto& program : this->agents) {
    program->Start();
  }
  constexpr std::int64_t kStartTimeMs = 15000;
  while (this->NowMs() < kStartTimeMs) {
    this->SleepMs(200);
    bool ready = true;
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
      httplib::Client client(this->Ip(1, static_cast<int>(index)), kReadyPort);
      const auto answer = client.Get("/oriolespread/readyz");
      ready = ready && answer && answer->status == 200;
    }
    const Lock lock(this->mutex);
    for (const auto& worker : this->workers) {
      // A lease shows that the agent follows a leader.
      ready = ready && worker->deadline > 0;
    }
    if (ready) {
      this->record << this->NowMs() << " all entries are ready, all workers have a lease"
                   << std::endl;
      return true;
    }
  }
  this->Note("the programs did not become ready");
  return false;
}

Answer Rig::Call(int aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody)
{
  httplib::Client client(this->Ip(1, aEntry), kFrontPort);
  client.set_connection_timeout(3);
  client.set_read_timeout(4);
  httplib::Request request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  request.headers = { { "Host", kHost },
                      { "X-Oriolespread-Timeout-Ms", "3000" },
                      { "Content-Type", "application/json" } };
  const std::int64_t sentAt = this->NowMs();
  const auto result = client.send(request);
  Answer answer;
  if (result) {
    answer = { result->status, result->body };
  }
  this->Note("client: " + aMethod + " " + aPath + " sent at " + std::to_string(sentAt) +
             " to entry " + std::to_string(aEntry + 1) + " -> " + std::to_string(answer.status) +
             " " + answer.body);
  return answer;
}

Answer Rig::Submit(int aEntry,
                   const std::string& aId,
                   const json& aSteps,
                   TaskShape aShape,
                   const json& aFields)
{
  const std::string payload = "payload of " + aId;
  {
    const Lock lock(this->mutex);
    this->shapes[aId] = aShape;
  }
  json body{ { "spec", payload }, { "steps", aSteps } };
  body.update(aFields);
  Answer answer;
  for (int attempt = 0; attempt < 5; ++attempt) {
    answer = this->Call(aEntry, "POST", "/rounds/" + aId, body.dump());
    if (answer.status == 200) {
      break;
    }
    this->SleepMs(200);
  }
  return answer;
}

std::map<std::string, std::map<std::uint64_t, RunRecord>> Rig::Runs()
{
  const Lock lock(this->mutex);
  return this->runs;
}

std::size_t Rig::CountStarted(const std::string& aJob)
{
  const Lock lock(this->mutex);
  return static_cast<std::size_t>(
    std::count_if(this->runs.begin(), this->runs.end(), [&](const auto& aTask) {
      return aTask.first.starts_with(aJob + ".");
    }));
}

} // namespace review
