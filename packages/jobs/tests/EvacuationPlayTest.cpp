// Seeded evacuations of a data centre around which the leader changes, agents are cut off, or all
// processes restart.
#include "PlayedCluster.h"

#include <catch2/catch.hpp>

#include <array>

using namespace oriolespread;
using namespace oriolespread::jobs;

namespace {

constexpr std::size_t kWorkers = 4;
constexpr std::uint64_t kSeedsPerFault = 10;
// Twice the time that a new leader waits for the leases of a silent worker.
constexpr Duration kSettleTime = std::chrono::seconds(30);

enum class Fault
{
  None,
  KillLeader,
  FreezeLeader,
  CutAgent,
  RestartAgents,
  RestartAll,
};
constexpr std::array<const char*, 6> kFaultNames{ "none",      "kill leader",    "freeze leader",
                                                  "cut agent", "restart agents", "restart all" };

class EvacuationPlay
{
public:
  EvacuationPlay(std::uint64_t aSeed, Fault aFault)
    : seed(aSeed)
    , fault(aFault)
    , random(aSeed)
    , cluster(aSeed + 2'000'000, kWorkers)
  {
    this->Elect(Duration::zero());
    this->AwaitLeaders(1);
    this->SubmitJobs();
  }

  void Play()
  {
    this->Run(this->random.Between(1000 * kMs, 2000 * kMs));
    const bool faultFirst = this->random.Chance(0.5);
    if (faultFirst) {
      this->Disturb();
      this->Run(this->random.Between({}, 1000 * kMs));
    }
    PlayedWorld& world = this->cluster.world;
    world.Note("evacuation of d0 is requested");
    world.evacuatedSince["d0"] = world.time.Present();
    if (!faultFirst) {
      this->Run(this->random.Between({}, 1000 * kMs));
      this->Disturb();
    }
    this->Run(std::chrono::seconds(8));
    this->AwaitEnds();
    const std::uint64_t before = world.startsByDataCentre["d0"];
    world.Note("evacuation of d0 is removed");
    world.evacuatedSince.clear();
    // The other data centre has no room for all of these.
    this->Submit(MakeStep(20));
    this->Run(std::chrono::seconds(3));
    INFO(this->Context());
    CHECK(world.startsByDataCentre["d0"] > before);
    this->AwaitEnds();
  }

private:
  std::string Context() const
  {
    std::string text = std::string(kFaultNames[static_cast<std::size_t>(this->fault)]) + ", seed " +
                       std::to_string(this->seed);
    for (const std::string& event : this->cluster.world.history) {
      text += "\n  " + event;
    }
    return text;
  }

  void Run(Duration aTime)
  {
    this->cluster.Run(aTime);
    if (const auto& finding = this->cluster.world.finding; finding.has_value()) {
      FAIL("expected: " << finding->expected << "\nactual: " << finding->actual << "\n"
                        << this->Context());
    }
  }

  void Elect(Duration aClaimAfter)
  {
    std::vector<Duration> delays;
    for (std::size_t agent = 0; agent < kWorkers; ++agent) {
      delays.push_back(this->random.Between(kMs, 200 * kMs));
    }
    this->cluster.Elect(aClaimAfter, std::move(delays), {});
  }

  void AwaitLeaders(std::size_t aCount)
  {
    while (this->cluster.LeaderCount() < aCount) {
      this->Run(50 * kMs);
    }
  }

  // Submits a job with the step every 0.1 to 0.4 s for 8 s.
  void SubmitJobs()
  {
    for (Duration at{}; at < std::chrono::seconds(8);
         at += this->random.Between(100 * kMs, 400 * kMs)) {
      this->cluster.world.time.After(at, [this] {
        StepSpec step = MakeStep(static_cast<std::uint32_t>(1 + this->random.Below(3)));
        if (this->random.Chance(0.2)) {
          step.gang = true;
          step.image = kPlayedGangImage;
        }
        this->Submit(step);
      });
    }
  }

  void Submit(StepSpec aStep)
  {
    aStep.estimateMs = static_cast<std::int64_t>(200 + this->random.Below(800));
    JobRecord record = MakeJob("j" + std::to_string(this->jobs.size()), { aStep });
    record.spec.payload = std::to_string(aStep.estimateMs);
    record.policy.maxAttempts = 1000;
    record.submittedUnixMs = this->cluster.world.time.Current().unixMs;
    this->jobs.push_back(record.id);
    this->cluster.Submit(record);
  }

  void Disturb()
  {
    PlayedLeader* leader = this->cluster.Newest();
    const Duration time = this->random.Between(1000 * kMs, 6000 * kMs);
    switch (this->fault) {
      case Fault::None:
        break;
      case Fault::KillLeader:
      case Fault::RestartAll:
        leader->Kill();
        this->cluster.CloseLinks(leader, 1000 * kMs, {});
        this->Elect(std::chrono::seconds(30));
        break;
      case Fault::FreezeLeader:
        leader->Freeze(time);
        this->Elect(std::chrono::seconds(30));
        break;
      case Fault::CutAgent:
        this->cluster.CutAgent(0, time);
        break;
      case Fault::RestartAgents:
        break;
    }
    if (this->fault == Fault::RestartAll || this->fault == Fault::RestartAgents) {
      for (std::size_t agent = 0; agent < kWorkers; ++agent) {
        this->cluster.RestartAgent(agent);
      }
    }
  }

  void AwaitEnds()
  {
    std::string open;
    for (Duration waited{}; waited < kSettleTime; waited += 500 * kMs) {
      open.clear();
      for (const std::string& job : this->jobs) {
        open = this->cluster.world.store.ended.contains(job) ? open : job;
      }
      if (open.empty()) {
        return;
      }
      this->Run(500 * kMs);
    }
    FAIL(open << " has not ended\n" << this->Context());
  }

  std::uint64_t seed;
  Fault fault;
  RandomSource random;
  PlayedCluster cluster;
  std::vector<std::string> jobs;
};

} // namespace

// Guards against starts in an evacuated data centre after the bound, against jobs that do not use
// the other one meanwhile, and against a data centre that stays unused after the removal.
TEST_CASE("JobScheduler StartsNothingInAnEvacuatedDataCentreWhenProcessesFail")
{
  for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
    for (std::uint64_t seed = 1; seed <= kSeedsPerFault; ++seed) {
      EvacuationPlay(seed, static_cast<Fault>(fault)).Play();
    }
  }
}
