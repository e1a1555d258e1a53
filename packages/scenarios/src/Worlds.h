// The simulated worlds of one scenario and the meaning of each form of step.
#pragma once

#include "TicketSite.h"

#include "oriolespread/requests/RequestSimulation.h"
#include "oriolespread/scenarios/Script.h"
#include "oriolespread/tasks/SimWorld.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::scenarios {

class Worlds
{
public:
  // Makes the worlds that the script's header declares.
  explicit Worlds(const Script& aScript);

  Duration Now() const { return this->now; }
  void RunUntil(Duration aTime);
  // Carries out a step; returns why an expectation does not hold, or empty text.
  std::string Apply(const Step& aStep);
  // Returns one line on the state of all worlds.
  std::string Summary() const;
  // Returns the invariants that are broken.
  std::vector<std::string> Violations();

private:
  using Handler = std::function<std::string(const Step&)>;

  void Configure(const Step& aStep);
  void AddTaskSteps();
  void AddTaskExpectations();
  void AddStoreSteps();
  void AddRequestSteps();
  void AddTicketSteps();
  void On(const char* aForm, std::function<void(const Step&)> aDo);
  void Expect(const char* aForm, Handler aCheck);
  // Returns the entry that a step names; the owner's when it says so.
  std::size_t EntryOf(const Step& aStep, const std::string& aSlot = "entry") const;

  std::uint64_t seed = 1;
  sim::WorldOptions taskOptions;
  bench::SimulationOptions requestOptions;
  std::unique_ptr<sim::SimWorld> tasks;
  std::unique_ptr<bench::RequestSimulation> requests;
  std::unique_ptr<TicketSite> tickets;
  std::map<std::string, Handler> handlers;
  Duration now{};
};

} // namespace oriolespread::scenarios
