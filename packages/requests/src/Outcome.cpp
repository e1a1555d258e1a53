#include "oriolespread/requests/Outcome.h"

#include <algorithm>
#include <array>

namespace oriolespread {

namespace {

struct ReasonEntry
{
  Reason reason;
  std::string_view code;
  int status;
  bool retryable;
};

constexpr std::array kReasons = {
  ReasonEntry{ Reason::QueueFull, "queue_full", 503, true },
  ReasonEntry{ Reason::OrganisationLimit, "organisation_limit", 429, true },
  ReasonEntry{ Reason::DeadlineUnreachable, "deadline_unreachable", 503, true },
  ReasonEntry{ Reason::DeadlineExceeded, "deadline_exceeded", 504, true },
  ReasonEntry{ Reason::NoUpstream, "no_upstream", 503, true },
  ReasonEntry{ Reason::UnknownService, "unknown_service", 404, false },
  ReasonEntry{ Reason::Draining, "draining", 503, true },
  ReasonEntry{ Reason::NoCredit, "no_credit", 503, true },
  ReasonEntry{ Reason::UpstreamLeaving, "upstream_leaving", 503, true },
  ReasonEntry{ Reason::UpstreamUnreachable, "upstream_unreachable", 502, true },
  ReasonEntry{ Reason::UpstreamFailed, "upstream_failed", 502, true },
  ReasonEntry{ Reason::StreamRefused, "stream_refused", 503, true },
  ReasonEntry{ Reason::StreamReset, "stream_reset", 502, true },
  ReasonEntry{ Reason::LinkClosed, "link_closed", 502, true },
  ReasonEntry{ Reason::AnswerTooLarge, "answer_too_large", 502, false },
  ReasonEntry{ Reason::AnswerMismatched, "answer_mismatched", 502, true },
  ReasonEntry{ Reason::UpstreamSuspect, "upstream_suspect", 504, true },
  ReasonEntry{ Reason::StoreUnavailable, "store_unavailable", 503, true },
  ReasonEntry{ Reason::IdempotencyInProgress, "idempotency_in_progress", 409, true },
  ReasonEntry{ Reason::IdempotencyMismatch, "idempotency_mismatch", 422, false },
};

const ReasonEntry& EntryOf(Reason aReason)
{
  const auto* const found =
    std::find_if(kReasons.begin(), kReasons.end(), [&](const ReasonEntry& aEntry) {
      return aEntry.reason == aReason;
    });
  return *found;
}

} // namespace

std::string_view ToString(Outcome aOutcome)
{
  return aOutcome == Outcome::NotRun ? "not_run" : "unknown";
}

std::string_view ToString(Reason aReason)
{
  return EntryOf(aReason).code;
}

std::string_view ToString(RequestClass aClass)
{
  return aClass == RequestClass::LatencyCritical ? "latency_critical" : "batch";
}

std::optional<Reason> ParseReason(std::string_view aCode)
{
  for (const ReasonEntry& entry : kReasons) {
    if (entry.code == aCode) {
      return entry.reason;
    }
  }
  return std::nullopt;
}

int HttpStatusOf(Reason aReason)
{
  return EntryOf(aReason).status;
}

bool IsRetryable(Reason aReason)
{
  return EntryOf(aReason).retryable;
}

bool IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 5> kIdempotent = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"
  };
  return std::find(kIdempotent.begin(), kIdempotent.end(), aMethod) != kIdempotent.end();
}

} // namespace oriolespread
