#include "absl/strings/str_cat.h"

#include "oriolespread/base/AttemptId.h"
#include "oriolespread/base/RequestId.h"

namespace oriolespread {

std::string ToString(const RequestId& aId)
{
  return absl::StrCat(aId.entry.Value(), "-", aId.counter);
}

std::string ToString(const TaskId& aId)
{
  return absl::StrCat(aId.job.Value(), "/", aId.index);
}

std::string ToString(const AttemptId& aId)
{
  return absl::StrCat(ToString(aId.task), "#", aId.token.epoch.Value(), ".", aId.token.counter);
}

} // namespace oriolespread
