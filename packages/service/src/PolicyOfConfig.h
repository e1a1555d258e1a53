// Turns the configuration of change tickets into the policy of the request engine.
#pragma once

#include "oriolespread/requests/RequestPolicy.h"
#include "oriolespread/settings/EntrySettings.h"
#include "oriolespread/tickets/ConfigView.h"

namespace oriolespread::internal {

RequestPolicy MakeRequestPolicy(const ConfigView& aView, const EntryLimits& aLimits);

} // namespace oriolespread::internal
