#include "Worlds.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace oriolespread::scenarios {

namespace {

constexpr std::size_t kWorkersPerRack = 3;

std::string Compare(std::string_view aWhat, std::uint64_t aActual, bool aHolds)
{
  return aHolds ? std::string() : absl::StrCat(std::string(aWhat), " is ", aActual);
}

} // namespace

Worlds::Worlds(const Script& aScript)
{
  for (const Step& step : aScript.Steps()) {
    if (!step.at.has_value()) {
      this->Configure(step);
    }
  }
  this->AddTaskSteps();
  this->AddTaskExpectations();
  this->AddStoreSteps();
  this->AddRequestSteps();
  this->AddTicketSteps();
}

void Worlds::Configure(const Step& aStep)
{
  const std::string_view form = aStep.form;
  if (form.starts_with("seed")) {
    this->seed = aStep.Number("count");
  } else if (form.starts_with("horizon")) {
    this->taskOptions.horizon = aStep.Time("time");
  } else if (form.starts_with("tasks")) {
    this->taskOptions.seed = this->seed;
    this->taskOptions.entries = aStep.Number("entries");
    this->taskOptions.agents = aStep.Number("workers");
    this->taskOptions.capacity = { static_cast<std::int64_t>(aStep.Number("cores")) * 1000,
                                   static_cast<std::int64_t>(aStep.Number("memory")),
                                   0 };
    this->tasks = std::make_unique<sim::SimWorld>(this->taskOptions);
  } else if (form.starts_with("requests")) {
    this->requestOptions.seed = this->seed;
    this->requestOptions.entries = aStep.Number("entries");
    this->requestOptions.workers = aStep.Number("workers");
    this->requestOptions.dataCentres = aStep.Number("centres");
    this->requestOptions.farOneWay = aStep.Time("link");
    this->requestOptions.meanService = aStep.Time("service");
    this->requests = std::make_unique<bench::RequestSimulation>(this->requestOptions);
  } else if (form.starts_with("traffic")) {
    bench::TrafficOptions traffic;
    traffic.organisation = OrganisationId{ aStep.Text("name") };
    traffic.perSecond = static_cast<double>(aStep.Number("count"));
    this->requestOptions.traffic.push_back(traffic);
    this->requests = std::make_unique<bench::RequestSimulation>(this->requestOptions);
  } else if (form.starts_with("tickets")) {
    this->tickets =
      std::make_unique<TicketSite>(aStep.Number("entries"), aStep.Number("agents"), this->seed);
  }
}

void Worlds::RunUntil(Duration aTime)
{
  if (this->tasks != nullptr) {
    this->tasks->RunFor(aTime - this->now);
  }
  if (this->requests != nullptr) {
    this->requests->Run(aTime - this->now, true);
  }
  if (this->tickets != nullptr) {
    this->tickets->RunUntil(aTime);
  }
  this->now = aTime;
}

std::string Worlds::Apply(const Step& aStep)
{
  const auto handler = this->handlers.find(aStep.form);
  if (handler == this->handlers.end()) {
    return "the world that this step needs is not declared";
  }
  return handler->second(aStep);
}

void Worlds::On(const char* aForm, std::function<void(const Step&)> aDo)
{
  // Steps that several worlds know, such as those of the store, apply to all of them.
  Handler before = std::exchange(this->handlers[aForm], nullptr);
  this->handlers[aForm] = [before = std::move(before), run = std::move(aDo)](const Step& aStep) {
    std::string failure = before ? before(aStep) : std::string();
    run(aStep);
    return failure;
  };
}

void Worlds::Expect(const char* aForm, Handler aCheck)
{
  this->handlers[aForm] = std::move(aCheck);
}

std::size_t Worlds::EntryOf(const Step& aStep, const std::string& aSlot) const
{
  if (aStep.Text(aSlot) != "owner") {
    return aStep.Number(aSlot);
  }
  const sim::EntryProcess* owner = this->tasks->FindOwner();
  for (std::size_t index = 0; index < this->tasks->entries.size(); ++index) {
    if (&this->tasks->entries[index] == owner) {
      return index;
    }
  }
  return 0;
}

void Worlds::AddTaskSteps()
{
  if (this->tasks == nullptr) {
    return;
  }
  sim::SimWorld& world = *this->tasks;
  const auto need = [](const Step& aStep) {
    return Resources{ static_cast<std::int64_t>(aStep.Number("cores")) * 1000,
                      static_cast<std::int64_t>(aStep.Number("memory")),
                      0 };
  };
  this->On("submit job <name> tasks <count:tasks> length <time:length> need <count:cores> "
           "<count:memory>",
           [&world, need](const Step& aStep) {
             world.Submit(aStep.Text("name"),
                          static_cast<std::uint32_t>(aStep.Number("tasks")),
                          aStep.Time("length"),
                          need(aStep));
           });
  this->On("submit service <name> replicas <count:tasks> need <count:cores> <count:memory>",
           [&world, need](const Step& aStep) {
             world.Submit(aStep.Text("name"),
                          static_cast<std::uint32_t>(aStep.Number("tasks")),
                          std::chrono::hours(24),
                          need(aStep),
                          TaskClass::LatencyCritical);
           });
  this->On("cancel job <name>",
           [&world](const Step& aStep) { world.Cancel(aStep.Text("name"), {}); });
  this->On("cancel job <name> first <count>", [&world](const Step& aStep) {
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t index = 0; index < aStep.Number("count"); ++index) {
      indexes.push_back(index);
    }
    world.Cancel(aStep.Text("name"), indexes);
  });
  this->On("kill entry <entry>",
           [this, &world](const Step& aStep) { world.KillEntry(this->EntryOf(aStep)); });
  this->On("start entry <count>",
           [&world](const Step& aStep) { world.StartEntry(aStep.Number("count")); });
  this->On("pause entry <entry> for <time>", [this, &world](const Step& aStep) {
    world.entries.at(this->EntryOf(aStep)).pausedUntil = world.queue.Now() + aStep.Time("time");
  });
  this->On("kill agent <count>",
           [&world](const Step& aStep) { world.KillAgent(aStep.Number("count")); });
  this->On("start agent <count>",
           [&world](const Step& aStep) { world.StartAgent(aStep.Number("count")); });
  this->On("pause agent <count> for <time>", [&world](const Step& aStep) {
    world.agents.at(aStep.Number("count")).pausedUntil = world.queue.Now() + aStep.Time("time");
  });
  this->On("kill worker <count>",
           [&world](const Step& aStep) { world.KillWorker(aStep.Number("count")); });
  this->On("kill rack <count>", [&world](const Step& aStep) {
    const std::size_t first = aStep.Number("count") * kWorkersPerRack;
    for (std::size_t index = first; index < first + kWorkersPerRack; ++index) {
      if (index < world.agents.size()) {
        world.KillWorker(index);
      }
    }
  });
  this->On("replace worker <count>",
           [&world](const Step& aStep) { world.StartAgent(aStep.Number("count")); });
  this->On("worker <count> fails <share>", [&world](const Step& aStep) {
    world.agents.at(aStep.Number("count")).worker->failureRate = aStep.Share("share");
  });
  this->On("cut entry <entry> agent <count>", [this, &world](const Step& aStep) {
    world.SetLinkCut(this->EntryOf(aStep), aStep.Number("count"), true);
  });
  this->On("heal entry <count:entry> agent <count:agent>", [&world](const Step& aStep) {
    world.SetLinkCut(aStep.Number("entry"), aStep.Number("agent"), false);
  });
  this->On("messages drop <share>",
           [&world](const Step& aStep) { world.drop = aStep.Share("share"); });
  this->On("messages duplicate <share>",
           [&world](const Step& aStep) { world.duplicate = aStep.Share("share"); });
  this->On("messages delay <time>",
           [&world](const Step& aStep) { world.messageDelay = aStep.Time("time"); });
  this->On("evictions <share>",
           [&world](const Step& aStep) { world.evictionProbability = aStep.Share("share"); });
}

void Worlds::AddTaskExpectations()
{
  if (this->tasks == nullptr) {
    return;
  }
  sim::SimWorld& world = *this->tasks;
  this->Expect("expect job <name> finished", [&world](const Step& aStep) -> std::string {
    const sim::EntryProcess* owner = world.FindOwner();
    if (owner == nullptr) {
      return "no entry owns the shard";
    }
    const auto view = owner->owner->FindJob(JobId{ aStep.Text("name") });
    if (!view.has_value()) {
      return "the job is not known";
    }
    return view->job->finished ? "" : "the job is not finished";
  });
  this->Expect("expect tasks completed <count>", [&world](const Step& aStep) {
    const std::size_t completed = world.checks.completed;
    return Compare("number completed", completed, completed == aStep.Number("count"));
  });
  this->Expect("expect tasks running at least <count>", [&world](const Step& aStep) {
    const std::size_t running = world.RunningTasks();
    return Compare("number running", running, running >= aStep.Number("count"));
  });
  this->Expect("expect tasks running <count>", [&world](const Step& aStep) {
    const std::size_t running = world.RunningTasks();
    return Compare("number running", running, running == aStep.Number("count"));
  });
  this->Expect("expect attempts at most <count>", [&world](const Step& aStep) {
    const std::size_t placements = world.checks.placements;
    return Compare("number of attempts", placements, placements <= aStep.Number("count"));
  });
  this->Expect("expect lapses at most <count>", [&world](const Step& aStep) {
    const std::size_t expiredLeases = world.checks.expiredLeases;
    return Compare("number of lapses", expiredLeases, expiredLeases <= aStep.Number("count"));
  });
  this->Expect("expect evictions at least <count>", [&world](const Step& aStep) {
    const std::size_t evictions = world.checks.evictions;
    return Compare("number of evictions", evictions, evictions >= aStep.Number("count"));
  });
  this->Expect("expect owner", [&world](const Step&) {
    return std::string(world.FindOwner() != nullptr ? "" : "no entry owns the shard");
  });
  this->Expect("expect no owner", [&world](const Step&) {
    return std::string(world.FindOwner() == nullptr ? "" : "an entry owns the shard");
  });
}

void Worlds::AddStoreSteps()
{
  const auto setDown = [this](bool aDown) {
    if (this->tasks != nullptr) {
      this->tasks->store.down = aDown;
    }
    if (this->tickets != nullptr) {
      this->tickets->storeDown = aDown;
    }
    if (this->requests != nullptr) {
      this->requests->SetStoreFault(aDown ? bench::StoreFault::Unavailable
                                          : bench::StoreFault::None);
    }
  };
  this->On("store down", [setDown](const Step&) { setDown(true); });
  this->On("store up", [setDown](const Step&) { setDown(false); });
  this->On("store slow <time>", [this](const Step& aStep) {
    if (this->tasks != nullptr) {
      this->tasks->store.delay = aStep.Time("time");
    }
    if (this->tickets != nullptr) {
      this->tickets->storeDelay = aStep.Time("time");
    }
  });
  this->On("store loses <share>", [this](const Step& aStep) {
    if (this->tasks != nullptr) {
      this->tasks->store.loss = aStep.Share("share");
    }
    if (this->tickets != nullptr) {
      this->tickets->storeLoss = aStep.Share("share");
    }
  });
}

void Worlds::AddRequestSteps()
{
  if (this->requests == nullptr) {
    return;
  }
  bench::RequestSimulation& site = *this->requests;
  const auto onFault = [this, &site](const char* aForm, bench::UpstreamFault aFault) {
    this->On(aForm,
             [&site, aFault](const Step& aStep) { site.SetFault(aStep.Number("count"), aFault); });
  };
  onFault("upstream <count> killed", bench::UpstreamFault::Killed);
  onFault("upstream <count> vanished", bench::UpstreamFault::Unresponsive);
  onFault("upstream <count> paused", bench::UpstreamFault::Paused);
  onFault("upstream <count> breaks off", bench::UpstreamFault::AbortsRequests);
  onFault("upstream <count> healthy", bench::UpstreamFault::None);
  this->On("upstream <count> leaves",
           [&site](const Step& aStep) { site.StopGracefully(aStep.Number("count")); });
  this->On("rate <name> <count>", [&site](const Step& aStep) {
    site.SetRate(OrganisationId{ aStep.Text("name") }, static_cast<double>(aStep.Number("count")));
  });
  this->Expect("expect requests answered at least <share>", [&site](const Step& aStep) {
    const bench::RequestStatistics total = site.Total();
    const double share =
      total.offered == 0 ? 0.0
                         : static_cast<double>(total.answered) / static_cast<double>(total.offered);
    return share >= aStep.Share("share")
             ? std::string()
             : absl::StrCat(total.answered, " of ", total.offered, " were answered");
  });
  this->Expect("expect requests failed at most <count>", [&site](const Step& aStep) {
    const bench::RequestStatistics total = site.Total();
    const std::size_t failed = total.notRun + total.unknown;
    return Compare("number failed", failed, failed <= aStep.Number("count"));
  });
  this->Expect("expect failures only on faulty upstreams", [&site](const Step&) {
    return Compare(
      "number failed elsewhere", site.FailuresWithoutFault(), site.FailuresWithoutFault() == 0);
  });
}

void Worlds::AddTicketSteps()
{
  if (this->tickets == nullptr) {
    return;
  }
  TicketSite& site = *this->tickets;
  this->On("ticket <name> at entry <count:entry> based on <count:base> sets <key> to <rest>",
           [&site](const Step& aStep) {
             site.Submit(aStep.Text("name"),
                         aStep.Number("entry"),
                         TicketNumber{ aStep.Number("base") },
                         aStep.Text("key"),
                         nlohmann::json::parse(aStep.Text("rest")));
           });
  if (this->tasks == nullptr) {
    this->On("kill entry <entry>",
             [&site](const Step& aStep) { site.KillEntry(aStep.Number("entry")); });
    this->On("start entry <count>",
             [&site](const Step& aStep) { site.StartEntry(aStep.Number("count")); });
    this->On("messages drop <share>",
             [&site](const Step& aStep) { site.drop = aStep.Share("share"); });
  }
  this->Expect("expect ticket <name> accepted", [&site](const Step& aStep) -> std::string {
    const SubmitAnswer* answer = site.AnswerOf(aStep.Text("name"));
    if (answer == nullptr) {
      return "there is no answer";
    }
    return answer->outcome == SubmitOutcome::Accepted
             ? ""
             : absl::StrCat("outcome is ", std::string(ToString(answer->outcome)));
  });
  this->Expect("expect ticket <name> refused", [&site](const Step& aStep) -> std::string {
    const SubmitAnswer* answer = site.AnswerOf(aStep.Text("name"));
    if (answer == nullptr) {
      return "there is no answer";
    }
    return answer->outcome != SubmitOutcome::Accepted ? "" : "it was accepted";
  });
  this->Expect("expect number <count> everywhere", [&site](const Step& aStep) {
    const bool holds = site.Lowest().Value() == aStep.Number("count") &&
                       site.Highest().Value() == aStep.Number("count");
    return holds
             ? std::string()
             : absl::StrCat("numbers are ", site.Lowest().Value(), " to ", site.Highest().Value());
  });
  this->Expect("expect number at least <count> everywhere", [&site](const Step& aStep) {
    return Compare(
      "lowest number", site.Lowest().Value(), site.Lowest().Value() >= aStep.Number("count"));
  });
}

std::string Worlds::Summary() const
{
  std::string text;
  if (this->tasks != nullptr) {
    const sim::SimChecks& checks = this->tasks->checks;
    absl::StrAppend(&text,
                    "tasks: running ",
                    this->tasks->RunningTasks(),
                    " completed ",
                    checks.completed,
                    " placements ",
                    checks.placements,
                    " evictions ",
                    checks.evictions,
                    " lapses ",
                    checks.expiredLeases,
                    "; ");
  }
  if (this->requests != nullptr) {
    const bench::RequestStatistics total = this->requests->Total();
    absl::StrAppend(&text,
                    "requests: offered ",
                    total.offered,
                    " answered ",
                    total.answered,
                    " not run ",
                    total.notRun,
                    " unknown ",
                    total.unknown,
                    "; ");
  }
  if (this->tickets != nullptr) {
    absl::StrAppend(&text,
                    "tickets: in force ",
                    this->tickets->Lowest().Value(),
                    " to ",
                    this->tickets->Highest().Value(),
                    "; ");
  }
  return text;
}

std::vector<std::string> Worlds::Violations()
{
  std::vector<std::string> violations;
  if (this->tasks != nullptr && !this->tasks->checks.violation.empty()) {
    violations.push_back(this->tasks->checks.violation);
  }
  if (this->tickets != nullptr && !this->tickets->Violation().empty()) {
    violations.push_back(this->tickets->Violation());
  }
  if (this->requests != nullptr) {
    this->requests->Finish();
    if (this->requests->FalseNotRunCount() > 0) {
      violations.emplace_back("a request said to be not run was run");
    }
    if (this->requests->DuplicateRunCount() > 0) {
      violations.emplace_back("a non-idempotent request ran twice");
    }
    if (this->requests->MissingOrDuplicateResponses() > 0) {
      violations.emplace_back("a request got no answer or more than one");
    }
  }
  return violations;
}

} // namespace oriolespread::scenarios
