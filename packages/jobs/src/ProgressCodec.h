// The progress of steps: its beginning, and its stored form.
#pragma once

#include "oriolespread/jobs/JobModel.h"

namespace oriolespread::jobs::internal {

// Returns an occurrence of which no task has run.
Occurrence MakeOccurrence(const JobSpec& aSpec);

std::string EncodeProgress(const Step& aStep);

// Fills the tasks of a step of the same size. Returns false for bytes that are not its progress.
bool DecodeProgress(const std::string& aBytes, Step& aStep);

} // namespace oriolespread::jobs::internal
