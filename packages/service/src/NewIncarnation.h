// Numbers the lives of processes.
#pragma once

#include "oriolespread/base/Ids.h"

namespace oriolespread::internal {

// Returns a number above that of every earlier life of the process, on this or another machine, as
// long as wall clocks agree to within the time that a restart takes.
Incarnation NewIncarnation();

} // namespace oriolespread::internal
