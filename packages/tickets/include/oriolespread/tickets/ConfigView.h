// The configuration at one ticket number, as every process holds it. An agent feeds it with the
// TicketUpdates of its entries and reports its number in each LoadReport, which is how a missing
// update is asked for again:
//
//   ConfigView view;
//   if (view.Apply(update).status == ApplyStatus::Applied) { ... }
//   const ServiceConfig* service = view.FindService(organisation, name);
#pragma once

#include "oriolespread/messages/ControlMessages.h"
#include "oriolespread/tickets/ConfigValues.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread {

enum class ApplyStatus
{
  // The number has risen.
  Applied,
  // The view is at the update's number or above; nothing changed.
  AlreadyKnown,
  // The update builds on tickets that the view lacks; nothing changed. Report the number.
  Gap,
  // The sender has no state and asks for this view's; send it WholeState().
  StateRequested,
  // The update contradicts itself; nothing changed.
  Invalid,
};

struct ApplyResult
{
  ApplyStatus status = ApplyStatus::Invalid;
  // With Applied: the keys that changed.
  std::vector<std::string> changedKeys;
  // With Invalid: what is wrong. With Applied: values that this process cannot read, for example of
  // a later version; they are passed on, and readers keep seeing the previous value.
  Findings findings;
};

// Returns the update by which an entry without a state asks an agent for its own.
TicketUpdate MakeStateRequest();

// Not thread-safe; copies are independent. Pointers that are returned stay valid until the next
// Apply.
class ConfigView
{
public:
  ApplyResult Apply(const TicketUpdate& aUpdate);

  // The number never falls; 0 before the first ticket.
  TicketNumber Number() const { return this->number; }
  // Returns the states that changed after `aFrom`; the whole state when that is 0 or not below
  // Number().
  TicketUpdate UpdateFrom(TicketNumber aFrom) const;
  TicketUpdate WholeState() const { return this->UpdateFrom(TicketNumber{}); }

  // Typed values; null when the key is not set.
  const OrganisationConfig* FindOrganisation(const OrganisationId& aOrganisation) const;
  const ServiceConfig* FindService(const OrganisationId& aOrganisation,
                                   const ServiceName& aService) const;
  const QuotaConfig* FindQuota(const TeamId& aTeam) const;
  const WorkerConfig* FindWorker(const WorkerId& aWorker) const;
  const RequestPolicyConfig* FindRequestPolicy() const;
  const TaskPolicyConfig* FindTaskPolicy() const;

  // All typed values in order of their names.
  using ServiceId = std::pair<OrganisationId, ServiceName>;
  const std::map<OrganisationId, OrganisationConfig>& Organisations() const
  {
    return this->organisations;
  }
  const std::map<ServiceId, ServiceConfig>& Services() const { return this->services; }
  const std::map<TeamId, QuotaConfig>& Quotas() const { return this->quotas; }
  const std::map<WorkerId, WorkerConfig>& Workers() const { return this->workers; }

  // Returns the state of a key, also of one that was removed; null when no ticket ever set it.
  const ConfigState* FindState(const std::string& aKey) const;
  // Returns the approximate size of the whole state as a message.
  std::size_t StateBytes() const { return this->stateBytes; }

private:
  void SetState(const ConfigState& aState, ApplyResult& aResult);
  void SetValue(const ConfigState& aState, Findings& aFindings);

  TicketNumber number;
  std::map<std::string, ConfigState> states;
  // Keys in order of the ticket that set them last, so that an update costs only what changed.
  std::set<std::pair<TicketNumber, std::string>> order;
  std::size_t stateBytes = 0;

  std::map<OrganisationId, OrganisationConfig> organisations;
  std::map<ServiceId, ServiceConfig> services;
  std::map<TeamId, QuotaConfig> quotas;
  std::map<WorkerId, WorkerConfig> workers;
  std::optional<RequestPolicyConfig> requestPolicy;
  std::optional<TaskPolicyConfig> taskPolicy;
};

} // namespace oriolespread
