// The cases of this review that are scripts. Each returns the exit code of its script.
#pragma once

#include <string>

namespace oriolespread::review {

struct CaseOptions
{
  // The file that gets what was sent, answered and run.
  std::string record;
  // False leaves the disruption out.
  bool trouble = true;
};

// A job that can never be done and of which many occurrences are due at once.
int PlayDueAtOnce(const CaseOptions& aOptions);
// Jobs that can never be done, with many tasks.
int PlayMemory(const CaseOptions& aOptions);
// Clients of two queues choose the same identifier.
int PlaySameId(const CaseOptions& aOptions);
// A job whose tasks use what others leave, and name more cores than a worker has.
int PlayFills(const CaseOptions& aOptions);
// A worker that is back under its old id carries out a start that was meant for its former life.
int PlayFormerLife(const CaseOptions& aOptions);

} // namespace oriolespread::review
