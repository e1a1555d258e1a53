// Decides on all requests of one entry: admission, queueing, routing, retries, hedges and
// idempotency. It performs no input or output itself. A driver calls it from one thread:
//
//   RequestEffects effects;
//   engine.Handle(now, NewRequest{...}, effects);
//   for (const RequestEffect& effect : effects) { /* open the stream, send the response, ... */ }
//   timer.expires_at(engine.NextWakeup()); // then Handle(now, Tick{}, effects)
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/requests/RequestEvents.h"

#include <memory>

namespace oriolespread {

namespace internal {
class EngineCore;
}

struct RequestEngineOptions
{
  EntryId entry;
  Incarnation incarnation;
  DataCentreId dataCentre;
  std::uint64_t seed = 1;
};

// The load of the engine over all services, for metrics and readiness.
struct RequestLoad
{
  std::size_t queued = 0;
  // Calls in flight; a hedged request counts twice.
  std::size_t calls = 0;
  // Requests without a final response.
  std::size_t requests = 0;
};

// Not thread-safe. `aCounters` must outlive the engine.
class RequestEngine
{
public:
  RequestEngine(RequestEngineOptions aOptions, Counters& aCounters);
  ~RequestEngine();
  RequestEngine(RequestEngine&&) noexcept;
  RequestEngine& operator=(RequestEngine&&) noexcept;

  // Processes one event and appends the resulting effects to `aEffects`. `aNow` must not decrease.
  void Handle(Instant aNow, const RequestEvent& aEvent, RequestEffects& aEffects);

  // Returns when the next Tick is due; Instant::max() when there is no timer. Valid until the next
  // call of Handle.
  Instant NextWakeup() const;

  RequestLoad Load() const;
  // Returns whether the service has a serving upstream, with or without free credit.
  bool HasUpstream(const OrganisationId& aProvider, const ServiceName& aService) const;
  // Returns whether a drain was requested and no request or table operation is left.
  bool IsDrained() const;

private:
  std::unique_ptr<internal::EngineCore> core;
};

} // namespace oriolespread
