// What a writer knows about a transaction after it has asked for it to be committed.
#pragma once

#include "oriolespread/platform/Transaction.h"

#include <string>

namespace oriolespread {

enum class CommitStatus
{
  // The writes have taken effect.
  Committed,
  // A condition did not hold; nothing was written.
  Conflict,
  // The request surely did not reach the service; nothing was written.
  Unavailable,
  // The answer was lost or timed out. The writes may have taken effect, or may still take effect
  // later: read the fate before drawing any conclusion.
  Unknown,
};

struct CommitOutcome
{
  CommitStatus status = CommitStatus::Unknown;
  // With Committed: the version that all written rows now have.
  RowVersion version;
  // With Conflict: the key of the first condition that did not hold.
  std::string conflictKey;
};

enum class TransactionFate
{
  Committed,
  // The id has not committed, and from now on never will: reading the fate blocks it.
  NotCommitted,
  // The fate could not be read; ask again.
  Unknown,
};

struct FateOutcome
{
  TransactionFate fate = TransactionFate::Unknown;
  // With Committed: as in CommitOutcome.
  RowVersion version;
};

std::string_view ToString(CommitStatus aStatus);
std::string_view ToString(TransactionFate aFate);

} // namespace oriolespread
