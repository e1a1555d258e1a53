// Outcome and reason of a request that got no response from an upstream, as sent to the caller:
//
//   result.headers: Oriolespread-Outcome: not_run, Oriolespread-Reason: queue_full
#pragma once

#include "oriolespread/base/RequestClass.h"

#include <optional>
#include <string_view>

namespace oriolespread {

// NotRun guarantees that no upstream has received the request. Without this guarantee the outcome
// is Unknown.
enum class Outcome
{
  NotRun,
  Unknown,
};

// Why a request or one of its calls has failed. Agents use the same codes when they refuse a call.
enum class Reason
{
  // The queue of the organisation and class is full.
  QueueFull,
  // The organisation has too many requests in progress in this entry.
  OrganisationLimit,
  DeadlineUnreachable,
  DeadlineExceeded,
  NoUpstream,
  UnknownService,
  Draining,
  // The agent refused the call because the entry has no credit left.
  NoCredit,
  // The agent refused the call because the upstream is leaving or unknown.
  UpstreamLeaving,
  // The agent could not connect to the upstream.
  UpstreamUnreachable,
  // The upstream closed the connection, or its response was incomplete.
  UpstreamFailed,
  // The stream was refused, or its id was above the last stream id of a GOAWAY.
  StreamRefused,
  StreamReset,
  LinkClosed,
  AnswerTooLarge,
  // The response carried the id of another request.
  AnswerMismatched,
  // The upstream's agent has sent no report for kSuspectTimeout.
  UpstreamSuspect,
  StoreUnavailable,
  IdempotencyInProgress,
  IdempotencyMismatch,
};

// Return the codes used in headers, counters and logs, for example "not_run" and "queue_full".
std::string_view ToString(Outcome aOutcome);
std::string_view ToString(Reason aReason);
std::string_view ToString(RequestClass aClass);

// Returns the reason with this code, or nothing.
std::optional<Reason> ParseReason(std::string_view aCode);

// Returns the HTTP status of a final response with this reason.
int HttpStatusOf(Reason aReason);

// Returns whether the same request may succeed when it is repeated later.
bool IsRetryable(Reason aReason);

// Returns whether a request with this method may run twice without harm.
bool IsIdempotentMethod(std::string_view aMethod);

} // namespace oriolespread
