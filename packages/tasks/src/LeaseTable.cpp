#include "oriolespread/tasks/LeaseTable.h"

#include <algorithm>

namespace oriolespread {

LiveAttempt* WorkerLease::Find(const AttemptId& aAttempt)
{
  this->nextCommandCheck = Instant{};
  const auto it = this->attempts.find(aAttempt.token);
  return it != this->attempts.end() && it->second.attempt == aAttempt ? &it->second : nullptr;
}

void WorkerLease::Add(const LiveAttempt& aAttempt)
{
  this->nextCommandCheck = Instant{};
  this->attempts.emplace(aAttempt.attempt.token, aAttempt);
}

void LeaseTable::Reset()
{
  std::erase_if(this->workers, [](const auto& aEntry) { return !aEntry.second.linked; });
  for (auto& [id, lease] : this->workers) {
    WorkerLease reset;
    reset.spec = lease.spec;
    reset.agent = lease.agent;
    reset.incarnation = lease.incarnation;
    reset.linked = true;
    reset.lastHeartbeat = lease.lastHeartbeat;
    lease = std::move(reset);
  }
  this->lastSession = 0;
}

WorkerLease* LeaseTable::OnAgentConnected(const Announce& aAnnounce)
{
  WorkerLease& lease = this->GetOrAdd(aAnnounce.worker);
  if (aAnnounce.incarnation < lease.incarnation) {
    return nullptr;
  }
  if (aAnnounce.incarnation > lease.incarnation) {
    lease.incarnation = aAnnounce.incarnation;
    lease.lastHeartbeat = 0;
  }
  if (lease.agent != aAnnounce.agent) {
    this->agents.erase(lease.agent);
    lease.agent = aAnnounce.agent;
  }
  this->agents[aAnnounce.agent] = aAnnounce.worker;
  lease.spec =
    WorkerSpec{ aAnnounce.worker, aAnnounce.dataCentre, aAnnounce.rack, aAnnounce.capacity };
  lease.linked = true;
  lease.sessionOpen = false;
  lease.reconciled = false;
  return &lease;
}

WorkerLease* LeaseTable::OnAgentDisconnected(const AgentId& aAgent)
{
  WorkerLease* lease = this->FindByAgent(aAgent);
  if (lease != nullptr) {
    lease->linked = false;
  }
  return lease;
}

WorkerLease* LeaseTable::Find(const WorkerId& aWorker)
{
  const auto it = this->workers.find(aWorker);
  return it == this->workers.end() ? nullptr : &it->second;
}

WorkerLease* LeaseTable::FindByAgent(const AgentId& aAgent)
{
  const auto it = this->agents.find(aAgent);
  return it == this->agents.end() ? nullptr : this->Find(it->second);
}

WorkerLease& LeaseTable::GetOrAdd(const WorkerId& aWorker)
{
  WorkerLease& lease = this->workers[aWorker];
  lease.spec.worker = aWorker;
  return lease;
}

std::uint64_t LeaseTable::OpenSession(WorkerLease& aLease, Instant aNow)
{
  aLease.session = ++this->lastSession;
  aLease.sessionOpen = true;
  aLease.reconciled = false;
  aLease.sessionOpenedAt = aNow;
  return aLease.session;
}

Duration LeaseTable::RemainingInheritedLease(Instant aNow) const
{
  Duration longest{};
  for (const auto& [id, lease] : this->workers) {
    if (lease.mayHoldLease && !lease.reconciled) {
      longest = std::max(longest, lease.deadline - aNow);
    }
  }
  return longest;
}

} // namespace oriolespread
