// The part of PlayedAgent that carries out the leader's orders, as in WorkerOrders.cpp. Included by
// PlayedAgent.h.
#pragma once

#include "PlayedAgent.h"

#include <string>
#include <utility>
#include <vector>

namespace oriolespread::jobs {

inline void PlayedAgent::OnStartOrder(const StartRun& aStart)
{
  Tracked& item = this->tracked[aStart.ref];
  this->described.insert(aStart.ref);
  if (item.stopping || (item.starting && !item.suspended)) {
    return;
  }
  std::erase_if(this->rejected,
                [&](const RejectedRun& aRejected) { return aRejected.ref == aStart.ref; });
  if (this->IsAtWork(aStart.ref)) {
    this->tracked.erase(aStart.ref);
    return;
  }
  if (!item.suspended) {
    item = {};
    item.openStarts = aStart.repeated ? 1 : 0;
  }
  item.start = aStart;
  item.starting = true;
  item.suspended = false;
  item.orderedAt = this->world.time.Present();
  if (this->Worker().state.draining) {
    this->RejectRun(aStart.ref, "draining");
  } else if (this->lost || this->unansweredLossReport > 0) {
    this->RejectRun(aStart.ref, "worker_lost");
  } else {
    this->TryStart(aStart.ref, item.orderedAt);
  }
}

inline void PlayedAgent::TryStart(const RunRef& aRef, Instant aOrderedAt)
{
  const auto it = this->tracked.find(aRef);
  if (it == this->tracked.end() || it->second.orderedAt != aOrderedAt || !it->second.starting ||
      it->second.suspended || it->second.stopping) {
    return;
  }
  if (this->evacuated && !this->IsAtWork(aRef)) {
    this->RejectRun(aRef, kEvacuatedReason);
    return;
  }
  const Instant now = this->world.time.Present();
  if (!this->fenceConfirmed || !this->workerClockZero.has_value() ||
      now - (this->leaseExpiry - kPlayedLease) >= kPlayedResponseAge || !this->GrantLease()) {
    if (now - aOrderedAt >= kPlayedLease) {
      this->RejectRun(aRef, "lease_awaited");
      return;
    }
    this->After(kPlayedLeaseCheck, [this, aRef, aOrderedAt] { this->TryStart(aRef, aOrderedAt); });
    return;
  }
  this->world.OnStartSent(this->Worker(), aRef);
  ++it->second.openStarts;
  this->startsSent = true;
  this->unansweredStarts[aRef] = now;
  const bool late = now < this->Worker().lateUntil;
  this->CallWorker(
    late ? kPlayedMaxStartDelay : kPlayedMaxCallDelay,
    [this,
     start = it->second.start,
     deadline = this->grantedLeaseExpiry - *this->workerClockZero,
     token = this->Token(),
     meantFor = this->born] { return this->CarryOutStart(start, deadline, token, meantFor); },
    [this, aRef, aOrderedAt, token = this->Token(), attempt = ++it->second.attempts](
      Answer aAnswer) { this->OnStartAnswer(aRef, aOrderedAt, attempt, token, aAnswer); });
}

inline PlayedWorker::Answer PlayedAgent::CarryOutStart(const StartRun& aStart,
                                                       Duration aDeadline,
                                                       PlayedToken aToken,
                                                       std::int64_t aBorn)
{
  PlayedRun run;
  run.startedAt = this->world.time.Present();
  run.length = std::stoi(aStart.payload) * this->world.random.Between(800 * kMs, 1200 * kMs) / 1000;
  // Members of a gang make progress together; a worker ends one that is alone.
  run.stalls = run.length > Duration::zero() && aStart.image != kPlayedGangImage &&
               this->world.random.Chance(0.03);
  run.how = this->world.random.Chance(0.05) ? RunEnd::Failed : RunEnd::Done;
  const Answer answer = this->Worker().Start(aStart.ref, run, aToken, aDeadline);
  if (answer == Answer::Started) {
    const bool linked = this->link != nullptr && this->epoch == aToken.epoch;
    this->world.OnStarted(this->Worker(),
                          aStart.ref,
                          linked ? std::optional(this->linkedSince) : std::nullopt,
                          aToken.epoch,
                          aBorn);
  }
  return answer;
}

inline void PlayedAgent::OnStartAnswer(const RunRef& aRef,
                                       Instant aOrderedAt,
                                       int aAttempt,
                                       PlayedToken aToken,
                                       Answer aAnswer)
{
  const auto it = this->tracked.find(aRef);
  const bool isUnknown = aAnswer == Answer::Unknown;
  if (it == this->tracked.end() || !it->second.starting) {
    return;
  }
  Tracked& item = it->second;
  item.openStarts -= isUnknown ? 0 : 1;
  if (item.openStarts == 0) {
    this->unansweredStarts.erase(aRef);
  }
  if (aAnswer == Answer::Late) {
    if (!item.stopping) {
      this->RejectRun(aRef, "late");
    }
    return;
  }
  if (aAnswer == Answer::Fenced && aToken == this->Token()) {
    if (!item.stopping && aAttempt == item.attempts) {
      this->tracked.erase(it);
    }
    return;
  }
  if (aAnswer == Answer::Refused && !item.stopping && !item.suspended && item.openStarts == 0) {
    this->RejectRun(aRef, "connection_refused");
    return;
  }
  if (!isUnknown && aAnswer != Answer::Refused && aAnswer != Answer::Fenced) {
    item.starting = false;
    item.suspended = false;
    return;
  }
  if (item.stopping || item.suspended || aAttempt != item.attempts) {
    return;
  }
  if (item.attempts >= kPlayedMaxStartAttempts) {
    this->StopRun(aRef);
    return;
  }
  this->After(isUnknown ? Duration::zero() : kPlayedRetryDelay,
              [this, aRef, aOrderedAt] { this->TryStart(aRef, aOrderedAt); });
}

inline void PlayedAgent::RejectUnconfirmedStarts()
{
  std::vector<RunRef> unconfirmed;
  for (const auto& [ref, item] : this->tracked) {
    if (item.starting && !item.suspended && !item.stopping && !this->IsAtWork(ref)) {
      unconfirmed.push_back(ref);
    }
  }
  for (const RunRef& ref : unconfirmed) {
    this->RejectRun(ref, kEvacuatedReason);
  }
}

inline void PlayedAgent::GiveUpStartsOrderedBefore(Instant aTime)
{
  std::vector<RunRef> outdated;
  for (const auto& [ref, item] : this->tracked) {
    if (item.starting && !item.stopping && item.orderedAt < aTime) {
      outdated.push_back(ref);
    }
  }
  for (const RunRef& ref : outdated) {
    this->RejectRun(ref, "lease_expired");
  }
}

inline void PlayedAgent::RejectRun(const RunRef& aRef, const std::string& aReason)
{
  Tracked& item = this->tracked[aRef];
  if (item.openStarts > 0 && !item.stopConfirmed) {
    item.rejection = aReason;
    this->StopRun(aRef);
    return;
  }
  this->tracked.erase(aRef);
  this->rejected.push_back({ aRef, aReason });
  this->Report(false);
}

inline void PlayedAgent::StopRun(const RunRef& aRef)
{
  if (std::exchange(this->tracked[aRef].stopping, true)) {
    return;
  }
  const Instant now = this->world.time.Present();
  if (now - this->createdAt < kPlayedUnansweredTime) {
    // An earlier process of the agent may have sent a start of the run.
    this->unansweredStarts[aRef] = now;
  }
  this->SendStop(aRef);
}

inline void PlayedAgent::SendStop(const RunRef& aRef)
{
  this->CallWorker(
    kPlayedMaxCallDelay,
    [this, aRef, token = this->Token()] {
      this->world.Note(this->Worker().state.id + " stops " + aRef.task + " run " +
                       std::to_string(aRef.run));
      return this->Worker().Stop(aRef, token);
    },
    [this, aRef, token = this->Token(), attempt = ++this->tracked.at(aRef).stopAttempts](
      Answer aAnswer) { this->OnStopAnswer(aRef, attempt, token, aAnswer); });
}

inline void PlayedAgent::OnStopAnswer(const RunRef& aRef,
                                      int aAttempt,
                                      PlayedToken aToken,
                                      Answer aAnswer)
{
  const auto it = this->tracked.find(aRef);
  if (it == this->tracked.end() || !it->second.stopping || it->second.stopConfirmed) {
    return;
  }
  if (aAnswer == Answer::Done) {
    it->second.starting = false;
    it->second.suspended = false;
    it->second.stopConfirmed = true;
    this->lastFullReport = {};
    return;
  }
  const bool awaitsNextToken = aAnswer == Answer::Fenced && aToken == this->Token();
  if (awaitsNextToken || aAttempt != it->second.stopAttempts) {
    return;
  }
  this->After(kPlayedRetryDelay, [this, aRef, aAttempt, incarnation = this->born] {
    const auto pending = this->tracked.find(aRef);
    if (incarnation == this->born && pending != this->tracked.end() && pending->second.stopping &&
        !pending->second.stopConfirmed && pending->second.stopAttempts == aAttempt) {
      this->SendStop(aRef);
    }
  });
}

} // namespace oriolespread::jobs
