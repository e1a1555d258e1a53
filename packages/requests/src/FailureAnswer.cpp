#include "FailureAnswer.h"

#include <nlohmann/json.hpp>

namespace oriolespread::internal {

namespace {

// Overload and restarts are over within about a second. Callers limit their own retries.
constexpr const char* kRetryAfterSeconds = "1";

} // namespace

FinalResponse MakeFailureResponse(const RequestId& aRequest, Outcome aOutcome, Reason aReason)
{
  auto response = std::make_shared<ResponseContent>();
  response->status = HttpStatusOf(aReason);
  const std::string outcome(ToString(aOutcome));
  const std::string reason(ToString(aReason));
  response->headers = { { "Content-Type", "application/json" },
                        { "Oriolespread-Outcome", outcome },
                        { "Oriolespread-Reason", reason } };
  if (IsRetryable(aReason)) {
    response->headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  response->body = nlohmann::json{ { "outcome", outcome }, { "reason", reason } }.dump();
  return { aRequest, std::move(response), aOutcome, aReason };
}

} // namespace oriolespread::internal
