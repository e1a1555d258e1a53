// An entry's change tickets: accepts new ones by a transaction of the table service, follows those
// that other entries accept, and keeps agents at the newest number.
//
//   TicketBook book(options, counters);
//   TicketEffects effects;
//   book.Handle(now, SubmitTicket{call, ticket}, effects);
//   // Carry out the effects; send TicketTick at book.NextWakeup().
//
// Rows: ticket/head, ticket/log/<20-digit number>, ticket/id/<ticket id> and config/<key>. All rows
// of one ticket are written by one transaction and therefore have the same version.
#pragma once

#include "oriolespread/base/Counters.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/tickets/ConfigView.h"
#include "oriolespread/tickets/TicketEvents.h"

#include <memory>

namespace oriolespread {

struct TicketBookOptions
{
  // Form unique transaction ids.
  EntryId entry;
  Incarnation incarnation;
  // Between two looks at the head of the log.
  Duration pollInterval = std::chrono::seconds(1);
  // After a store call has failed.
  Duration retryInterval = std::chrono::milliseconds(200);
  // After which an agent that has not reported the number is sent the update again. Two report
  // intervals of 200 ms and two ways of 40 ms leave room for one lost report; with 1 s the 2 s
  // target was missed by 63 ms when all first pushes and notifications were lost.
  Duration resendInterval = std::chrono::milliseconds(500);
  // After which a store call counts as lost.
  Duration callTimeout = std::chrono::seconds(3);
  // After which a submission is answered whatever is known.
  Duration submitTimeout = std::chrono::seconds(5);
  // How long to gather states of agents while the table service is down.
  Duration agentStateWait = std::chrono::seconds(1);
  std::size_t maxWaitingTickets = 64;
  std::size_t maxWaitingReplays = 8;
  std::size_t pageRows = 200;
  // Above this distance from the head the whole state is read instead of the log.
  std::uint64_t maxLogDistance = 2'000;
  // Bounds the whole state as one message; see kMaxMessageBytes.
  std::size_t maxStateBytes = std::size_t{ 3 } << 20U;
};

// Not thread-safe.
class TicketBook
{
public:
  // `aCounters` must outlive the book.
  TicketBook(TicketBookOptions aOptions, Counters& aCounters);
  TicketBook(TicketBook&&) noexcept;
  TicketBook& operator=(TicketBook&&) noexcept;
  ~TicketBook();

  // Appends to aEffects. aNow must not go back.
  void Handle(Instant aNow, const TicketEvent& aEvent, TicketEffects& aEffects);
  // Returns when the next TicketTick is due; the past when one is due at once.
  Instant NextWakeup() const;

  // Returns whether a state is known: from the table service, or from agents while it is down.
  bool Ready() const;
  // Returns whether the latest call of the table service succeeded.
  bool StoreReachable() const;
  // The configuration in force. The reference is valid as long as the book.
  const ConfigView& View() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace oriolespread
