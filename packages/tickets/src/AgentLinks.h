// Keeps the agents that are linked with this entry at the newest number. An agent's own number
// comes with each LoadReport; every update starts at the number last reported, so that no update
// depends on an earlier one having arrived.
#pragma once

#include "BookState.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace oriolespread::internal {

class AgentLinks
{
public:
  explicit AgentLinks(BookState& aState);

  void OnConnected(Instant aNow, const AgentId& aAgent);
  void OnGone(const AgentId& aAgent);
  void OnReport(Instant aNow, const TicketAgentReport& aReport, TicketEffects& aEffects);
  void OnState(Instant aNow, const TicketAgentState& aState, TicketEffects& aEffects);
  void Tick(Instant aNow, TicketEffects& aEffects);
  // To be called when the view's number has risen.
  void OnNumberRaised(Instant aNow, TicketEffects& aEffects);
  Instant NextWakeup() const;

private:
  struct Link
  {
    // 0 until the agent has reported, so that it is sent the whole state.
    TicketNumber reported;
    // Number of the update that the agent has not confirmed yet; 0 when there is none.
    TicketNumber sent;
    // When the agent is looked at again; kNever when it needs nothing.
    Instant due = kNever;
  };

  void Push(Instant aNow, const AgentId& aAgent, Link& aLink, TicketEffects& aEffects);
  void SetDue(const AgentId& aAgent, Link& aLink, Instant aDue);
  void AskForState(Instant aNow, const AgentId& aAgent, TicketEffects& aEffects);
  std::shared_ptr<const TicketUpdate> UpdateFrom(TicketNumber aFrom);
  void AdoptCandidate(TicketEffects& aEffects);

  BookState* state;
  // Ordered, so that equal runs send in equal order.
  std::map<AgentId, Link> links;
  std::set<std::pair<Instant, AgentId>> dueLinks;
  // Updates to the view's present number by where they start.
  absl::flat_hash_map<TicketNumber, std::shared_ptr<const TicketUpdate>> updates;
  TicketNumber updatesNumber;
  // The newest state that an agent has sent while the table service is down.
  ConfigView candidate;
  Instant adoptAt = kNever;
  Instant nextAsk = Instant::min();
};

} // namespace oriolespread::internal
