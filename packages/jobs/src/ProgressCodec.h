// The stored form of a step's progress.
#pragma once

#include "oriolespread/jobs/JobModel.h"

namespace oriolespread::jobs::internal {

std::string EncodeProgress(const Step& aStep);

// Fills the tasks of a step of the same size. Returns false for bytes that are not its progress.
bool DecodeProgress(const std::string& aBytes, Step& aStep);

} // namespace oriolespread::jobs::internal
