// The task scheduler of an entry for one shard: claims the shard when no other entry owns it, and
// as its owner makes sure that every task of the shard completes exactly once.
//
//   ShardOwner<FirstFitPlacer> owner(options, [] { return FirstFitPlacer{}; }, counters);
//   OwnerEffects effects;
//   owner.Handle(clock.Now(), AgentConnected{announce}, effects);
//   // Carry out the effects in order and pass each result back as an event with its call id.
//   // Call Handle with an OwnerTick at owner.NextWakeup().
#pragma once

#include "oriolespread/placement/PlacerPort.h"
#include "oriolespread/tasks/ShardCore.h"

#include <functional>
#include <memory>

namespace oriolespread {

// Not thread-safe; makes no system calls. Events may be handled arbitrarily late, for example after
// the process was paused: deadlines are checked before anything else.
template<PlacerPort Placer>
class ShardOwner
{
public:
  using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

  // `aFactory` returns an empty placer; it is called for each period of ownership. `aCounters` must
  // outlive this object.
  ShardOwner(OwnerOptions aOptions, PlacerFactory aFactory, Counters& aCounters)
    : core(std::move(aOptions), aCounters)
    , factory(std::move(aFactory))
    , placer(this->factory())
  {
  }

  void Handle(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects)
  {
    this->lastHandledAt = aNow;
    this->core.Handle(aNow, aEvent, aEffects);
    this->UpdatePlacer(aNow);
    const std::size_t budget = this->core.PlacementBudget(aNow);
    if (budget > 0) {
      for (const PlacementAction& action : this->placer->Schedule(aNow, budget)) {
        this->core.OnPlacement(aNow, action, aEffects);
      }
    }
    this->core.Flush(aNow, aEffects);
    this->UpdatePlacer(aNow);
  }

  // Called for a graceful shutdown: stops claiming, and releases the shard so that another entry
  // can claim it at once. Returns false while a transaction is in flight; call again when its
  // result has arrived. After it has returned true, no more decisions are made.
  bool Release(Instant aNow, OwnerEffects& aEffects)
  {
    const bool released = this->core.Release(aNow, aEffects);
    this->UpdatePlacer(aNow);
    return released;
  }

  // Returns when the next OwnerTick is due.
  Instant NextWakeup() const
  {
    const bool observing = this->core.Role() == OwnerRole::Observing;
    return this->lastHandledAt + (observing ? kObservingTickPeriod : kOwningTickPeriod);
  }

  OwnerRole Role() const { return this->core.Role(); }
  // Returns the epoch of the ownership; meaningful while the role is neither Observing nor
  // Claiming.
  Epoch CurrentEpoch() const { return this->core.CurrentEpoch(); }
  // Returns the owner row last seen while observing.
  const std::optional<OwnerRow>& LastSeenOwner() const { return this->core.LastSeenOwner(); }
  // Returns nothing if the state of the shard is not loaded or the job is not known. The view is
  // valid until the next call of Handle.
  std::optional<JobView> FindJob(const JobId& aJob) const { return this->core.FindJob(aJob); }
  const TaskTable& Table() const { return this->core.Table(); }
  const Placer& CurrentPlacer() const { return *this->placer; }
  // For changing the placer's configuration. The factory must return placers with the same
  // configuration from then on.
  Placer& MutablePlacer() { return *this->placer; }

private:
  // Half of the journal period, so that a batch is sent at most 50 ms late.
  static constexpr Duration kOwningTickPeriod = std::chrono::milliseconds(50);
  static constexpr Duration kObservingTickPeriod = std::chrono::milliseconds(100);

  void UpdatePlacer(Instant aNow)
  {
    for (const PlacerUpdate& update : this->core.TakePlacerUpdates()) {
      std::visit([&](const auto& aBody) { this->Apply(aNow, aBody); }, update);
    }
  }

  void Apply(Instant /*aNow*/, const ResetPlacer& /*aUpdate*/) { this->placer = this->factory(); }
  void Apply(Instant /*aNow*/, const SetPlacerWorker& aUpdate)
  {
    this->placer->SetWorker(aUpdate.spec);
  }
  void Apply(Instant /*aNow*/, const SetPlacerAvailable& aUpdate)
  {
    this->placer->SetAvailable(aUpdate.worker, aUpdate.available);
  }
  void Apply(Instant /*aNow*/, const RemovePlacerWorker& aUpdate)
  {
    this->placer->RemoveWorker(aUpdate.worker);
  }
  void Apply(Instant aNow, const SubmitToPlacer& aUpdate)
  {
    this->placer->Submit(aNow, aUpdate.request);
  }
  void Apply(Instant aNow, const RestoreInPlacer& aUpdate)
  {
    this->placer->Restore(aNow, aUpdate.request, aUpdate.worker, aUpdate.grant);
  }
  void Apply(Instant /*aNow*/, const ReleaseFromPlacer& aUpdate)
  {
    this->placer->Release(aUpdate.task);
  }
  void Apply(Instant aNow, const RecordPlacerProgress& aUpdate)
  {
    this->placer->RecordCheckpoint(aNow, aUpdate.task);
  }
  void Apply(Instant aNow, const RecordPlacerFailure& aUpdate)
  {
    this->placer->RecordFailure(aNow, aUpdate.task, aUpdate.worker);
  }
  void Apply(Instant aNow, const RecordPlacerUsage& aUpdate)
  {
    this->placer->RecordUsage(aNow, aUpdate.task, aUpdate.used);
  }
  void Apply(Instant aNow, const RecordPlacerLatency& aUpdate)
  {
    this->placer->RecordLatency(aNow, aUpdate.report);
  }

  ShardCore core;
  PlacerFactory factory;
  std::unique_ptr<Placer> placer;
  Instant lastHandledAt{};
};

} // namespace oriolespread
