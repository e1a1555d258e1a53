// The answers that the entry itself gives.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

namespace oriolespread::internal {

// Returns the answer for a request that failed: status, outcome and reason as headers and as JSON
// body, and Retry-After when asking again can help.
FinalResponse MakeFailureResponse(const RequestId& aRequest, Outcome aOutcome, Reason aReason);

} // namespace oriolespread::internal
