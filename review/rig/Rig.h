// Stand-ins and helpers for the cases of the review: the platform's store, workers, callers, and
// the project's programs as separate processes. Everything listens on loopback addresses. One lock
// guards all stand-ins, as the cases are small.
#pragma once

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace httplib {
class Server;
}

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

class Rig;

// The platform's store of rows, as PROTOCOL.md describes it, with its limits.
class Store
{
public:
  // Calls are answered with 503, which says that nothing was done.
  void SetBusy(bool aBusy);
  // Writes a row as the operator does.
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);

private:
  friend class Rig;
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Key = std::tuple<std::string, std::string, std::string>;

  explicit Store(Rig& aRig);
  // Returns false if the address is in use.
  bool Listen(const std::string& aIp, int aPort);
  void Stop();
  int Transact(const std::string& aBody, nlohmann::json& aAnswer);
  nlohmann::json RowJson(const Key& aKey, const Row& aRow) const;

  Rig& rig;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
  std::map<Key, Row> rows;
  std::uint64_t version = 0;
  bool busy = false;
};

struct WorkerOptions
{
  std::string id;
  std::string ip;
  std::string agent;
  std::string service = "desk";
  std::vector<std::string> labels = { "a", "r1-1" };
  std::int64_t milliCores = 32000;
  std::int64_t memoryMiB = 125000;
};

// What happened to one run, in milliseconds since the start of the rig; -1 if it did not happen.
struct RunRecord
{
  std::string worker;
  std::int64_t startedAt = -1;
  std::int64_t endedAt = -1;
  std::string how;
  // When `last_seen` reached the end; not set if the lease lapsed before.
  std::int64_t acknowledgedAt = -1;
};

// A worker of the platform. It guards its capacity, enforces leases and fencing tokens, and lists
// at most 500 ends at a time.
class Worker
{
public:
  // The worker is silent from now on: it accepts connections and answers nothing, and its runs are
  // gone.
  void Crash();
  std::size_t UnacknowledgedEnds() const;

private:
  friend class Rig;
  struct Run
  {
    std::uint64_t number = 0;
    std::int64_t startedAt = 0;
    // When the work began: for a member of a gang, once all members are present; 0 before.
    std::int64_t worksFrom = 0;
    std::int64_t durationMs = 0;
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    // The run of the whole gang; empty if the task is not in a gang.
    std::string gang;
  };
  struct End
  {
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    bool lapsed = false;
  };

  Worker(Rig& aRig, WorkerOptions aOptions);
  void Listen(int aPort);
  void Stop();
  // Ends the runs that are due or whose lease has lapsed. The lock is held.
  void Advance();
  void Finish(const std::string& aTask, const std::string& aHow);
  // Lets the members of the gang work if all are present, on whichever worker.
  void BeginGang(const std::string& aGang, std::size_t aMembers);
  // Ends the members on this worker, since another member has ended before it was done.
  void BreakGang(const std::string& aGang);
  void Beat();
  std::int64_t Clock() const;
  nlohmann::json Lists();
  int Apply(const std::string& aPath, const nlohmann::json& aBody, nlohmann::json& aAnswer);
  int Start(const nlohmann::json& aBody, nlohmann::json& aAnswer);

  Rig& rig;
  WorkerOptions options;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
  std::thread beats;
  std::int64_t born = 0;
  std::int64_t startedAt = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  std::int64_t deadline = 0;
  std::uint64_t lastEnd = 0;
  bool crashed = false;
  std::map<std::string, Run> running;
  std::map<std::uint64_t, End> ends;
  std::map<std::string, std::uint64_t> highestEnded;
};

// One process of the project.
class Program
{
public:
  ~Program();
  void Start();
  void Signal(int aSignal) const;
  void Stop();
  bool IsRunning();

private:
  friend class Rig;
  std::vector<std::string> command;
  std::string settings;
  std::string log;
  pid_t pid = 0;
};

struct Answer
{
  // 0 if there was no answer.
  int status = 0;
  std::string body;
};

// The size and the true duration of the tasks of a job, for the workers.
struct TaskShape
{
  std::int64_t milliCores = 0;
  std::int64_t memoryMiB = 0;
  std::int64_t durationMs = 0;
  // The durations of tasks differ by up to this share, evenly spread.
  double spread = 0;
  // The number of members if the tasks of each step are a gang; 0 if they are not.
  std::size_t gangMembers = 0;
};

class Rig
{
public:
  // `aFolder` is the folder of the case, for record.txt. Must be called from the repository's root.
  Rig(const std::string& aFolder, int aEntries, std::vector<WorkerOptions> aWorkers);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // Starts all programs and waits until each entry is ready and each worker was called.
  // Returns whether that happened in time.
  bool StartAll();
  void SleepMs(std::int64_t aMs) const;
  std::int64_t NowMs() const;
  void Note(const std::string& aText);

  Answer Call(int aEntry,
              const std::string& aMethod,
              const std::string& aPath,
              const std::string& aBody = {});
  // Sends the job until it is accepted, as a client does, at most five times. `aFields` are further
  // fields of the job, such as `repeats`.
  Answer Submit(int aEntry,
                const std::string& aId,
                const nlohmann::json& aSteps,
                TaskShape aShape,
                const nlohmann::json& aFields = nlohmann::json::object());

  // Copies what happened to each run, by task and number.
  std::map<std::string, std::map<std::uint64_t, RunRecord>> Runs();
  std::size_t CountStarted(const std::string& aJob);

  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Program>> entries;
  std::vector<std::unique_ptr<Program>> agents;

private:
  friend class Store;
  friend class Worker;

  std::string Ip(int aKind, int aIndex) const;
  std::unique_ptr<Program> MakeProgram(const std::string& aName,
                                       const std::string& aProgram,
                                       const std::string& aArgument,
                                       const std::string& aSettings);
  void WriteConfig();
  std::string CommonSettings(const std::string& aName,
                             const std::string& aIp,
                             const std::string& aClass) const;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::ofstream record;
  std::string directory;
  int network = 0;
  std::chrono::steady_clock::time_point zero;
  std::map<std::string, TaskShape> shapes;
  std::map<std::string, std::map<std::uint64_t, RunRecord>> runs;
};

// Returns whether the run of the case has the disruption: TROUBLE is not 0.
bool HasTrouble();

} // namespace review
