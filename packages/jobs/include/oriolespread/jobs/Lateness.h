// How late a job is expected to end.
#pragma once

namespace oriolespread::jobs {

// Whether a job can still end within its objective, within the time up to which a late result is
// useful to the caller, or only after that.
enum class Lateness
{
  OnTime,
  Late,
  TooLate,
};

} // namespace oriolespread::jobs
