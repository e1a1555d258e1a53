#include "oriolespread/requests/RequestEngine.h"

#include "EngineCore.h"

namespace oriolespread {

RequestEngine::RequestEngine(RequestEngineOptions aOptions, Counters& aCounters)
  : core(std::make_unique<internal::EngineCore>(std::move(aOptions), aCounters))
{
}

RequestEngine::~RequestEngine() = default;
RequestEngine::RequestEngine(RequestEngine&&) noexcept = default;
RequestEngine& RequestEngine::operator=(RequestEngine&&) noexcept = default;

void RequestEngine::Handle(Instant aNow, const RequestEvent& aEvent, RequestEffects& aEffects)
{
  this->core->Handle(aNow, aEvent, aEffects);
}

Instant RequestEngine::NextWakeup() const
{
  return this->core->NextWakeup();
}

RequestLoad RequestEngine::Load() const
{
  return this->core->Load();
}

bool RequestEngine::HasUpstream(const OrganisationId& aProvider, const ServiceName& aService) const
{
  return this->core->HasUpstream({ aProvider, aService });
}

bool RequestEngine::IsDrained() const
{
  return this->core->IsDrained();
}

} // namespace oriolespread
