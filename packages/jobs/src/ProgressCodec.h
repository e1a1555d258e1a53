// The initial progress of an occurrence, and the stored form of a step's progress.
#pragma once

#include "oriolespread/jobs/JobModel.h"

namespace oriolespread::jobs::internal {

// Returns an occurrence without any runs.
Occurrence MakeOccurrence(const JobSpec& aSpec);

std::string EncodeProgress(const Step& aStep);

// Decodes into a step with the same number of tasks. Returns false if the bytes are not its
// progress.
bool DecodeProgress(const std::string& aBytes, Step& aStep);

} // namespace oriolespread::jobs::internal
