// Accepts submitted tickets one after another. Each is one transaction conditional on the head, the
// absence of the ticket's id and the version of every touched key, so that only a ticket that every
// condition was checked for gets the next number.
#pragma once

#include "BookState.h"
#include "CatchUp.h"

#include <deque>

namespace oriolespread::internal {

class Submissions
{
public:
  Submissions(BookState& aState, CatchUp& aCatchUp);

  void Submit(Instant aNow, const SubmitTicket& aEvent, TicketEffects& aEffects);
  void OnCommit(Instant aNow, const TicketCommitResult& aResult, TicketEffects& aEffects);
  void OnFate(Instant aNow, const TicketFateResult& aResult, TicketEffects& aEffects);
  void OnScan(Instant aNow, const TicketScanResult& aResult, TicketEffects& aEffects);
  // Takes every step that is possible now; to be called after each event.
  void Advance(Instant aNow, TicketEffects& aEffects);
  Instant NextWakeup() const;

private:
  enum class Step
  {
    // To be checked against the view and committed.
    Ready,
    // Until a cycle of CatchUp numbered `cycle` or above has ended.
    AwaitCycle,
    AwaitCommit,
    AwaitFate,
    // The fate could not be read; asked again at `retryAt`.
    RetryFate,
    // The row by the ticket's id, and then the log row that it names.
    AwaitIdRow,
    AwaitLogRow,
    // A call has failed; back to Ready at `retryAt`.
    Retry,
  };

  struct Pending
  {
    TicketCallId call = 0;
    ChangeTicket ticket;
    Instant deadline;
    // The submitter has been told Unknown, but the fate still has to be found out.
    bool answered = false;
  };

  bool AdvanceFront(Instant aNow, TicketEffects& aEffects);
  bool Check(Instant aNow, TicketEffects& aEffects);
  void Commit(Instant aNow, TicketEffects& aEffects);
  void ReadFate(Instant aNow, TicketEffects& aEffects);
  void ReadIdRow(Instant aNow, TicketEffects& aEffects);
  void OnIdRow(Instant aNow, const ScanPage& aPage, TicketEffects& aEffects);
  void OnLogRow(const ScanPage& aPage, TicketEffects& aEffects);
  void Accept(RowVersion aVersion, TicketEffects& aEffects);
  void AwaitNewCycle();
  void RetryLater(Instant aNow, Step aStep);
  bool OnCallTimeout(Instant aNow, TicketEffects& aEffects);
  void ExpireWaiting(Instant aNow, TicketEffects& aEffects);
  std::vector<TicketConflict> ConflictsOf(const ChangeTicket& aTicket) const;
  SubmitAnswer AnswerFor(const Pending& aPending, SubmitOutcome aOutcome) const;
  void Finish(SubmitAnswer aAnswer, TicketEffects& aEffects);
  void FinishInvalid(std::string aPath,
                     std::string aProblem,
                     std::string aExpected,
                     TicketEffects& aEffects);
  // Returns whether the front's own transaction may have taken effect without this being known.
  bool FateIsOpen() const;

  BookState* state;
  CatchUp* catchUp;
  std::deque<Pending> queue;
  // State of the front of the queue.
  Step step = Step::Ready;
  std::uint64_t cycle = 0;
  TicketCallId call = 0;
  Instant callDeadline = kNever;
  Instant retryAt = kNever;
  TransactionId transaction;
  TicketNumber attempted;
  TicketNumber existing;
  // The view's number when a conflict was met that it does not explain.
  TicketNumber conflictAt;
  bool conflictUnexplained = false;
  std::uint64_t attempts = 0;
};

} // namespace oriolespread::internal
