// The initial progress of an occurrence, and the stored form of a step's progress.
#pragma once

#include "oriolespread/jobs/JobModel.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace oriolespread::jobs::internal {

// Returns an occurrence without any runs.
Occurrence MakeOccurrence(const JobSpec& aSpec);

// Returns the indices of the tasks that a row of the step holds, as the first one and the end.
std::pair<std::size_t, std::size_t> TasksOfRow(const Step& aStep,
                                               std::optional<std::uint32_t> aRow);

enum class Checkpoints
{
  Keep,
  Omit,
};

// Returns the contents of one row of the step; without a number, of the row with all tasks.
std::string EncodeProgress(const Step& aStep,
                           std::optional<std::uint32_t> aRow,
                           Checkpoints aCheckpoints);

// Decodes one row into its tasks of the step. Returns false if the bytes are not the progress of
// that many tasks.
bool DecodeProgress(const std::string& aBytes, std::optional<std::uint32_t> aRow, Step& aStep);

} // namespace oriolespread::jobs::internal
