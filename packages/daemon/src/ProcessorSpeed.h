// Measures how fast this machine's processor is for this process, which may have only a small share
// of a core. A share that is a quota does not show, as the process runs at full speed until the
// quota is used up; see LeaderRecord::coreShare.
#pragma once

namespace oriolespread::daemon {

// Returns the speed in millions of steps of a fixed computation per second of elapsed time, the
// best of several short measurements. Takes about one millisecond of processor time.
double MeasureProcessorSpeed();

} // namespace oriolespread::daemon
