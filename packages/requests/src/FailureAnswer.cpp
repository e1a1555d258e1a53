#include "FailureAnswer.h"

#include <nlohmann/json.hpp>

namespace oriolespread::internal {

namespace {

// Overload and restarts pass within about a second; the retry budget of the caller is its own.
constexpr const char* kRetryAfterSeconds = "1";

} // namespace

FinalAnswer MakeFailure(const RequestId& aRequest, Outcome aOutcome, Reason aReason)
{
  auto answer = std::make_shared<HttpAnswer>();
  answer->status = HttpStatusOf(aReason);
  const std::string outcome(ToString(aOutcome));
  const std::string reason(ToString(aReason));
  answer->headers = { { "Content-Type", "application/json" },
                      { "Oriolespread-Outcome", outcome },
                      { "Oriolespread-Reason", reason } };
  if (IsWorthRepeating(aReason)) {
    answer->headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  answer->body = nlohmann::json{ { "outcome", outcome }, { "reason", reason } }.dump();
  return { aRequest, std::move(answer), aOutcome, aReason };
}

} // namespace oriolespread::internal
