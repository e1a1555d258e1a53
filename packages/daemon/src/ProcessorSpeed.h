// Measures how fast this machine's processor works for this process, where processes may have a
// small share of a core.
#pragma once

namespace oriolespread::daemon {

// Returns millions of steps of a fixed computation in a second of elapsed time, the best of a few
// short tries. Takes about a millisecond of processor time.
double MeasureProcessorSpeed();

} // namespace oriolespread::daemon
