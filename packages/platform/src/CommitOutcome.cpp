#include "oriolespread/platform/CommitOutcome.h"

namespace oriolespread {

std::string_view ToString(CommitStatus aStatus)
{
  switch (aStatus) {
    case CommitStatus::Committed:
      return "committed";
    case CommitStatus::Conflict:
      return "conflict";
    case CommitStatus::Unavailable:
      return "unavailable";
    case CommitStatus::Unknown:
      return "unknown";
  }
  return "invalid";
}

std::string_view ToString(TransactionFate aFate)
{
  switch (aFate) {
    case TransactionFate::Committed:
      return "committed";
    case TransactionFate::NotCommitted:
      return "not_committed";
    case TransactionFate::Unknown:
      return "unknown";
  }
  return "invalid";
}

} // namespace oriolespread
