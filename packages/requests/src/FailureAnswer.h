// The responses that the entry generates itself.
#pragma once

#include "oriolespread/requests/RequestEvents.h"

namespace oriolespread::internal {

// Returns the response to a failed request, with outcome and reason as headers and as JSON body,
// and with Retry-After when the request may succeed later.
FinalResponse MakeFailureResponse(const RequestId& aRequest, Outcome aOutcome, Reason aReason);

} // namespace oriolespread::internal
