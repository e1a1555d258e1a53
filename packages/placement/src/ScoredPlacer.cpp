#include "oriolespread/placement/ScoredPlacer.h"

#include "PlacementEngine.h"

#include "oriolespread/placement/PlacerPort.h"

namespace oriolespread {

static_assert(PlacerPort<ScoredPlacer>);

ScoredPlacer::ScoredPlacer(Counters& aCounters)
  : engine(std::make_unique<internal::PlacementEngine>(aCounters))
{
}

ScoredPlacer::~ScoredPlacer() = default;
ScoredPlacer::ScoredPlacer(ScoredPlacer&&) noexcept = default;
ScoredPlacer& ScoredPlacer::operator=(ScoredPlacer&&) noexcept = default;

void ScoredPlacer::SetWorker(const WorkerSpec& aSpec)
{
  this->engine->SetWorker(aSpec);
}

void ScoredPlacer::SetAvailable(const WorkerId& aWorker, bool aAvailable)
{
  this->engine->SetAvailable(aWorker, aAvailable);
}

void ScoredPlacer::RemoveWorker(const WorkerId& aWorker)
{
  this->engine->RemoveWorker(aWorker);
}

void ScoredPlacer::Submit(Instant aNow, const PlacementRequest& aRequest)
{
  this->engine->Submit(aNow, aRequest);
}

void ScoredPlacer::Restore(Instant aNow,
                           const PlacementRequest& aRequest,
                           const WorkerId& aWorker,
                           const Resources& aGrant)
{
  this->engine->Restore(aNow, aRequest, aWorker, aGrant);
}

void ScoredPlacer::Release(const TaskId& aTask)
{
  this->engine->Release(aTask);
}

void ScoredPlacer::RecordCheckpoint(Instant aNow, const TaskId& aTask)
{
  this->engine->RecordCheckpoint(aNow, aTask);
}

void ScoredPlacer::RecordFailure(Instant aNow, const TaskId& aTask, const WorkerId& aWorker)
{
  this->engine->RecordFailure(aNow, aTask, aWorker);
}

void ScoredPlacer::RecordUsage(Instant aNow, const TaskId& aTask, const Resources& aUsed)
{
  this->engine->RecordUsage(aNow, aTask, aUsed);
}

void ScoredPlacer::RecordLatency(Instant aNow, const ServiceLatencyReport& aReport)
{
  this->engine->RecordLatency(aNow, aReport);
}

std::vector<PlacementAction> ScoredPlacer::Schedule(Instant aNow, std::size_t aLimit)
{
  return this->engine->Schedule(aNow, aLimit);
}

void ScoredPlacer::SetQuota(const TeamId& aTeam, std::optional<Resources> aQuota)
{
  this->engine->SetQuota(aTeam, aQuota);
}

void ScoredPlacer::SetWeight(const OrganisationId& aOrganisation, double aWeight)
{
  this->engine->SetWeight(aOrganisation, aWeight);
}

std::size_t ScoredPlacer::WaitingCount() const
{
  return this->engine->WaitingCount();
}

Resources ScoredPlacer::AllocatedOn(const WorkerId& aWorker) const
{
  return this->engine->AllocatedOn(aWorker);
}

std::size_t ScoredPlacer::DistinctFailures(const TaskId& aTask) const
{
  return this->engine->DistinctFailures(aTask);
}

std::vector<WorkerId> ScoredPlacer::Quarantined() const
{
  return this->engine->Quarantined();
}

void ScoredPlacer::RestoreQuarantine(Instant aNow, const WorkerId& aWorker)
{
  this->engine->RestoreQuarantine(aNow, aWorker);
}

} // namespace oriolespread
