// The entry's side of the task path: owns one shard whenever no other entry does, and sees to it
// that every task of the shard completes exactly once.
//
//   ShardOwner<FirstFitPlacer> owner(options, [] { return FirstFitPlacer{}; }, counters);
//   OwnerEffects effects;
//   owner.Handle(clock.Now(), AgentUp{announce}, effects);
//   // carry out the effects in order; pass each result back as an event with its call id;
//   // call again with OwnerTick at owner.NextWakeup()
#pragma once

#include "oriolespread/placement/PlacerPort.h"
#include "oriolespread/tasks/ShardCore.h"

#include <functional>
#include <memory>

namespace oriolespread {

// Not thread-safe; makes no system calls. An event may be handled late by any time, for example
// after the process was paused: deadlines are checked before anything else.
template<PlacerPort Placer>
class ShardOwner
{
public:
  using PlacerFactory = std::function<std::unique_ptr<Placer>()>;

  // `aFactory` makes an empty placer for each ownership. `aCounters` must outlive this object.
  ShardOwner(OwnerOptions aOptions, PlacerFactory aFactory, Counters& aCounters)
    : core(std::move(aOptions), aCounters)
    , factory(std::move(aFactory))
    , placer(this->factory())
  {
  }

  void Handle(Instant aNow, const OwnerEvent& aEvent, OwnerEffects& aEffects)
  {
    this->lastHandled = aNow;
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

  // For a planned stop: claims no more, and gives the shard up so that another entry can claim it
  // at once. Returns false while a transaction is in flight; ask again after its result. Nothing is
  // decided once it has returned true.
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
    return this->lastHandled + (observing ? kObservingTick : kOwningTick);
  }

  OwnerRole Role() const { return this->core.Role(); }
  // Returns the epoch owned last; meaningful while the role is neither Observing nor Claiming.
  Epoch CurrentEpoch() const { return this->core.CurrentEpoch(); }
  // Returns the owner row last seen while observing.
  const std::optional<OwnerRow>& SeenOwner() const { return this->core.SeenOwner(); }
  // Returns nothing when the shard is not held or the job is not known. The view is valid until the
  // next Handle.
  std::optional<JobView> FindJob(const JobId& aJob) const { return this->core.FindJob(aJob); }
  const TaskTable& Table() const { return this->core.Table(); }
  const Placer& CurrentPlacer() const { return *this->placer; }
  // For changes of its configuration. The factory must make placers with the same configuration.
  Placer& MutablePlacer() { return *this->placer; }

private:
  // Half of the journal period, so that a batch leaves at most 50 ms late.
  static constexpr Duration kOwningTick = std::chrono::milliseconds(50);
  static constexpr Duration kObservingTick = std::chrono::milliseconds(100);

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
  void Apply(Instant aNow, const NotePlacerProgress& aUpdate)
  {
    this->placer->RecordCheckpoint(aNow, aUpdate.task);
  }
  void Apply(Instant aNow, const NotePlacerFailure& aUpdate)
  {
    this->placer->RecordFailure(aNow, aUpdate.task, aUpdate.worker);
  }
  void Apply(Instant aNow, const NotePlacerUsage& aUpdate)
  {
    this->placer->RecordUsage(aNow, aUpdate.task, aUpdate.used);
  }
  void Apply(Instant aNow, const NotePlacerLatency& aUpdate)
  {
    this->placer->RecordLatency(aNow, aUpdate.report);
  }

  ShardCore core;
  PlacerFactory factory;
  std::unique_ptr<Placer> placer;
  Instant lastHandled{};
};

} // namespace oriolespread
