#include "AgentLinks.h"

#include <algorithm>

namespace oriolespread::internal {

namespace {

// An entry with hundreds of agents needs the state of one; asking more often than this would have
// each of them send its whole state.
constexpr Duration kAskInterval = std::chrono::milliseconds(100);

} // namespace

AgentLinks::AgentLinks(BookState& aState)
  : state(&aState)
{
}

void AgentLinks::OnConnected(Instant aNow, const AgentId& aAgent)
{
  this->OnGone(aAgent);
  // The agent's first report says what it needs; the whole state is sent when none comes.
  this->SetDue(aAgent, this->links[aAgent], aNow + this->state->options.resendInterval);
}

void AgentLinks::OnGone(const AgentId& aAgent)
{
  const auto it = this->links.find(aAgent);
  if (it != this->links.end()) {
    this->SetDue(aAgent, it->second, kNever);
    this->links.erase(it);
  }
}

void AgentLinks::OnReport(Instant aNow, const TicketAgentReport& aReport, TicketEffects& aEffects)
{
  Link& link = this->links[aReport.agent];
  link.reported = aReport.number;
  const TicketNumber number = this->state->view.Number();
  if (aReport.number > number && !this->state->storeReachable) {
    this->AskForState(aNow, aReport.agent, aEffects);
  }
  if (aReport.number >= number || !this->state->known) {
    link.sent = TicketNumber{};
    this->SetDue(aReport.agent, link, kNever);
    return;
  }
  const bool confirmed = link.sent != TicketNumber{} && aReport.number >= link.sent;
  if (confirmed || link.sent == TicketNumber{} || aNow >= link.due) {
    this->Push(aNow, aReport.agent, link, aEffects);
  }
}

void AgentLinks::OnState(Instant aNow, const TicketAgentState& aState, TicketEffects& aEffects)
{
  if (this->state->storeReachable) {
    // The table service decides; a state that an agent sends is only used in its absence.
    this->state->Count("ticket_agent_states_total", "not_needed");
    return;
  }
  if (aState.state.number <= this->state->view.Number()) {
    return;
  }
  const ApplyResult result = this->candidate.Apply(aState.state);
  if (result.status == ApplyStatus::Invalid) {
    this->state->Count("ticket_agent_states_total", "invalid");
  }
  if (this->candidate.Number() <= this->state->view.Number()) {
    return;
  }
  if (this->state->known) {
    this->AdoptCandidate(aEffects);
  } else if (this->adoptAt == kNever) {
    this->adoptAt = aNow + this->state->options.agentStateWait;
  }
}

void AgentLinks::Tick(Instant aNow, TicketEffects& aEffects)
{
  if (aNow >= this->adoptAt) {
    this->AdoptCandidate(aEffects);
  }
  while (!this->dueLinks.empty() && this->dueLinks.begin()->first <= aNow) {
    const AgentId agent = this->dueLinks.begin()->second;
    Link& link = this->links[agent];
    if (this->state->known && link.reported < this->state->view.Number()) {
      this->state->Count("ticket_updates_resent_total", "");
      this->Push(aNow, agent, link, aEffects);
    } else {
      this->SetDue(agent, link, kNever);
    }
  }
}

void AgentLinks::OnNumberRaised(Instant aNow, TicketEffects& aEffects)
{
  if (!this->state->known) {
    return;
  }
  for (auto& [agent, link] : this->links) {
    // With an update under way the next one waits for its confirmation, so that a burst of tickets
    // does not send the same states over and over.
    if (link.reported < this->state->view.Number() && link.due == kNever) {
      this->Push(aNow, agent, link, aEffects);
    }
  }
}

Instant AgentLinks::NextWakeup() const
{
  return this->dueLinks.empty() ? this->adoptAt
                                : std::min(this->adoptAt, this->dueLinks.begin()->first);
}

void AgentLinks::Push(Instant aNow, const AgentId& aAgent, Link& aLink, TicketEffects& aEffects)
{
  aLink.sent = this->state->view.Number();
  this->SetDue(aAgent, aLink, aNow + this->state->options.resendInterval);
  aEffects.agentUpdates.push_back({ aAgent, this->UpdateFrom(aLink.reported) });
}

void AgentLinks::SetDue(const AgentId& aAgent, Link& aLink, Instant aDue)
{
  if (aLink.due != kNever) {
    this->dueLinks.erase({ aLink.due, aAgent });
  }
  aLink.due = aDue;
  if (aDue != kNever) {
    this->dueLinks.emplace(aDue, aAgent);
  }
}

void AgentLinks::AskForState(Instant aNow, const AgentId& aAgent, TicketEffects& aEffects)
{
  if (aNow < this->nextAsk) {
    return;
  }
  this->nextAsk = aNow + kAskInterval;
  aEffects.agentUpdates.push_back(
    { aAgent, std::make_shared<const TicketUpdate>(MakeStateRequest()) });
}

std::shared_ptr<const TicketUpdate> AgentLinks::UpdateFrom(TicketNumber aFrom)
{
  if (this->updatesNumber != this->state->view.Number()) {
    this->updates.clear();
    this->updatesNumber = this->state->view.Number();
  }
  std::shared_ptr<const TicketUpdate>& update = this->updates[aFrom];
  if (update == nullptr) {
    update = std::make_shared<const TicketUpdate>(this->state->view.UpdateFrom(aFrom));
  }
  return update;
}

void AgentLinks::AdoptCandidate(TicketEffects& aEffects)
{
  this->adoptAt = kNever;
  if (this->candidate.Number() > this->state->view.Number()) {
    this->state->Apply(this->candidate.WholeState(), aEffects);
    this->state->known = true;
    this->state->synced = false;
    this->state->Count("ticket_agent_states_total", "adopted");
  }
  this->candidate = ConfigView{};
}

} // namespace oriolespread::internal
