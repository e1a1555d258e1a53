// What a caller is told about a request that got no answer from an upstream:
//
//   result.headers: Oriolespread-Outcome: not_run, Oriolespread-Reason: queue_full
#pragma once

#include "oriolespread/base/RequestClass.h"

#include <optional>
#include <string_view>

namespace oriolespread {

// NotRun is a proof: no upstream has seen the request. Everything without a proof is Unknown.
enum class Outcome
{
  NotRun,
  Unknown,
};

// Why a request or a single call of it failed. Agents use the same codes when they refuse a call.
enum class Reason
{
  // The queue of the organisation and class is full.
  QueueFull,
  // The organisation has too many requests in this entry.
  OrganisationLimit,
  DeadlineUnreachable,
  DeadlineExceeded,
  NoUpstream,
  UnknownService,
  Draining,
  // The agent refused a call above the entry's credit.
  NoCredit,
  // The agent refused because the upstream is leaving or not known to it.
  UpstreamLeaving,
  // The agent could not connect to the upstream.
  UpstreamUnreachable,
  // The upstream broke off, or its answer was not whole.
  UpstreamFailed,
  // The stream was refused, or lay above the last id of a GOAWAY.
  StreamRefused,
  StreamReset,
  LinkClosed,
  AnswerTooLarge,
  // The answer carried the id of another request.
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

// Returns the HTTP status of a final answer with this reason.
int HttpStatusOf(Reason aReason);

// Returns whether the same request may succeed when it is sent again later.
bool IsRetryable(Reason aReason);

// Returns whether a request with this method may run twice without harm.
bool IsIdempotentMethod(std::string_view aMethod);

} // namespace oriolespread
